// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RecordKeeper.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

constexpr std::uint64_t EPOCH = 5;

/** A sidecar that keeps record 7 of leader 5, which it received at 1 s. */
class RecordKeeperTest : public ::testing::Test {
protected:
    RecordKeeperTest() { m_keeper.keep(makeRecord(EPOCH, 7), EPOCH, Millis(1000)); }

    static LearnedRecord makeRecord(std::uint64_t epoch, std::uint64_t sequence) {
        LearnedRecord record;
        record.m_epoch = epoch;
        record.m_sequence = sequence;
        record.m_incarnation = "w@1";
        record.m_logSpeed = -0.5;
        record.m_speedSamples = 4;
        record.m_health.m_failureScore = 1.5;
        return record;
    }

    RecordKeeper m_keeper;
};

TEST_F(RecordKeeperTest, GivesTheRecordBackWithItsAge) {
    const auto kept = m_keeper.getKept("w@1", Millis(3500));
    ASSERT_TRUE(kept.has_value());
    EXPECT_EQ(kept->m_record, makeRecord(EPOCH, 7));
    EXPECT_EQ(kept->m_ageMs, 2500U);
}

TEST_F(RecordKeeperTest, HasNothingAfterARestartOfTheSidecar) {
    EXPECT_FALSE(RecordKeeper().getKept("w@1", Millis(0)).has_value());
}

TEST_F(RecordKeeperTest, TakesTheNextRecordOfTheLeaderAndOfItsSuccessor) {
    EXPECT_TRUE(m_keeper.keep(makeRecord(EPOCH, 8), EPOCH, Millis(2000)));
    EXPECT_TRUE(m_keeper.keep(makeRecord(EPOCH + 1, 1), EPOCH + 1, Millis(3000)));
    const auto kept = m_keeper.getKept("w@1", Millis(3000));
    EXPECT_EQ(kept->m_record.m_epoch, EPOCH + 1);
    EXPECT_EQ(kept->m_ageMs, 0U);
}

TEST_F(RecordKeeperTest, RefusesAnOlderOrRepeatedRecordOfTheSameLeader) {
    EXPECT_FALSE(m_keeper.keep(makeRecord(EPOCH, 6), EPOCH, Millis(2000)));
    EXPECT_FALSE(m_keeper.keep(makeRecord(EPOCH, 7), EPOCH, Millis(2000)));
    EXPECT_EQ(m_keeper.getKept("w@1", Millis(2000))->m_ageMs, 1000U);
}

TEST_F(RecordKeeperTest, RefusesAnOldLeaderThatStillTells) {
    EXPECT_FALSE(m_keeper.keep(makeRecord(EPOCH - 1, 99), EPOCH, Millis(2000)));
    // Also if the successor has not sent a record yet.
    EXPECT_FALSE(m_keeper.keep(makeRecord(EPOCH, 99), EPOCH + 1, Millis(2000)));
    EXPECT_EQ(m_keeper.getKept("w@1", Millis(2000))->m_record.m_sequence, 7U);
}

/** Another machine may run at the address, so that the speed is not its speed. */
TEST_F(RecordKeeperTest, GivesOnlyTheEvidenceBackForAnotherIncarnation) {
    const auto kept = m_keeper.getKept("w@2", Millis(2000));
    EXPECT_EQ(kept->m_record.m_speedSamples, 0);
    EXPECT_EQ(kept->m_record.m_logSpeed, 0);
    EXPECT_EQ(kept->m_record.m_health.m_failureScore, 1.5);
}

}  // namespace
}  // namespace pierbank
