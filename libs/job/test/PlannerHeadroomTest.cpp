// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

class PlannerHeadroomTest : public TaskPlannerFixture {
protected:
    void SetUp() override {
        m_settings.m_urgentHeadroom["s"] = 8;
        addRunning("old", 0, 4, Millis(100));
    }
    std::set<std::string> listHostsOfNewJob(std::uint32_t priority) {
        addJob("new", priority, makeStep(32, 1));
        std::set<std::string> hosts;
        for (const Placement& placement : plan().m_placements) {
            hosts.insert(placement.m_worker.m_host);
        }
        return hosts;
    }
};

TEST_F(PlannerHeadroomTest, ConsistsOfWorkersWithLeastOtherWorkAndExcludesOtherWork) {
    EXPECT_EQ(listHostsOfNewJob(2), (std::set<std::string>{"h0", "h2", "h3"}));
}

TEST_F(PlannerHeadroomTest, AcceptsUrgentWork) {
    EXPECT_EQ(listHostsOfNewJob(0), (std::set<std::string>{"h0", "h1", "h2", "h3"}));
}

TEST_F(PlannerHeadroomTest, AcceptsFirstRunOfWaitingJobWhileUnderutilized) {
    // These runs use all accelerators of their workers, but few processors.
    addRunning("busy2", 2, 8, Millis(100));
    addRunning("busy3", 3, 8, Millis(100));
    addJob("late", 2, makeStep(2, 4), NOW - Millis(2000));
    addJob("later", 2, makeStep(2, 4), NOW - Millis(1900));
    std::map<std::string, std::set<std::string>> hosts;
    for (const Placement& placement : plan().m_placements) {
        hosts[placement.m_task.m_job].insert(placement.m_worker.m_host);
    }
    EXPECT_EQ(hosts["late"], std::set<std::string>{"h0"});
    EXPECT_EQ(hosts["later"], std::set<std::string>{"h1"});
}

/**
 * Guards against a lasting task that stays away beside an empty worker: the worker is kept for
 * urgent work, and the bound on idle time asked only whether the whole job is idle.
 */
TEST_F(PlannerHeadroomTest, AcceptsALastingTaskThatHasBeenAwayForLong) {
    StepSpec step = makeStep(2, 4);
    step.m_isLongRunning = true;
    step.m_maxUnavailable = 1;
    step.m_requiredLabel = "wanted";
    TestJob& job = addJob("lasting", 2, step, NOW - Millis(30'000));
    m_workers[0].m_labels.insert("wanted");
    m_workers[1].m_labels.insert("wanted");
    applyPlacement(job.m_run, {"lasting", 0, 0, 0}, 1, m_workers[0].m_id, NOW - Millis(25'000));
    job.m_lasting.update(job.m_record, job.m_run, NOW - Millis(5900));
    EXPECT_TRUE(plan().m_placements.empty());
    job.m_lasting = LastingTasks();
    job.m_lasting.update(job.m_record, job.m_run, NOW - Millis(6000));
    const TaskPlan result = plan();
    ASSERT_EQ(result.m_placements.size(), 1U);
    EXPECT_EQ(result.m_placements[0].m_worker.m_host, "h1");
}

TEST_F(PlannerHeadroomTest, IsUsedLastByOtherWork) {
    EXPECT_EQ(listHostsOfNewJob(2).count("h1"), 0U);
    m_jobs.back().m_record.m_acceptedAt = NOW - Millis(2000);
    for (const Placement& placement : plan().m_placements) {
        EXPECT_NE(placement.m_worker.m_host, "h1");
    }
}

TEST_F(PlannerHeadroomTest, ExcludesWaitingJobsWhileWellUtilized) {
    for (int worker = 2; worker < 4; ++worker) {
        addRunning("busy" + std::to_string(worker), worker, 8, Millis(100));
        m_jobs.back().m_record.m_spec.m_steps[0].m_need = {64'000, 64'000, 8};
    }
    m_jobs.front().m_record.m_spec.m_steps[0].m_need = {64'000, 64'000, 8};
    addJob("late", 2, makeStep(1, 8), NOW - Millis(2000));
    EXPECT_TRUE(plan().m_placements.empty());
}

TEST_F(PlannerHeadroomTest, IsLimitedToMaxHeadroomShare) {
    m_settings.m_urgentHeadroom["s"] = 1000;
    EXPECT_EQ(listHostsOfNewJob(2).size(), 3U);
}

TEST_F(PlannerHeadroomTest, IsEmptyWhenBelowOneWholeWorker) {
    m_settings.m_urgentHeadroom["s"] = 7;
    EXPECT_EQ(listHostsOfNewJob(2).size(), 4U);
}

}  // namespace
}  // namespace pierbank
