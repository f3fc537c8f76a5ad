// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HeartbeatOrder.h"

#include <gtest/gtest.h>

#include <limits>

#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr std::uint64_t HUGE_SEQUENCE = std::numeric_limits<std::uint64_t>::max();

class HeartbeatAfterAnother : public ::testing::Test {
protected:
    static WorkerHeartbeat make(std::uint64_t sequence, std::optional<int> clock) {
        WorkerHeartbeat heartbeat;
        heartbeat.m_sequence = sequence;
        heartbeat.m_clock = clock.has_value() ? std::optional(Millis(*clock)) : std::nullopt;
        return heartbeat;
    }
    static HeartbeatAge classify(const WorkerHeartbeat& last, const WorkerHeartbeat& next,
                                 std::optional<int> workerClock) {
        return classifyHeartbeat(
                last, next,
                workerClock.has_value() ? std::optional(Millis(*workerClock)) : std::nullopt);
    }
};

}  // namespace

TEST_F(HeartbeatAfterAnother, IsNewerByItsClock) {
    EXPECT_EQ(classify(make(4, 5000), make(5, 6500), 6500), HeartbeatAge::NEWER);
    EXPECT_EQ(classify(make(5, 6500), make(4, 5000), 6600), HeartbeatAge::OLDER);
    EXPECT_EQ(classify(make(5, 6500), make(5, 6500), 6600), HeartbeatAge::OLDER);
    EXPECT_EQ(classify(make(5, 6500), make(6, 6500), 6600), HeartbeatAge::NEWER);
}

/** Guards against a worker that is ignored for life after one odd sequence number. */
TEST_F(HeartbeatAfterAnother, IsNewerAlthoughAnotherWriterUsedALargerNumber) {
    EXPECT_EQ(classify(make(HUGE_SEQUENCE, 5000), make(5, 6500), 6500), HeartbeatAge::NEWER);
    EXPECT_EQ(classify(make(1004, 5000), make(5, 6500), 6500), HeartbeatAge::NEWER);
}

TEST_F(HeartbeatAfterAnother, IsNewerThanOneWhoseClockTheWorkerHasNotReached) {
    EXPECT_EQ(classify(make(1004, 1'000'000), make(5, 6500), 6500), HeartbeatAge::NEWER);
    EXPECT_EQ(classify(make(1004, 9000), make(5, 6500), 6500), HeartbeatAge::NEWER);
    EXPECT_EQ(classify(make(1004, std::nullopt), make(5, 6500), 6500), HeartbeatAge::NEWER);
}

TEST_F(HeartbeatAfterAnother, IsImpossibleIfItsClockIsFarAheadOrMissing) {
    EXPECT_EQ(classify(make(4, 5000), make(5, 60'000), 6500), HeartbeatAge::IMPOSSIBLE);
    EXPECT_EQ(classify(make(4, 5000), make(5, std::nullopt), 6500), HeartbeatAge::IMPOSSIBLE);
}

/** A process that was paused for seconds extrapolates too little from an answer it read late. */
TEST_F(HeartbeatAfterAnother, IsNewerWhileTheExtrapolatedClockLags) {
    EXPECT_EQ(classify(make(4, 5000), make(5, 11'000), 7000), HeartbeatAge::NEWER);
}

TEST_F(HeartbeatAfterAnother, IsComparedByItsNumberIfTheWorkerStatesNoClock) {
    EXPECT_EQ(classify(make(4, std::nullopt), make(5, std::nullopt), 6500), HeartbeatAge::NEWER);
    EXPECT_EQ(classify(make(5, std::nullopt), make(4, std::nullopt), 6500), HeartbeatAge::OLDER);
    EXPECT_EQ(classify(make(5, std::nullopt), make(4, std::nullopt), std::nullopt),
              HeartbeatAge::OLDER);
}

/**
 * Whatever another writer sends between the worker's heartbeats, and however these are delayed, a
 * heartbeat of the worker that is not delayed is accepted.
 */
TEST_F(HeartbeatAfterAnother, IsAcceptedIfItIsTheWorkersAndNotDelayed) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        int clock = 1000;
        std::uint64_t sequence = 1;
        std::vector<WorkerHeartbeat> sent = {make(sequence, clock)};
        WorkerHeartbeat last = sent.front();
        const auto receive = [&](const WorkerHeartbeat& next) {
            const HeartbeatAge age = classify(last, next, clock);
            if (age == HeartbeatAge::NEWER) {
                last = next;
            }
            return age;
        };
        for (int step = 0; step < 100; ++step) {
            clock += 1 + static_cast<int>(random.below(1500));
            switch (random.below(3)) {
                case 0:
                    receive(make(random.below(HUGE_SEQUENCE),
                                 static_cast<int>(random.below(2'000'000))));
                    break;
                case 1:
                    receive(sent[random.below(sent.size())]);
                    break;
                default:
                    clock += 501;
                    sent.push_back(make(++sequence, clock));
                    ASSERT_EQ(receive(sent.back()), HeartbeatAge::NEWER) << "seed " << seed;
                    break;
            }
        }
    }
}

}  // namespace pierbank::testing
