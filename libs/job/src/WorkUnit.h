// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_WORKUNIT_H
#define PIERBANK_JOB_WORKUNIT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "pierbank/job/TaskPlanner.h"
#include "WorkerState.h"

namespace pierbank {

/** Workers that may run a step, regardless of their free capacity. */
struct EligibleWorkers {
    /** In ascending order. */
    std::vector<WorkerSlot> m_slots;
    /** Indexed by slot. */
    std::vector<bool> m_isEligible;
};

/** A step with waiting tasks: the properties that all its units share. */
struct WaitingStep {
    const JobRecord* m_record = nullptr;
    const JobRun* m_run = nullptr;
    const StepRun* m_step = nullptr;
    const StepSpec* m_spec = nullptr;
    /** Index of the job in PlanInput::m_jobs. */
    std::size_t m_jobIndex = 0;
    /** Number of the occurrence. */
    std::uint32_t m_occurrence = 0;
    /** Index of the step within the job. */
    std::uint32_t m_number = 0;
    /** Indexes of the waiting tasks. */
    std::vector<std::uint32_t> m_taskIndexes;
    /** Whether the guarantee of the job's organisation covers the job. */
    bool m_isGuaranteed = false;
    const EligibleWorkers* m_eligible = nullptr;
    /** Advised incarnations of workers; null if no advice is needed or available yet. */
    const std::set<std::string>* m_advised = nullptr;
    /** Whether only workers with placement advice may run the step. */
    bool m_needsAdvice = false;
    /** Wall time at which the occurrence became due, or its job was accepted. */
    Millis m_dueAt{0};
    /** Wall time by which the occurrence should be done. */
    Millis m_objective{0};
    /** Sort key: the objective, advanced for large units by the fragmentation weight. */
    Millis m_weightedObjective{0};
    /** First sort key, see chooseBand(); lower bands are placed first. */
    std::uint32_t m_band = 0;
    /** Run time that few tasks exceed on a normal host; computed on demand. */
    mutable std::optional<Millis> m_highRunTime;
    /** Whether a preferred topology domain could hold a unit; computed on demand. */
    mutable std::optional<bool> m_canPreferredDomainHold;
    /** Whether a unit was tried as overdue in this pass; the others would fare like it. */
    mutable bool m_hasTriedOverdue = false;
    /** Wall time at which the job's last run ended; empty if there was none, or if unknown. */
    std::optional<Millis> m_idleSince;
};

/** Smallest amount of work that is placed at once: a whole gang, or a single task. */
struct WorkUnit {
    const WaitingStep* m_waitingStep = nullptr;
    /** Indexes of the unit's tasks; more than one only for a gang. */
    std::span<const std::uint32_t> m_taskIndexes;
    /** Workers that the unit avoids: runs of its tasks failed there, or the host is suspect. */
    std::vector<WorkerSlot> m_excludedSlots;
    /** Whether one of the tasks is suspected of crashing its worker. */
    bool m_isSuspect = false;
    /** Whether the unit avoids workers that have a run of a suspect task at its placement. */
    bool m_avoidsSuspectRuns = false;
    /** By slot: workers that may make the unit late, which it avoids at present; null for none. */
    const std::vector<bool>* m_avoidedSlots = nullptr;
    /** Whether the unit is tried wherever workers have capacity, see placeOverdue(). */
    bool m_isOverdue = false;
    /** Whether the unit is placed by its forecast completion. */
    bool m_usesForecast = false;
    /** Forecast of the unit's end on the workers that are tried for it. */
    UrgentWait::Outlook m_outlook = UrgentWait::Outlook::UNKNOWN;

    const JobRecord& getRecord() const { return *m_waitingStep->m_record; }
    const StepSpec& getSpec() const { return *m_waitingStep->m_spec; }
    const StepRun& getStep() const { return *m_waitingStep->m_step; }
    TaskKey getKey(std::uint32_t index) const {
        return {getRecord().m_id, m_waitingStep->m_occurrence, m_waitingStep->m_number, index};
    }
    /** Whether the job has priority 0, which may preempt other runs. */
    bool isUrgent() const { return getRecord().m_policy.m_priority == 0; }
    /** Returns the number of accelerators that all tasks of the unit need together. */
    std::uint32_t countAccelerators() const {
        return getSpec().m_need.m_accelerators * static_cast<std::uint32_t>(m_taskIndexes.size());
    }
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_WORKUNIT_H
