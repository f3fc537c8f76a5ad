// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "pierbank/job/JobCodec.h"
#include "pierbank/job/JobRun.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1'000'000'000};
/** Largest value of the platform's store. */
constexpr std::size_t MAX_RECORD_BYTES = 1'048'576;

/** A schedule of which 105,120 runs are due at once. */
class ScheduleThatBeginsInThePast : public ::testing::Test {
protected:
    ScheduleThatBeginsInThePast() {
        StepSpec step;
        step.m_tasks = 2;
        m_record.m_id = "j";
        m_record.m_spec.m_steps = {step};
        m_record.m_spec.m_occurrences = RUNS;
        m_record.m_spec.m_firstDue = Millis(1);
        m_record.m_spec.m_interval = Millis(1);
        m_run = makeJobRun(m_record);
    }

    static constexpr std::uint32_t RUNS = 105'120;
    JobRecord m_record;
    JobRun m_run;
};

}  // namespace

/** Guards against a record that the store refuses, so that no decision is committed any more. */
TEST_F(ScheduleThatBeginsInThePast, FitsIntoARecordOfTheStore) {
    EXPECT_TRUE(addDueOccurrences(m_record, m_run, NOW));
    EXPECT_LT(encodeJobRun(m_run).size(), MAX_RECORD_BYTES / 2);
    EXPECT_FALSE(addDueOccurrences(m_record, m_run, NOW));
}

TEST_F(ScheduleThatBeginsInThePast, RunsEachTimeOnceAndInOrder) {
    std::uint32_t next = 0;
    while (addDueOccurrences(m_record, m_run, NOW)) {
        for (const OccurrenceRun& occurrence : m_run.m_occurrences) {
            ASSERT_EQ(occurrence.m_number, next++);
        }
        // All of them end.
        m_run.m_occurrences.clear();
    }
    EXPECT_EQ(next, RUNS);
}

/** One occurrence that is larger than the bound still runs. */
TEST_F(ScheduleThatBeginsInThePast, RunsAnOccurrenceOfAnySize) {
    m_record.m_spec.m_occurrences = 3;
    m_record.m_spec.m_steps[0].m_tasks = 50'000;
    EXPECT_TRUE(addDueOccurrences(m_record, m_run, NOW));
    EXPECT_EQ(m_run.m_occurrences.size(), 1U);
}

}  // namespace pierbank
