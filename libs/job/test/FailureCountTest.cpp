// SPDX-License-Identifier: Apache-2.0
/*
 * Failure: a job is shown as failed after fewer failed runs than its queue allows.
 *
 * The ends of two runs of one task come in any order, and the next leader gets all ends again that
 * no worker was told are persisted. Each failed run must count once: not again at the next leader,
 * and not never because a later run was counted before.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "pierbank/job/JobCodec.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1000};
const WorkerId HOST_A{"a", "life"};
const WorkerId HOST_B{"b", "life"};

/** Provides a job of one step and applies ends to it in the way in which a leader does. */
class FailureCountTest : public ::testing::Test {
protected:
    static constexpr std::uint32_t ATTEMPTS = 3;

    void makeJob(std::uint32_t tasks, bool isGang) {
        StepSpec step;
        step.m_tasks = tasks;
        step.m_isGang = isGang;
        step.m_isSpeculative = !isGang;
        m_record.m_id = "j";
        m_record.m_spec.m_steps = {step};
        m_record.m_policy.m_attempts = ATTEMPTS;
        m_run = makeJobRun(m_record);
    }

    static TaskKey memberOf(std::uint32_t index) { return {"j", 0, 0, index}; }

    /** Applies an end as JobController::applyRunEnd() does. */
    EndEffect report(const TaskKey& task, std::uint32_t run, RunEnd how) {
        return m_run.findActiveRun(task, run).has_value()
                       ? applyEnd(m_record, m_run, task, run, how, "", NOW)
                       : applyLateEnd(m_record, m_run, {task, run, HOST_A}, how, NOW);
    }

    void lose(const TaskKey& task, std::uint32_t run) {
        applyNotRunning(m_record, m_run, task, run, NOW);
    }

    /** Replaces the state by what the next leader loads. */
    void changeLeader() {
        auto loaded = decodeJobRun(encodeJobRun(m_run));
        ASSERT_TRUE(loaded.has_value());
        m_run = std::move(*loaded);
    }

    std::uint32_t countFailures() { return m_run.findTask(memberOf(0))->m_failures; }

    JobRecord m_record;
    JobRun m_run;
};

/** Runs 1 and 2 of a task are a run and its copy; the copy fails first. */
class CopyThatFailsFirst : public FailureCountTest {
protected:
    void SetUp() override {
        makeJob(1, false);
        applyPlacement(m_run, TASK, 1, HOST_A, NOW);
        applyCopy(m_run, TASK, HOST_B, NOW);
        report(TASK, 2, RunEnd::FAILED);
        report(TASK, 1, RunEnd::FAILED);
    }

    const TaskKey TASK = memberOf(0);
};

TEST_F(CopyThatFailsFirst, IsNotCountedAgainByTheNextLeader) {
    changeLeader();
    EXPECT_FALSE(report(TASK, 2, RunEnd::FAILED).m_isApplied);
    EXPECT_FALSE(report(TASK, 1, RunEnd::FAILED).m_isApplied);
    EXPECT_EQ(countFailures(), 2U);
    EXPECT_FALSE(m_run.isFinished());
}

/** A late order may execute a run a second time that has failed already. */
TEST_F(CopyThatFailsFirst, IsNotCountedAgainIfItsRunIsFoundOnceMore) {
    ASSERT_TRUE(trackOrphanedRun(m_record, m_run, {TASK, 2, HOST_B, NOW, true, false}));
    EXPECT_TRUE(report(TASK, 2, RunEnd::FAILED).m_isApplied) << "the run is released";
    EXPECT_EQ(countFailures(), 2U);
}

TEST_F(CopyThatFailsFirst, LeavesTheJobItsLastAttempt) {
    changeLeader();
    report(TASK, 2, RunEnd::FAILED);
    applyPlacement(m_run, TASK, 3, HOST_A, NOW);
    report(TASK, 3, RunEnd::DONE);
    EXPECT_EQ(m_run.m_phase, JobPhase::SUCCEEDED);
}

/** Run 1 of a task is lost; run 2 fails before the end of run 1 is reported. */
class LostRunBesideAFailedOne : public FailureCountTest {
protected:
    void SetUp() override {
        makeJob(1, false);
        m_record.m_policy.m_attempts = 2;
        applyPlacement(m_run, TASK, 1, HOST_A, NOW);
        lose(TASK, 1);
        applyPlacement(m_run, TASK, 2, HOST_B, NOW);
        report(TASK, 2, RunEnd::FAILED);
    }

    const TaskKey TASK = memberOf(0);
};

TEST_F(LostRunBesideAFailedOne, IsCountedWhenItsFailureIsReported) {
    EXPECT_TRUE(report(TASK, 1, RunEnd::FAILED).m_endsJob);
    EXPECT_EQ(countFailures(), 2U);
}

TEST_F(LostRunBesideAFailedOne, IsCountedByTheNextLeader) {
    changeLeader();
    EXPECT_FALSE(report(TASK, 2, RunEnd::FAILED).m_isApplied);
    EXPECT_TRUE(report(TASK, 1, RunEnd::FAILED).m_endsJob);
}

/** A gang's members share the numbers of their runs, and a run counts at its first failed member.
 */
class GangWhoseRunsFail : public FailureCountTest {
protected:
    static constexpr std::uint32_t MEMBERS = 3;

    void SetUp() override { makeJob(MEMBERS, true); }

    void place(std::uint32_t run) {
        for (std::uint32_t i = 0; i < MEMBERS; ++i) {
            applyPlacement(m_run, memberOf(i), run, HOST_A, NOW);
        }
    }
};

TEST_F(GangWhoseRunsFail, CountsARunOnceThoughAMembersEndComesAfterTheNextRunFailed) {
    place(1);
    lose(memberOf(2), 1);
    report(memberOf(0), 1, RunEnd::FAILED);
    report(memberOf(1), 1, RunEnd::GANG_BROKEN);
    place(2);
    report(memberOf(1), 2, RunEnd::FAILED);
    changeLeader();
    report(memberOf(2), 1, RunEnd::FAILED);
    report(memberOf(1), 2, RunEnd::FAILED);
    EXPECT_EQ(countFailures(), 2U);
}

TEST_F(GangWhoseRunsFail, CountsALostRunThatFailedBeforeTheOneThatWasCounted) {
    place(1);
    for (std::uint32_t i = 0; i < MEMBERS; ++i) {
        lose(memberOf(i), 1);
    }
    place(2);
    report(memberOf(0), 2, RunEnd::FAILED);
    report(memberOf(2), 1, RunEnd::FAILED);
    report(memberOf(1), 1, RunEnd::FAILED);
    EXPECT_EQ(countFailures(), 2U);
}

/**
 * Runs, copies, losses, orphaned runs, changes of leader and reports in any order, drawn at random.
 * A run ends once; its end may be reported late, again and to the next leader.
 */
class EndsInAnyOrder : public FailureCountTest {
protected:
    using Run = std::pair<std::uint32_t, std::uint32_t>;  // index of the task, number of the run

    static std::size_t draw(std::size_t count) { return *rc::gen::inRange<std::size_t>(0, count); }

    void drawJob(std::uint32_t tasks, bool isGang) {
        makeJob(tasks, isGang);
        m_record.m_policy.m_attempts = static_cast<std::uint32_t>(2 + draw(40));
        m_ends.clear();
        m_failed.clear();
    }

    void drawEvent() {
        switch (draw(7)) {
            case 0:
                placeWaiting();
                break;
            case 1:
                copy();
                break;
            case 2:
                loseOne();
                break;
            case 3:
                trackOne();
                break;
            case 4:
                changeLeader();
                break;
            default:
                endOrRepeat();
                break;
        }
    }

    std::vector<ActiveRun> listActive() const { return listActiveRuns("j", m_run); }

    void placeWaiting() {
        auto& tasks = m_run.m_occurrences[0].m_steps[0].m_tasks;
        const bool isGang = m_record.m_spec.m_steps[0].m_isGang;
        const bool isIdle = listActive().empty();
        const std::uint32_t gangRun = getNextRunNumber(m_record, m_run, memberOf(0));
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            if (isGang ? isIdle : tasks[i].m_state == TaskState::WAITING) {
                const std::uint32_t run =
                        isGang ? gangRun : getNextRunNumber(m_record, m_run, memberOf(i));
                applyPlacement(m_run, memberOf(i), run, HOST_A, NOW);
                m_ends.emplace(Run(i, run), std::nullopt);
            }
        }
    }
    void copy() {
        for (const ActiveRun& active : listActive()) {
            if (m_record.m_spec.m_steps[0].m_isSpeculative && !active.m_isCopy) {
                const std::uint32_t run = applyCopy(m_run, active.m_task, HOST_B, NOW);
                m_ends.emplace(Run(active.m_task.m_index, run), std::nullopt);
                return;
            }
        }
    }
    void loseOne() {
        const auto active = listActive();
        if (!active.empty()) {
            const ActiveRun& lost = active[draw(active.size())];
            lose(lost.m_task, lost.m_run);
        }
    }
    /** A run that is not active any more is found running. */
    void trackOne() {
        const auto run = drawRun();
        if (run.has_value() && !m_ends[*run].has_value() &&
            !m_run.findActiveRun(memberOf(run->first), run->second).has_value()) {
            trackOrphanedRun(m_record, m_run,
                             {memberOf(run->first), run->second, HOST_A, NOW, true, false});
        }
    }
    /** Ends a run, or reports its end once more. Some ends are only reported later. */
    void endOrRepeat() {
        const auto run = drawRun();
        if (!run.has_value()) {
            return;
        }
        auto& end = m_ends[*run];
        if (!end.has_value()) {
            constexpr std::array<RunEnd, 4> ENDS = {RunEnd::FAILED, RunEnd::FAILED, RunEnd::FAILED,
                                                    RunEnd::STOPPED};
            end = ENDS.at(draw(ENDS.size()));
            if (draw(2) == 0) {
                return;
            }
        }
        report(memberOf(run->first), run->second, *end);
        if (*end == RunEnd::FAILED) {
            const bool isGang = m_record.m_spec.m_steps[0].m_isGang;
            m_failed.insert(isGang ? Run(0, run->second) : *run);
        }
    }
    std::optional<Run> drawRun() const {
        if (m_ends.empty()) {
            return std::nullopt;
        }
        return std::next(m_ends.begin(), static_cast<std::ptrdiff_t>(draw(m_ends.size())))->first;
    }

    /** The two errors, which are looked for one by one since each hides the other. */
    enum class Error { COUNTED_TWICE, PASSED_OVER };

    /** Checks that no task counts more (or fewer) runs than those that failed, and that the job
     * does not fail sooner (or later) than it must. */
    void check(Error error) {
        const bool isTwice = error == Error::COUNTED_TWICE;
        std::size_t most = 0;
        const auto& tasks = m_run.m_occurrences[0].m_steps[0].m_tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const auto failed = static_cast<std::size_t>(
                    std::count_if(m_failed.begin(), m_failed.end(),
                                  [i](const Run& run) { return run.first == i; }));
            const std::size_t counted = tasks[i].m_failures;
            RC_ASSERT((isTwice ? counted <= failed : counted >= failed));
            most = std::max(most, failed);
        }
        const bool mustFail = most >= m_record.m_policy.m_attempts;
        RC_ASSERT((isTwice ? mustFail || !m_run.isFinished() : !mustFail || m_run.isFinished()));
    }

    void play(Error error) {
        constexpr int EVENTS = 60;
        for (int i = 0; i < EVENTS && !m_run.isFinished(); ++i) {
            drawEvent();
            check(error);
        }
    }

    void playTasks(Error error) {
        drawJob(static_cast<std::uint32_t>(1 + draw(2)), false);
        play(error);
    }

    void playGang(Error error) {
        drawJob(static_cast<std::uint32_t>(2 + draw(2)), true);
        play(error);
    }

    /** Runs that were placed, each with its end if it has ended. */
    std::map<Run, std::optional<RunEnd>> m_ends;
    /** Failed runs whose end was reported. */
    std::set<Run> m_failed;
};

RC_GTEST_FIXTURE_PROP(EndsInAnyOrder, CountNoFailedRunOfATaskTwice, ()) {
    playTasks(Error::COUNTED_TWICE);
}

RC_GTEST_FIXTURE_PROP(EndsInAnyOrder, PassOverNoFailedRunOfATask, ()) {
    playTasks(Error::PASSED_OVER);
}

RC_GTEST_FIXTURE_PROP(EndsInAnyOrder, CountNoFailedRunOfAGangTwice, ()) {
    playGang(Error::COUNTED_TWICE);
}

RC_GTEST_FIXTURE_PROP(EndsInAnyOrder, PassOverNoFailedRunOfAGang, ()) {
    playGang(Error::PASSED_OVER);
}

}  // namespace
}  // namespace pierbank
