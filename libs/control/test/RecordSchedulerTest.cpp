// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RecordScheduler.h"

#include <gtest/gtest.h>

#include "pierbank/wire/FrameCodec.h"

namespace pierbank {
namespace {

constexpr Millis TICK{100};

/** A leader that learns about its hosts, with the frames that it sends on each tick. */
class RecordSchedulerTest : public ::testing::Test {
protected:
    RecordSchedulerTest() {
        m_scheduler.start(5);
        m_record.m_incarnation = "w0-1@1700000000000";
        m_record.m_speed = {-0.5, 4};
    }

    /** Advances the clock and sends what is due. @return the number of frames. */
    std::size_t advance(Millis time) {
        std::size_t frames = 0;
        for (Millis passed{0}; passed < time; passed += TICK) {
            m_now += TICK;
            for (const std::string& host : m_scheduler.takeDue(m_now)) {
                const auto frame = m_scheduler.makeFrame(host, m_record, m_now);
                if (frame.has_value()) {
                    ++frames;
                    ++m_framesOf[host];
                    m_bytes += encodeFrame(*frame).size();
                    EXPECT_GT(frame->m_sequence, m_sequence);
                    m_sequence = frame->m_sequence;
                }
            }
        }
        return frames;
    }

    /** Learns about a host on each tick; its speed changes each time. */
    std::size_t learnAllTheTime(Millis time) {
        std::size_t frames = 0;
        for (Millis passed{0}; passed < time; passed += TICK) {
            m_record.m_speed.m_logSpeed += 0.1;
            m_scheduler.recordChange("h", m_now);
            frames += advance(TICK);
        }
        return frames;
    }

    RecordScheduler m_scheduler;
    HostRecord m_record;
    Millis m_now{1000};
    std::size_t m_bytes = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, std::size_t> m_framesOf;
};

TEST_F(RecordSchedulerTest, SendsNothingUnlessSomethingWasLearned) {
    EXPECT_EQ(advance(Millis(60'000)), 0U);
}

TEST_F(RecordSchedulerTest, SendsNothingAboutAHostOfWhichNothingIsKnown) {
    m_record = HostRecord();
    m_record.m_incarnation = "w";
    m_scheduler.recordChange("h", m_now);
    EXPECT_EQ(advance(Millis(1000)), 0U);
}

TEST_F(RecordSchedulerTest, SendsTheFirstRecordAtOnce) {
    m_scheduler.recordChange("h", m_now);
    EXPECT_EQ(advance(TICK), 1U);
}

TEST_F(RecordSchedulerTest, SendsFewBytesToAHostOfWhichMuchIsLearned) {
    for (std::size_t i = 0; i < 16; ++i) {
        m_record.m_runTimes.push_back({"queue-" + std::to_string(i), "image:1", 0.1, 5});
    }
    m_record.m_arrivals.push_back({"service", 4, 32, 64'000});
    constexpr std::int64_t SECONDS = 120;
    learnAllTheTime(Millis(SECONDS * 1000));
    EXPECT_GT(m_framesOf["h"], 5U);
    EXPECT_LT(m_bytes / SECONDS, 100U);
}

TEST_F(RecordSchedulerTest, LetsAHostWaitForSecondsBetweenTwoSmallRecords) {
    const std::size_t frames = learnAllTheTime(Millis(10'000));
    EXPECT_GE(frames, 4U);
    EXPECT_LE(frames, 6U);
}

TEST_F(RecordSchedulerTest, SendsTheWordThatCameDuringTheWaitAfterIt) {
    m_scheduler.recordChange("h", m_now);
    advance(TICK);
    m_record.m_health = {1.5, Millis(3000), 1};
    m_scheduler.recordChange("h", m_now);
    EXPECT_EQ(advance(Millis(1000)), 0U);
    EXPECT_EQ(advance(Millis(2000)), 1U);
}

TEST_F(RecordSchedulerTest, SpreadsTheRecordsOfManyHosts) {
    constexpr std::size_t HOSTS = 690;
    for (std::size_t i = 0; i < HOSTS; ++i) {
        m_scheduler.recordChange("h" + std::to_string(i), m_now);
    }
    EXPECT_LE(advance(TICK), RecordScheduler::MAX_HOSTS_AT_ONCE);
    advance(Millis(40'000));
    EXPECT_EQ(m_framesOf.size(), HOSTS);
}

/** A host whose runs go on teaching the leader something delays no other host's record. */
TEST_F(RecordSchedulerTest, ServesTheHostThatIsDueLongestFirst) {
    for (int i = 0; i < 50; ++i) {
        m_scheduler.recordChange("busy" + std::to_string(i % 10), m_now);
        if (i == 25) {
            m_scheduler.recordChange("quiet", m_now);
        }
        m_record.m_speed.m_logSpeed += 0.1;
        advance(TICK);
    }
    EXPECT_EQ(m_framesOf["quiet"], 1U);
}

class RecordThatWasSent : public RecordSchedulerTest {
protected:
    RecordThatWasSent() {
        m_scheduler.recordChange("h", m_now);
        advance(Millis(5000));
    }

    std::size_t learn() {
        m_scheduler.recordChange("h", m_now);
        return advance(TICK);
    }
};

TEST_F(RecordThatWasSent, IsNotSentAgainForASmallChange) {
    m_record.m_speed = {-0.51, 4.5};
    EXPECT_EQ(learn(), 0U);
}

TEST_F(RecordThatWasSent, IsNotSentAgainBecauseAScoreDecays) {
    m_record.m_health = {1.5, Millis(3000), 1};
    ASSERT_EQ(learn(), 1U);
    advance(Millis(2500));
    m_record.m_health = {1.4, Millis(500), 1};
    EXPECT_EQ(learn(), 0U);
}

TEST_F(RecordThatWasSent, IsSentAgainForANewPauseOrAnotherSpeed) {
    m_record.m_health = {1.5, Millis(3000), 1};
    EXPECT_EQ(learn(), 1U);
    advance(Millis(5000));
    m_record.m_speed.m_logSpeed = 0;
    EXPECT_EQ(learn(), 1U);
}

TEST_F(RecordThatWasSent, IsSentAgainForAnotherIncarnation) {
    m_record.m_incarnation = "w0-2@1700000009000";
    EXPECT_EQ(learn(), 1U);
}

/** The sidecar may be another process, which kept nothing. */
TEST_F(RecordThatWasSent, IsSentAgainAfterANewLink) {
    ASSERT_EQ(learn(), 0U);
    advance(Millis(5000));
    m_scheduler.handleUnlinked("h");
    EXPECT_EQ(learn(), 1U);
}

TEST_F(RecordThatWasSent, IsSentAgainAfterATimeSoThatItsArrivalsAreFresh) {
    advance(RecordScheduler::REFRESH_INTERVAL);
    EXPECT_EQ(learn(), 1U);
}

/**
 * Guards against a host that the next leader still limits although it is well: once nothing was
 * known against it any more, its sidecar kept the last record about its failures.
 */
class EvidenceThatWasSent : public RecordThatWasSent {
protected:
    EvidenceThatWasSent() {
        m_record = HostRecord();
        m_record.m_incarnation = "w0-1@1700000000000";
        m_record.m_health.m_needsProbe = true;
        learn();
        advance(Millis(5000));
        m_record.m_health = HealthRecord();
    }
};

TEST_F(EvidenceThatWasSent, IsReplacedByAnEmptyRecordOnce) {
    EXPECT_EQ(learn(), 1U);
    advance(Millis(5000));
    EXPECT_EQ(learn(), 0U);
}

TEST_F(EvidenceThatWasSent, IsReplacedAfterANewLinkToo) {
    m_scheduler.handleUnlinked("h");
    EXPECT_EQ(learn(), 1U);
    advance(Millis(5000));
    EXPECT_EQ(learn(), 0U);
}

/** The sidecar has what a former leader told it, which was restored and is refuted since. */
TEST_F(RecordSchedulerTest, ReplacesTheRecordOfAFormerLeaderByAnEmptyOne) {
    m_record = HostRecord();
    m_scheduler.recordKept("h");
    m_scheduler.recordChange("h", m_now);
    EXPECT_EQ(advance(TICK), 1U);
}

TEST_F(RecordThatWasSent, IsForgottenWithItsHost) {
    m_scheduler.recordChange("h", m_now);
    m_scheduler.forget("h");
    EXPECT_TRUE(m_scheduler.takeDue(m_now + Millis(60'000)).empty());
}

}  // namespace
}  // namespace pierbank
