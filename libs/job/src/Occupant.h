// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_OCCUPANT_H
#define PIERBANK_JOB_OCCUPANT_H

#include <cstddef>
#include <cstdint>

#include "pierbank/job/JobRun.h"
#include "WorkerState.h"

namespace pierbank {

/** Active run that is not being stopped, and so may be preempted, copied or migrated. */
struct Occupant {
    /** Index of the job in PlanInput::m_jobs. */
    std::size_t m_jobIndex = 0;
    const StepRun* m_step = nullptr;
    const StepSpec* m_spec = nullptr;
    /** Index in m_groups. */
    std::size_t m_group = 0;
    /** Number of the occurrence. */
    std::uint32_t m_occurrence = 0;
    /** Index of the step within the job. */
    std::uint32_t m_stepNumber = 0;
    /** Index of the task within the step. */
    std::uint32_t m_index = 0;
    std::uint32_t m_run = 0;
    /** Wall time. */
    Millis m_placedAt{0};
    WorkerSlot m_slot = 0;
    bool m_isCopy = false;
    bool m_isUrgent = false;
    bool m_isGuaranteed = false;
    /** Whether this pass stops the run. */
    bool m_isPreempted = false;
    /** Whether the capacity is already allocated to a unit that waits for the run to end. */
    bool m_isAwaited = false;
    /**
     * Core-milliseconds of work that is lost if the run is stopped; for gangs, of all members.
     */
    double m_preemptionCost = 0;
};
/** Range of the occupants of one step of one occurrence in m_occupants, end exclusive. */
struct OccupantGroup {
    std::size_t m_first = 0;
    std::size_t m_end = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_OCCUPANT_H
