// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "TaskPlannerFixture.h"

namespace pierbank {
namespace {

/** A lasting step with a task on each of two workers; the second one gives way to urgent work. */
class PlannerLastingStepTest : public TaskPlannerFixture {
protected:
    void SetUp() override {
        StepSpec step = makeStep(2, 8);
        step.m_isLongRunning = true;
        step.m_maxUnavailable = 1;
        m_lasting = &addJob("lasting", 2, step);
        for (std::uint32_t i = 0; i < 2; ++i) {
            applyPlacement(m_lasting->m_run, {"lasting", 0, 0, i}, 1, m_workers[i].m_id,
                           NOW - Millis(6000));
        }
        m_workers[1].m_labels.insert("wanted");
        m_guarantees["o"] = 8;
        StepSpec urgent = makeStep(1, 8);
        urgent.m_requiredLabel = "wanted";
        addJob("urgent", 0, urgent, NOW - Millis(2000));
    }
    void report(std::uint32_t task, std::uint32_t percent) {
        m_lasting->m_lasting.recordProgress({"lasting", 0, 0, task}, 1, percent);
    }

    TestJob* m_lasting = nullptr;
};

/** Guards against a second task that is stopped while the first is starting on a slow worker. */
TEST_F(PlannerLastingStepTest, GivesNoTaskAwayWhileAnotherIsNotAtWork) {
    report(0, 40);
    report(1, 100);
    EXPECT_TRUE(plan().m_stops.empty());
}

TEST_F(PlannerLastingStepTest, GivesTheTaskAwayThatIsNotAtWorkItself) {
    report(0, 100);
    report(1, 40);
    EXPECT_EQ(plan().m_stops.size(), 1U);
}

TEST_F(PlannerLastingStepTest, GivesATaskAwayWhenAllAreAtWork) {
    report(0, 100);
    report(1, 100);
    ASSERT_EQ(plan().m_stops.size(), 1U);
    EXPECT_EQ(plan().m_stops[0].m_task, (TaskKey{"lasting", 0, 0, 1}));
}

}  // namespace
}  // namespace pierbank
