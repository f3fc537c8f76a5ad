// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/HostTrials.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

namespace pierbank {
namespace {

constexpr const char* STEP = "wide/0/0/0";
constexpr std::size_t HOSTS = 20;
constexpr Millis QUICK{150};
constexpr Millis SLOW{2500};

std::string makeHost(std::size_t number) {
    return "h" + std::to_string(number);
}

/** A wide step has ended well on all hosts but the first. */
class HostTrialsTest : public ::testing::Test {
protected:
    HostTrialsTest() {
        for (std::size_t i = 1; i < HOSTS; ++i) {
            finish(makeHost(i));
        }
    }

    bool end(const std::string& host, RunEnd end, Millis ran, const std::string& step = STEP) {
        RunEvidence evidence{host, "job", end, ran, "life", step};
        return m_trials.recordRunEnd(evidence, m_scale, m_now);
    }
    bool fail(const std::string& host, Millis ran = QUICK, const std::string& step = STEP) {
        return end(host, RunEnd::FAILED, ran, step);
    }
    void finish(const std::string& host, Millis ran = SLOW) { end(host, RunEnd::DONE, ran); }
    bool isPaused(const std::string& host = "h0") const { return m_trials.isPaused(host, m_now); }
    bool isSuspect(const std::string& host = "h0") const {
        return m_trials.isSuspect(host, m_scale, m_now);
    }
    bool isProven(const std::string& host = "h0", const std::string& life = "life") const {
        return m_trials.isProven({host, life}, m_scale, m_now);
    }
    std::uint32_t getLimit(const std::string& host = "h0", const std::string& life = "life") const {
        return m_trials.getMaxTasksPerJob({host, life}, m_scale, m_now);
    }

    HostTrialSettings m_settings;
    HostTrials m_trials{m_settings};
    TrialScale m_scale{Millis(400), Millis(15'000)};
    Millis m_now{100'000};
};

TEST_F(HostTrialsTest, HostsWithoutFailuresHaveNoLimits) {
    EXPECT_EQ(getLimit("h1"), 0U);
    EXPECT_EQ(getLimit("unknown"), 0U);
    EXPECT_TRUE(isProven("h1"));
    EXPECT_FALSE(isProven("unknown"));
}

TEST_F(HostTrialsTest, AFailureOfANarrowStepIsLeftToTheOtherRules) {
    EXPECT_FALSE(fail("h0", QUICK, ""));
    EXPECT_EQ(getLimit(), 0U);
}

TEST_F(HostTrialsTest, AFailureWithoutEndsOnEnoughOtherHostsIsLeftToTheOtherRules) {
    for (std::size_t i = 1; i < StepComparison::MIN_HOSTS; ++i) {
        end(makeHost(i), RunEnd::DONE, SLOW, "new/0/0/0");
    }
    EXPECT_FALSE(fail("h0", QUICK, "new/0/0/0"));
    end(makeHost(StepComparison::MIN_HOSTS), RunEnd::DONE, SLOW, "new/0/0/0");
    EXPECT_TRUE(fail("h0", QUICK, "new/0/0/0"));
}

TEST_F(HostTrialsTest, RunsElsewhereThatLastedLongerCountAsEnds) {
    RunEvidence evidence{"h0", "job", RunEnd::FAILED, QUICK, "life", "new/0/0/0"};
    evidence.m_outlastingHosts = {"h1", "h2", "h3", "h4", "h5", "h5", "h0"};
    EXPECT_FALSE(m_trials.recordRunEnd(evidence, m_scale, m_now));
    evidence.m_outlastingHosts.emplace_back("h6");
    EXPECT_TRUE(m_trials.recordRunEnd(evidence, m_scale, m_now));
    EXPECT_TRUE(isSuspect());
}

TEST_F(HostTrialsTest, AHostDoesNotLoseItsPlaceForOneFailureOfATasksOwn) {
    fail("h0", SLOW);
    EXPECT_FALSE(isSuspect());
    EXPECT_FALSE(isPaused());
}

TEST_F(HostTrialsTest, FailuresAmongGoodEndsDoNotAddUp) {
    constexpr int ROUNDS = 20;
    constexpr int GOOD_ENDS = 4;
    for (int round = 0; round < ROUNDS; ++round) {
        fail("h0", SLOW);
        EXPECT_FALSE(isSuspect()) << round;
        for (int i = 0; i < GOOD_ENDS; ++i) {
            finish("h0");
        }
    }
}

TEST_F(HostTrialsTest, AHostThatFailsHalfOfItsRunsIsPaused) {
    int ends = 0;
    constexpr int MAX_ENDS = 16;
    for (; ends < MAX_ENDS && !isPaused(); ++ends) {
        end("h0", ends % 2 == 0 ? RunEnd::FAILED : RunEnd::DONE, SLOW);
    }
    EXPECT_TRUE(isPaused());
}

TEST_F(HostTrialsTest, HostsWithoutEndsAreForgotten) {
    m_now += m_settings.m_retention + Millis(1);
    finish("other");
    EXPECT_EQ(m_trials.countHosts(), 1U);
}

class HostWithOneQuickFailureTest : public HostTrialsTest {
protected:
    HostWithOneQuickFailureTest() { fail("h0"); }
};

TEST_F(HostWithOneQuickFailureTest, IsSuspectButNotPaused) {
    EXPECT_TRUE(isSuspect());
    EXPECT_FALSE(isPaused());
    EXPECT_FALSE(isSuspect("h1"));
}

TEST_F(HostWithOneQuickFailureTest, IsNotProven) {
    finish("h0");
    EXPECT_FALSE(isProven()) << "the run began before the failure";
    m_now += SLOW;
    finish("h0");
    EXPECT_TRUE(isProven());
}

TEST_F(HostWithOneQuickFailureTest, IsNoLongerLimitedAfterAGoodEnd) {
    EXPECT_EQ(getLimit(), 1U);
    finish("h0");
    EXPECT_EQ(getLimit(), 0U);
}

/** Several failures of one job count: one job may be all that runs there. */
class HostWithTwoQuickFailuresTest : public HostWithOneQuickFailureTest {
protected:
    HostWithTwoQuickFailuresTest() { fail("h0"); }
};

TEST_F(HostWithTwoQuickFailuresTest, IsPausedForAShortTime) {
    EXPECT_TRUE(isPaused());
    EXPECT_EQ(m_trials.countPaused(m_now), 1U);
    m_now += m_settings.m_minPause;
    EXPECT_FALSE(isPaused());
}

TEST_F(HostWithTwoQuickFailuresTest, StaysPausedWhenAnOlderRunEndsWell) {
    finish("h0");
    EXPECT_TRUE(isPaused());
    m_now += m_settings.m_minPause;
    finish("h0", SLOW);
    EXPECT_TRUE(isSuspect());
}

TEST_F(HostWithTwoQuickFailuresTest, DoesNotPauseLongerForFailuresOfOneMoment) {
    for (std::size_t i = 0; i < 5; ++i) {
        fail("h0");
    }
    m_now += m_settings.m_minPause;
    EXPECT_FALSE(isPaused());
}

TEST_F(HostWithTwoQuickFailuresTest, KeepsItsPauseAtTheNextLeader) {
    HealthRecord record;
    m_trials.fillRecord("h0", m_scale, record, m_now + Millis(100));
    EXPECT_EQ(record.m_pauseFor, m_settings.m_minPause - Millis(100));
    HostTrials next(m_settings);
    const Millis later = m_now + Millis(5'000);
    next.restore("h0", record, later);
    EXPECT_TRUE(next.isPaused("h0", later));
    EXPECT_FALSE(next.isPaused("h0", later + record.m_pauseFor));
    EXPECT_EQ(next.getMaxTasksPerJob({"h0", "life"}, m_scale, later + record.m_pauseFor), 1U);
}

class HostOnProbeTest : public HostWithTwoQuickFailuresTest {
protected:
    HostOnProbeTest() {
        m_now += m_settings.m_minPause;
        m_trials.recordPlacement("h0", "task", m_now);
    }
};

TEST_F(HostOnProbeTest, GetsOneTaskAtATime) {
    EXPECT_FALSE(isPaused());
    EXPECT_TRUE(isSuspect());
    EXPECT_EQ(getLimit(), 1U);
    EXPECT_EQ(m_trials.countProbes(), 1U);
}

TEST_F(HostOnProbeTest, IsPausedForLongerIfTheProbeFails) {
    m_now += QUICK;
    fail("h0");
    m_now += m_settings.m_minPause;
    EXPECT_TRUE(isPaused());
    m_now += m_settings.m_minPause;
    EXPECT_FALSE(isPaused());
}

TEST_F(HostOnProbeTest, IsClearedIfTheProbeEndsWell) {
    m_now += SLOW;
    finish("h0", SLOW);
    EXPECT_FALSE(isSuspect());
    EXPECT_EQ(getLimit(), 0U);
    EXPECT_TRUE(isProven());
}

TEST_F(HostOnProbeTest, IsClearedIfTheProbeOutlastsTheFailedRuns) {
    const Millis startedAt = m_now;
    m_now += QUICK;
    m_trials.recordActive({"h0", "life"}, startedAt, m_scale, m_now);
    EXPECT_TRUE(isSuspect());
    m_now += QUICK * m_settings.m_probeFactor;
    m_trials.recordActive({"h0", "life"}, startedAt - SLOW, m_scale, m_now);
    EXPECT_TRUE(isSuspect()) << "the run began before the failures";
    m_trials.recordActive({"h0", "life"}, startedAt, m_scale, m_now);
    EXPECT_FALSE(isSuspect());
    EXPECT_FALSE(isProven()) << "nothing has ended well yet";
}

/** Otherwise a bad host draws the single tasks of other jobs as probes, one after the other. */
TEST_F(HostOnProbeTest, IsPausedIfAProbeOfANarrowStepFails) {
    m_now += QUICK;
    EXPECT_FALSE(fail("h0", QUICK, "")) << "the other rules count the failure, too";
    EXPECT_TRUE(isPaused());
}

TEST_F(HostOnProbeTest, StaysOnProbeIfTheProbeIsLost) {
    m_now += QUICK;
    EXPECT_FALSE(end("h0", RunEnd::LAPSED, QUICK));
    EXPECT_FALSE(isPaused());
    EXPECT_EQ(getLimit(), 1U);
}

TEST_F(HostOnProbeTest, IsPausedAgainByOneQuickFailureAfterItWasCleared) {
    m_now += SLOW;
    finish("h0", SLOW);
    fail("h0");
    EXPECT_TRUE(isPaused());
}

TEST_F(HostOnProbeTest, StopsGrowingItsPauses) {
    for (int i = 0; i < 20; ++i) {
        fail("h0", Millis(0));
        m_now += m_settings.m_maxPause;
        ASSERT_FALSE(isPaused()) << i;
    }
}

/** A faulty step fails on one host first, where it looks like the host's fault. */
class HostPausedForAFaultyStepTest : public HostTrialsTest {
protected:
    HostPausedForAFaultyStepTest() {
        RunEvidence evidence{"h0", "job", RunEnd::FAILED, QUICK, "life", FAULTY};
        evidence.m_outlastingHosts = {"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"};
        for (int i = 0; i < 2; ++i) {
            m_trials.recordRunEnd(evidence, m_scale, m_now);
        }
    }
    static constexpr const char* FAULTY = "faulty/0/0/0";
};

TEST_F(HostPausedForAFaultyStepTest, IsClearedWhenTheStepHasFailedOnMostHosts) {
    EXPECT_TRUE(isPaused());
    for (std::size_t i = 1; i <= StepComparison::MIN_HOSTS + 1; ++i) {
        fail(makeHost(i), SLOW, FAULTY);
    }
    EXPECT_FALSE(isPaused());
    EXPECT_FALSE(isSuspect());
}

TEST_F(HostPausedForAFaultyStepTest, StaysPausedForFailuresOfOtherSteps) {
    fail("h0");
    fail("h0");
    for (std::size_t i = 1; i <= StepComparison::MIN_HOSTS + 1; ++i) {
        fail(makeHost(i), SLOW, FAULTY);
    }
    EXPECT_TRUE(isPaused());
}

class WorkerThatHasComeBackTest : public HostTrialsTest {};

TEST_F(WorkerThatHasComeBackTest, IsLimitedUntilARunEndsWell) {
    EXPECT_EQ(getLimit("h1", "next life"), m_settings.m_maxTasksPerJob);
    EXPECT_FALSE(isProven("h1", "next life"));
    RunEvidence evidence{"h1", "job", RunEnd::DONE, SLOW, "next life", STEP};
    m_trials.recordRunEnd(evidence, m_scale, m_now);
    EXPECT_EQ(getLimit("h1", "next life"), 0U);
    EXPECT_TRUE(isProven("h1", "next life"));
}

TEST_F(WorkerThatHasComeBackTest, IsLimitedUntilARunHasLasted) {
    m_trials.recordActive({"h1", "next life"}, m_now - m_scale.m_quickFailureTime, m_scale, m_now);
    EXPECT_EQ(getLimit("h1", "next life"), 0U);
}

/**
 * Ends of a sound and perhaps a faulty wide step, which each host ends equally often, in any order.
 * Runs on bad hosts fail quickly, runs of the faulty step fail at any time.
 */
class FleetOfEnds {
public:
    FleetOfEnds(std::uint32_t badHosts, std::uint32_t seed) : m_random(seed) {
        while (m_badHosts.size() < badHosts) {
            m_badHosts.insert(choose(0, FLEET - 1));
        }
    }

    void endRuns(bool withFaultyStep) {
        std::vector<std::size_t> hosts(FLEET);
        std::iota(hosts.begin(), hosts.end(), 0U);
        for (int round = 0; round < ROUNDS; ++round) {
            std::shuffle(hosts.begin(), hosts.end(), m_random);
            for (const std::size_t host : hosts) {
                endRun("sound/0/0/0", host, false);
                if (withFaultyStep) {
                    endRun("faulty/0/0/0", choose(0, FLEET - 1), true);
                }
            }
        }
    }

    static constexpr std::size_t FLEET = 40;
    static constexpr int ROUNDS = 12;
    std::set<std::size_t> m_badHosts;
    /** Hosts that were paused at any time. */
    std::set<std::size_t> m_paused;

private:
    std::size_t choose(std::size_t min, std::size_t max) {
        return std::uniform_int_distribution<std::size_t>(min, max)(m_random);
    }
    void endRun(const std::string& step, std::size_t host, bool isFaulty) {
        m_now += Millis(5);
        const std::string name = makeHost(host);
        if (m_trials.isPaused(name, m_now)) {
            return;
        }
        const bool isBad = m_badHosts.count(host) != 0;
        const Millis anyTime(static_cast<std::int64_t>(choose(50, 2500)));
        RunEvidence evidence{name,
                             step,
                             isBad || isFaulty ? RunEnd::FAILED : RunEnd::DONE,
                             isBad ? QUICK : (isFaulty ? anyTime : SLOW),
                             "life",
                             step};
        m_trials.recordRunEnd(evidence, m_scale, m_now);
        if (m_trials.isPaused(name, m_now)) {
            m_paused.insert(host);
        }
    }

    std::mt19937 m_random;
    HostTrials m_trials{HostTrialSettings()};
    TrialScale m_scale{Millis(400), Millis(15'000)};
    Millis m_now{100'000};
};

RC_GTEST_PROP(HostTrialsProperty, AFaultyStepPausesNoHost, (std::uint32_t seed)) {
    FleetOfEnds fleet(0, seed);
    fleet.endRuns(true);
    RC_ASSERT(fleet.m_paused.empty());
}

RC_GTEST_PROP(HostTrialsProperty, BadHostsArePausedAndNoOthers, (std::uint32_t seed)) {
    FleetOfEnds fleet(*rc::gen::inRange(1U, 7U), seed);
    fleet.endRuns(false);
    RC_ASSERT(fleet.m_paused == fleet.m_badHosts);
}

RC_GTEST_PROP(HostTrialsProperty, BadHostsAreToldFromAFaultyStep, (std::uint32_t seed)) {
    FleetOfEnds fleet(*rc::gen::inRange(1U, 7U), seed);
    fleet.endRuns(true);
    RC_ASSERT(fleet.m_paused == fleet.m_badHosts);
}

RC_GTEST_PROP(HostTrialsProperty, StateStaysBounded, ()) {
    StepComparison steps;
    const auto count = *rc::gen::inRange<std::size_t>(1, 200);
    for (std::size_t i = 0; i < count; ++i) {
        RunEvidence evidence{"h0", "job", RunEnd::DONE, SLOW, "life", std::to_string(i)};
        steps.recordRunEnd(evidence, false, Millis(static_cast<std::int64_t>(i)));
    }
    RC_ASSERT(steps.countSteps() <= StepComparison::MAX_STEPS);
}

}  // namespace
}  // namespace pierbank
