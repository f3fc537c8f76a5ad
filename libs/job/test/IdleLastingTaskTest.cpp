// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a lasting task that gave way to urgent work is not started again beside an idle worker.
 *
 * Cause: the bound on the time without a run was applied only while some resource of the service
 * was little used. Above that, the headroom for urgent work and early reservations of large units
 * kept the task off the free worker. For a lasting task the bound holds at any utilization.
 */
#include <gtest/gtest.h>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

constexpr Millis MAX_AWAY{6000};
constexpr Millis LONG{90'000};

/** Three of four workers are full, the fourth is idle, and a task of a lasting step is away. */
class LastingTaskOfAWellUsedService : public TaskPlannerFixture {
protected:
    void SetUp() override {
        for (int worker = 0; worker < 3; ++worker) {
            const std::string id = "ordinary-" + std::to_string(worker);
            addRunning(id, worker, 8, Millis(20'000));
            m_jobs.back().m_record.m_spec.m_steps[0].m_need = m_workers[0].m_capacity;
            m_jobs.back().m_record.m_spec.m_steps[0].m_estimate = LONG;
            m_remaining[{id, 0, 0, 0}] = LONG;
        }
        StepSpec step = makeStep(1, 1);
        step.m_isLongRunning = true;
        step.m_savesProgress = true;
        step.m_estimate = LONG;
        m_lasting = &addJob("lasting", 2, step, NOW - Millis(20'000));
    }

    void setAway(Millis time) {
        m_lasting->m_lasting = LastingTasks();
        m_lasting->m_lasting.update(m_lasting->m_record, m_lasting->m_run, NOW - time);
    }

    /** Returns the host on which the plan places the task; empty if it is not placed. */
    std::string findPlace() {
        for (const Placement& placement : plan().m_placements) {
            if (placement.m_task.m_job == "lasting") {
                return placement.m_worker.m_host;
            }
        }
        return "";
    }

    void keepHeadroom() { m_settings.m_urgentHeadroom["s"] = 8; }

    /** Adds a gang of two whole workers, which reserves the idle one early. */
    void addGang() {
        StepSpec step = makeStep(2, 8);
        step.m_isGang = true;
        step.m_need = m_workers[0].m_capacity;
        step.m_estimate = Millis(30'000);
        addJob("gang", 1, step, NOW - Millis(30'000));
    }

    TestJob* m_lasting = nullptr;
};

}  // namespace

TEST_F(LastingTaskOfAWellUsedService, StartsOnTheWorkerThatIsKeptForUrgentWork) {
    keepHeadroom();
    setAway(MAX_AWAY - Millis(100));
    EXPECT_EQ(findPlace(), "") << "the contract leaves more time";
    setAway(MAX_AWAY);
    EXPECT_EQ(findPlace(), "h3");
}

TEST_F(LastingTaskOfAWellUsedService, StartsOnTheWorkerThatAGangReservesEarly) {
    addGang();
    setAway(MAX_AWAY - Millis(100));
    EXPECT_EQ(findPlace(), "") << "the contract leaves more time";
    setAway(MAX_AWAY);
    EXPECT_EQ(findPlace(), "h3");
}

TEST_F(LastingTaskOfAWellUsedService, StartsBesideBoth) {
    keepHeadroom();
    addGang();
    setAway(MAX_AWAY);
    EXPECT_EQ(findPlace(), "h3");
}

/** The bound asks for twice the capacity that the task needs. */
TEST_F(LastingTaskOfAWellUsedService, WaitsWithoutTwiceItsDemandFree) {
    m_lasting->m_record.m_spec.m_steps[0].m_need.m_accelerators = 5;
    keepHeadroom();
    setAway(MAX_AWAY);
    EXPECT_EQ(findPlace(), "");
}

TEST_F(LastingTaskOfAWellUsedService, StaysOffWorkersThatTakeNoWork) {
    keepHeadroom();
    m_workers[3].m_acceptsWork = false;
    setAway(MAX_AWAY);
    EXPECT_EQ(findPlace(), "");
}

}  // namespace pierbank
