// SPDX-License-Identifier: Apache-2.0
// Properties of the planner over random topologies, guarantees, jobs, failures and reports.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/JobEvents.h"
#include "pierbank/policy/Planner.h"
#include "pierbank/policy/UnitPacker.h"
#include "PolicyInvariants.h"

namespace pierbank::testing {
namespace {

int pick(int low, int highInclusive) {
    return *rc::gen::inRange(low, highInclusive + 1);
}

Shape pickShape(int maxMembers, int maxAccelerators) {
    return {static_cast<std::uint32_t>(pick(1, maxMembers)),
            static_cast<std::uint32_t>(pick(1, maxAccelerators)),
            static_cast<Adjacency>(pick(0, 3))};
}

/** The state as text, for the report of a property that failed. */
std::string describe(const ClusterState& state) {
    std::string text;
    for (const Worker& worker : state.m_workers) {
        text += worker.m_name + " " + worker.m_rack + " " + worker.m_failureDomain + " " +
                std::string(toText(worker.m_state)) + " " + std::to_string(worker.m_accelerators) +
                "\n";
    }
    for (const GuaranteeUnit& unit : state.m_units) {
        text += "unit " + std::to_string(unit.m_id) + " " + unit.m_organisation + " " +
                unit.m_shape.toText() + " on";
        for (const UnitCell& cell : unit.m_cells) {
            text += " " + std::to_string(cell.m_worker);
        }
        text += "\n";
    }
    for (const auto& [name, job] : state.m_jobs) {
        text += name + " " + job.m_organisation + " " + job.m_shape.toText() + " " +
                std::string(toText(job.m_state)) + (job.m_isUrgent ? " urgent" : "") + " unit " +
                std::to_string(job.m_unit.value_or(0)) + " on";
        for (const Member& member : job.m_members) {
            text += " " + std::to_string(member.m_worker) + "/" +
                    std::to_string(member.m_accelerators);
        }
        text += "; " + job.m_why.toText() + "\n";
    }
    return text;
}

/** A small cluster that random events happen to. */
class Story {
public:
    Story() {
        m_settings.m_starvationBound = Millis(60'000);
        m_settings.m_maxStarvationBound = Millis(120'000);
        m_settings.m_claimPatience = Millis(30'000);
        const int workers = pick(2, 6);
        const int perRack = pick(1, 3);
        for (int i = 0; i < workers; ++i) {
            Worker worker;
            worker.m_name = "w" + std::to_string(i);
            worker.m_rack = "r" + std::to_string(i / perRack);
            worker.m_failureDomain = "d" + std::to_string(i / perRack / 2);
            worker.m_accelerators = static_cast<std::uint32_t>(pick(2, 4));
            m_state.m_workers.push_back(worker);
        }
        for (int i = 0; i < 3; ++i) {
            Organisation organisation;
            organisation.m_name = "o" + std::to_string(i);
            m_state.m_organisations.push_back(organisation);
        }
        for (int i = pick(0, 5); i > 0; --i) {
            addUnitIfItFits();
        }
    }

    void step() {
        switch (pick(0, 9)) {
            case 0:
            case 1:
            case 2:
            case 3:
                submit();
                break;
            case 4:
                endOne(false);
                break;
            case 5:
                endOne(true);
                break;
            case 6:
                changeWorker();
                break;
            case 7:
                withdrawOne();
                break;
            default:
                m_now += Millis(pick(1, 90) * 1000);
                break;
        }
        finishStops();
        plan();
    }

    void plan() {
        std::map<std::string, std::optional<std::uint64_t>> unitBefore;
        for (const auto& [name, job] : m_state.m_jobs) {
            unitBefore[name] = job.m_unit;
        }
        const Plan plan = Planner(m_settings).plan(m_state, m_now);
        RC_ASSERT(findViolation(m_state) == std::string());
        RC_ASSERT(plan.m_unmetUnits.empty() || !canPackExactly(m_state));
        for (const Decision& decision : plan.m_decisions) {
            checkPreemption(decision, unitBefore);
        }
        for (auto& [name, job] : m_state.m_jobs) {
            markRunning(job, m_now);
        }
    }

    ClusterState m_state;
    PolicySettings m_settings;
    Millis m_now{1'000'000};

private:
    void addUnitIfItFits() {
        ClusterState trial = m_state;
        GuaranteeUnit unit;
        unit.m_id = trial.m_nextUnit++;
        unit.m_organisation = "o" + std::to_string(pick(0, 2));
        unit.m_shape = pickShape(3, 4);
        trial.m_units.push_back(unit);
        const CellFinder finder(trial.m_workers);
        if (UnitPacker(trial, finder).repack({}).empty()) {
            m_state = trial;
        }
    }

    void submit() {
        Job job;
        job.m_name = "j" + std::to_string(m_nextJob++);
        job.m_organisation = "o" + std::to_string(pick(0, 2));
        job.m_shape = pickShape(3, 4);
        job.m_isUrgent = pick(0, 5) == 0;
        job.m_declaredRunTime = Millis(pick(1, 600) * 1000);
        job.m_submittedAt = m_now;
        job.m_queuedAt = m_now;
        if (CellFinder(m_state.m_workers).couldEverFit(job.m_shape)) {
            m_state.m_jobs[job.m_name] = job;
        }
    }

    Job* pickRunning() {
        std::vector<Job*> running;
        for (auto& [name, job] : m_state.m_jobs) {
            if (job.m_state == JobState::RUNNING) {
                running.push_back(&job);
            }
        }
        return running.empty() ? nullptr : running[pick(0, static_cast<int>(running.size()) - 1)];
    }

    void endOne(bool fails) {
        Job* const job = pickRunning();
        if (job == nullptr) {
            return;
        }
        if (fails) {
            noteFailure(m_state, *job, job->m_members.front().m_worker, m_settings, m_now);
        } else {
            finishWell(m_state, *job, m_now);
        }
    }

    void withdrawOne() {
        if (m_state.m_jobs.empty()) {
            return;
        }
        auto job = m_state.m_jobs.begin();
        std::advance(job, pick(0, static_cast<int>(m_state.m_jobs.size()) - 1));
        beginStop(job->second, AfterStop::WITHDRAW, Explanation(), m_now);
    }

    void changeWorker() {
        Worker& worker = m_state.m_workers[pick(0, static_cast<int>(m_state.m_workers.size()) - 1)];
        worker.m_state = static_cast<WorkerState>(pick(0, 4));
        if (worker.m_state != WorkerState::LOST) {
            return;
        }
        for (auto& [name, job] : m_state.m_jobs) {
            for (const Member& member : job.m_members) {
                if (&m_state.m_workers[member.m_worker] == &worker && job.holdsAccelerators()) {
                    beginStop(job, AfterStop::QUEUE_AGAIN, Explanation(), m_now);
                }
            }
        }
    }

    /** Members confirm their stop some time after they were told. */
    void finishStops() {
        for (auto& [name, job] : m_state.m_jobs) {
            if (job.m_state == JobState::STOPPING && pick(0, 1) == 0) {
                finishStop(job, m_now);
            }
        }
        std::erase_if(m_state.m_jobs, [](const auto& e) { return e.second.isOver(); });
    }

    void checkPreemption(const Decision& decision,
                         const std::map<std::string, std::optional<std::uint64_t>>& unitBefore) {
        const bool isPreemption = decision.m_why.m_verdict == Verdict::PREEMPTED;
        if (!isPreemption || !unitBefore.at(decision.m_job).has_value()) {
            return;
        }
        // Only for urgent work of its own organisation.
        const Job* const taker = m_state.findJob(decision.m_why.m_subject);
        RC_ASSERT(taker != nullptr);
        RC_ASSERT(taker->m_isUrgent);
        RC_ASSERT(taker->m_organisation == m_state.findJob(decision.m_job)->m_organisation);
    }

    int m_nextJob = 0;
};

RC_GTEST_PROP(PlannerPropertyTest, ItsPromisesHoldAfterEveryPass, ()) {
    Story story;
    for (int i = pick(1, 60); i > 0; --i) {
        story.step();
    }
}

RC_GTEST_PROP(PlannerPropertyTest, AGuaranteeIsReclaimedHoweverBusyTheRacksAre, ()) {
    Story story;
    for (int i = pick(1, 40); i > 0; --i) {
        story.step();
    }
    for (Worker& worker : story.m_state.m_workers) {
        worker.m_state = WorkerState::LIVE;
        worker.m_quarantinedUntil = Millis(0);
    }
    story.plan();
    // An organisation asks for one of its idle units: it is claimed at once, and assigned as soon
    // as the preempted members have stopped.
    std::set<std::uint64_t> busy;
    for (const auto& [name, job] : story.m_state.m_jobs) {
        if (job.m_unit.has_value()) {
            busy.insert(*job.m_unit);
        }
    }
    const GuaranteeUnit* idle = nullptr;
    for (const GuaranteeUnit& unit : story.m_state.m_units) {
        idle = busy.count(unit.m_id) == 0 && !unit.m_cells.empty() ? &unit : idle;
    }
    const bool hasIdle = idle != nullptr;
    RC_CLASSIFY(hasIdle);
    if (!hasIdle) {
        return;
    }
    Job job;
    job.m_name = "reclaim";
    job.m_organisation = idle->m_organisation;
    job.m_shape = idle->m_shape;
    job.m_isUrgent = true;
    job.m_declaredRunTime = Millis(60'000);
    job.m_submittedAt = story.m_now;
    job.m_queuedAt = story.m_now;
    story.m_state.m_jobs["reclaim"] = job;
    story.plan();
    RC_LOG() << describe(story.m_state) << "then\n";
    RC_ASSERT(story.m_state.findJob("reclaim")->isPlaced());
    for (auto& [name, other] : story.m_state.m_jobs) {
        if (other.m_state == JobState::STOPPING) {
            finishStop(other, story.m_now);
        }
    }
    story.plan();
    RC_LOG() << describe(story.m_state);
    RC_ASSERT(story.m_state.findJob("reclaim")->m_state == JobState::RUNNING);
}

RC_GTEST_PROP(PlannerPropertyTest, ANamedRemedyLetsTheJobStart, ()) {
    Story story;
    for (int i = pick(10, 40); i > 0; --i) {
        story.step();
    }
    const Planner planner(story.m_settings);
    for (const auto& [name, job] : story.m_state.m_jobs) {
        if (job.m_state != JobState::QUEUED) {
            continue;
        }
        const Explanation why = planner.findRemedy(story.m_state, name, story.m_now);
        ClusterState after = story.m_state;
        if (why.m_remedy == Remedy::RELEASE_WORKER) {
            after.m_workers[*after.findWorker(why.m_subject)].m_state = WorkerState::LIVE;
        } else if (why.m_remedy == Remedy::WITHDRAW_JOB) {
            after.m_jobs.erase(why.m_subject);
        } else {
            continue;
        }
        planner.plan(after, story.m_now);
        RC_ASSERT(after.findJob(name)->isPlaced());
    }
}

RC_GTEST_PROP(PlannerPropertyTest, TheSameStateAlwaysGivesTheSamePlan, ()) {
    Story story;
    for (int i = pick(1, 30); i > 0; --i) {
        story.step();
    }
    ClusterState one = story.m_state;
    ClusterState two = story.m_state;
    const Plan first = Planner(story.m_settings).plan(one, story.m_now);
    const Plan second = Planner(story.m_settings).plan(two, story.m_now);
    RC_ASSERT(first.m_decisions.size() == second.m_decisions.size());
    for (std::size_t i = 0; i < first.m_decisions.size(); ++i) {
        RC_ASSERT(first.m_decisions[i].m_job == second.m_decisions[i].m_job);
        RC_ASSERT(first.m_decisions[i].m_why.saysSameAs(second.m_decisions[i].m_why));
    }
}

}  // namespace
}  // namespace pierbank::testing
