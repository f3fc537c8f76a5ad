// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LearnedState.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "pierbank/control/HostRecordCodec.h"

namespace pierbank {
namespace {

constexpr const char* HOST = "127.0.0.1:7000";
constexpr const char* INCARNATION = "w@1";
constexpr std::uint64_t FORMER_EPOCH = 5;
constexpr std::uint64_t EPOCH = 8;

/** A new leader, whose clock has just started, and what a sidecar gives back to it. */
class LearnedStateTest : public ::testing::Test {
protected:
    LearnedStateTest() {
        m_returned.m_version = {FORMER_EPOCH, 7};
        m_returned.m_age = Millis(2000);
        m_returned.m_record.m_incarnation = INCARNATION;
        m_returned.m_record.m_speed = {-0.5, 10};
        m_returned.m_record.m_health = {1.8, Millis(5000), 2};
        m_returned.m_record.m_runTimes = {{"q", "i", 0.5, 8}};
    }

    RestoreResult restore(const std::string& host = HOST) {
        return m_learned.restore(host, m_returned, EPOCH, m_moment);
    }

    LearnedState m_learned{LearnedStateSettings()};
    ReturnedRecord m_returned;
    Moment m_moment{Millis(300), Millis(1'000'000)};
};

TEST_F(LearnedStateTest, RestoresSpeedAndEvidence) {
    EXPECT_EQ(restore(), RestoreResult::RESTORED);
    EXPECT_NEAR(m_learned.speeds().getSlowness(INCARNATION), std::exp(0.5), 1e-9);
    EXPECT_NEAR(m_learned.speeds().getEvidence(INCARNATION), 10, 1e-9);
    EXPECT_TRUE(m_learned.health().isSuspect(HOST, m_moment.m_now));
    EXPECT_TRUE(m_learned.health().isAvoided(HOST, m_moment.m_now));
}

TEST_F(LearnedStateTest, LetsPausesAndScoresRunOnDuringTheAge) {
    restore();
    EXPECT_TRUE(m_learned.health().isAvoided(HOST, m_moment.m_now + Millis(2900)));
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now + Millis(3000)));
    // The half-life is 15 s, of which 2 s have passed.
    const HealthRecord later = m_learned.health().getRecord(HOST, m_moment.m_now + Millis(13'000));
    EXPECT_NEAR(later.m_failureScore, 0.9, 1e-6);
}

TEST_F(LearnedStateTest, DoesNotRestoreAPauseThatIsOver) {
    m_returned.m_age = Millis(6000);
    restore();
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now));
    EXPECT_TRUE(m_learned.health().isSuspect(HOST, m_moment.m_now));
}

TEST_F(LearnedStateTest, HandsOverWhatItRestored) {
    restore();
    const HostRecord record = m_learned.getRecord(HOST, INCARNATION, "s", m_moment);
    EXPECT_NEAR(record.m_speed.m_logSpeed, -0.5, 1e-9);
    EXPECT_EQ(record.m_health.m_avoidFor, Millis(3000));
    EXPECT_EQ(record.m_health.m_avoidCount, 2U);
    EXPECT_EQ(record.m_runTimes, m_returned.m_record.m_runTimes);
    KeptRecord kept{encodeHostRecord(record, {EPOCH, 1}), 40};
    const ReturnedRecord decoded = decodeKeptRecord(kept);
    EXPECT_EQ(decoded.m_version, RecordVersion(EPOCH, 1));
    EXPECT_EQ(decoded.m_age, Millis(40));
    EXPECT_EQ(decoded.m_record.m_health.m_avoidFor, Millis(3000));
    EXPECT_NEAR(decoded.m_record.m_speed.m_samples, 10, 1e-5);
    EXPECT_EQ(decoded.m_record.m_runTimes, record.m_runTimes);
}

/** Another machine at the same address is another incarnation, which nobody has rated. */
TEST_F(LearnedStateTest, HasNoSpeedOfAnotherIncarnation) {
    restore();
    EXPECT_EQ(m_learned.speeds().getEvidence("w@2"), 0);
    EXPECT_EQ(m_learned.speeds().getSlowness("w@2"), 1.0);
}

TEST_F(LearnedStateTest, KeepsItsOwnSpeedOfTheHost) {
    for (int i = 0; i < 3; ++i) {
        m_learned.speeds().recordSample({"other", "j.0.0", 10.0}, m_moment.m_now);
    }
    m_learned.speeds().recordSample({INCARNATION, "j.0.0", 20.0}, m_moment.m_now);
    restore();
    EXPECT_LT(m_learned.speeds().getSlowness(INCARNATION), 1.0);
}

TEST_F(LearnedStateTest, KeepsItsOwnEvidenceIfThatIsStronger) {
    m_learned.health().recordStalled(HOST, m_moment.m_now);
    m_returned.m_record.m_health = {0.2, Millis(0), 0};
    restore();
    EXPECT_TRUE(m_learned.health().isSuspect(HOST, m_moment.m_now));
}

/**
 * Guards against a host that seems well after a take-over although its runs stall: the own evidence
 * was dated back by the age of a record that had been stronger when it was sent.
 */
TEST_F(LearnedStateTest, KeepsItsOwnEvidenceIfThatOfAnOldRecordHasDecayed) {
    m_learned.health().recordStalled(HOST, m_moment.m_now);
    m_returned.m_record.m_health = {1.2, Millis(0), 0};
    m_returned.m_age = Millis(60'000);
    restore();
    EXPECT_TRUE(m_learned.health().isSuspect(HOST, m_moment.m_now));
}

/** The score comes from this leader, the evidence of wide steps from the record. */
TEST_F(LearnedStateTest, KeepsItsOwnScoreBesideTheEvidenceOfARecord) {
    m_learned.health().recordStalled(HOST, m_moment.m_now);
    m_returned.m_record.m_health = {0.2, Millis(0), 0, 6.0};
    m_returned.m_age = Millis(60'000);
    EXPECT_EQ(restore(), RestoreResult::RESTORED);
    const HealthRecord record = m_learned.health().getRecord(HOST, m_moment.m_now);
    EXPECT_NEAR(record.m_failureScore, 1.0, 1e-6);
    EXPECT_NEAR(record.m_evidence, 6.0 / 16, 1e-6);
}

/** What a link that broke gives back once more is older than what was seen over it. */
TEST_F(LearnedStateTest, BelievesAHostOnlyOnceInATerm) {
    m_returned.m_record.m_health = {};
    restore();
    m_returned.m_record.m_health = {1.8, Millis(5000), 2};
    EXPECT_EQ(restore(), RestoreResult::KNOWN);
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now));
    m_learned.clear();
    EXPECT_EQ(restore(), RestoreResult::RESTORED) << "the next term begins without memory";
}

TEST_F(LearnedStateTest, IgnoresItsOwnRecord) {
    m_returned.m_version = {EPOCH, 3};
    EXPECT_EQ(restore(), RestoreResult::KNOWN);
    EXPECT_EQ(m_learned.speeds().getEvidence(INCARNATION), 0);
}

TEST_F(LearnedStateTest, RefusesTheRecordOfALaterLeader) {
    m_returned.m_version = {EPOCH + 1, 1};
    EXPECT_EQ(restore(), RestoreResult::LATER_LEADER);
    EXPECT_TRUE(isRefusal(RestoreResult::LATER_LEADER));
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now));
}

/** Evidence that a probe is needed counts even if the host has no failure score. */
TEST_F(LearnedStateTest, CarriesTheEvidenceOfWideSteps) {
    HostRecord record;
    record.m_health.m_evidence = 2.5;
    record.m_health.m_pauseFor = Millis(700);
    record.m_health.m_pauseCount = 3;
    record.m_health.m_needsProbe = true;
    const KeptRecord kept{encodeHostRecord(record, {FORMER_EPOCH, 1}), 40};
    EXPECT_EQ(decodeKeptRecord(kept).m_record.m_health, record.m_health);
    m_returned.m_record = record;
    EXPECT_EQ(restore(), RestoreResult::RESTORED);
}

TEST_F(LearnedStateTest, LimitsAPauseThatWouldNotEnd) {
    m_returned.m_record.m_health.m_avoidFor = Millis(std::numeric_limits<std::int64_t>::max());
    restore();
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now + LearnedState::MAX_RECORD_AGE));
}

TEST_F(LearnedStateTest, RefusesAnOldRecord) {
    m_returned.m_age = LearnedState::MAX_RECORD_AGE + Millis(1);
    EXPECT_EQ(restore(), RestoreResult::TOO_OLD);
}

/** Two former leaders told different hosts; only the newest word counts for all. */
class RunTimesOfTwoFormerLeaders : public LearnedStateTest {
protected:
    double getLogRatio() const {
        return m_learned.getRecord(HOST, "", "", m_moment).m_runTimes.at(0).m_logRatio;
    }

    void restoreFrom(const std::string& host, RecordVersion version, double logRatio) {
        m_returned.m_version = version;
        m_returned.m_record.m_runTimes[0].m_logRatio = logRatio;
        m_learned.restore(host, m_returned, EPOCH, m_moment);
    }
};

TEST_F(RunTimesOfTwoFormerLeaders, AreThoseOfTheLatestEpoch) {
    restoreFrom("a", {FORMER_EPOCH, 90}, 0.1);
    restoreFrom("b", {FORMER_EPOCH + 1, 2}, 0.2);
    restoreFrom("c", {FORMER_EPOCH, 99}, 0.3);
    EXPECT_EQ(getLogRatio(), 0.2);
}

TEST_F(RunTimesOfTwoFormerLeaders, AreTheLatestOfOneEpoch) {
    restoreFrom("a", {FORMER_EPOCH, 90}, 0.1);
    restoreFrom("b", {FORMER_EPOCH, 91}, 0.2);
    restoreFrom("c", {FORMER_EPOCH, 89}, 0.3);
    EXPECT_EQ(getLogRatio(), 0.2);
}

/**
 * Guards against records that are sent without need: while the chosen run times changed places,
 * each record seemed to differ from the one before.
 */
TEST_F(LearnedStateTest, ListsTheRunTimesWithTheMostSamplesInTheOrderOfTheirNames) {
    constexpr std::size_t IMAGES = LearnedState::MAX_RUN_TIMES + 4;
    for (std::size_t i = 0; i < IMAGES; ++i) {
        const std::string image(1, static_cast<char>('a' + i));
        m_learned.runTimes().restore({"q", image, 0.5, 1.0 + static_cast<double>(i % 10)},
                                     m_moment.m_now);
    }
    const auto listed = m_learned.getRecord(HOST, "", "", m_moment).m_runTimes;
    ASSERT_EQ(listed.size(), LearnedState::MAX_RUN_TIMES);
    EXPECT_TRUE(std::is_sorted(listed.begin(), listed.end(),
                               [](const auto& a, const auto& b) { return a.m_image < b.m_image; }));
    for (const RunTimeRecord& runTime : listed) {
        EXPECT_GT(runTime.m_samples, 2.0) << runTime.m_image;
    }
}

/** Corrupt values must not keep a host from work for good, or make it seem infinitely fast. */
struct InvalidRecord {
    const char* m_name;
    void (*m_change)(ReturnedRecord&);
};

class InvalidRecordTest : public LearnedStateTest,
                          public ::testing::WithParamInterface<InvalidRecord> {};

TEST_P(InvalidRecordTest, IsRefused) {
    GetParam().m_change(m_returned);
    EXPECT_EQ(restore(), RestoreResult::INVALID);
    EXPECT_FALSE(m_learned.health().isAvoided(HOST, m_moment.m_now));
    EXPECT_EQ(m_learned.speeds().getEvidence(INCARNATION), 0);
}

constexpr double NOT_A_NUMBER = std::numeric_limits<double>::quiet_NaN();

INSTANTIATE_TEST_SUITE_P(
        Values, InvalidRecordTest,
        ::testing::Values(InvalidRecord{"Speed",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_speed.m_logSpeed = NOT_A_NUMBER;
                                        }},
                          InvalidRecord{"Samples",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_speed.m_samples = -1;
                                        }},
                          InvalidRecord{"Score",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_health.m_failureScore =
                                                    std::numeric_limits<double>::infinity();
                                        }},
                          InvalidRecord{"Pause",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_health.m_avoidFor = Millis(-1);
                                        }},
                          InvalidRecord{"Arrivals",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_arrivals = {{"s", 1, NOT_A_NUMBER, 1}};
                                        }},
                          InvalidRecord{"EndlessScore",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_health.m_failureScore = 1e300;
                                        }},
                          InvalidRecord{"EndlessArrivals",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_arrivals = {{"s", 1, 1, 1e300}};
                                        }},
                          InvalidRecord{"RunTime",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_runTimes[0].m_logRatio = NOT_A_NUMBER;
                                        }},
                          InvalidRecord{"TooManyRunTimes",
                                        [](ReturnedRecord& r) {
                                            r.m_record.m_runTimes.resize(17);
                                        }}),
        [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace pierbank
