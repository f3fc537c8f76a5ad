// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H
#define PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/TaskWorker.h"
#include "pierbank/job/WorkerIncarnation.h"
#include "RunWitness.h"

namespace pierbank::testing {

/** Under what a worker is back after a crash. */
enum class RestartForm {
    NEW_ID,
    /** The id that it had; only the moment of its start tells that it is another process. */
    SAME_ID,
};

inline void PrintTo(RestartForm form, std::ostream* out) {
    *out << (form == RestartForm::NEW_ID ? "UnderANewId" : "UnderItsId");
}

/**
 * A worker as the platform's pages describe it: fenced, leased on its own clock, listing ends
 * until they are known to be kept. A run takes the milliseconds that its payload says; a payload
 * that begins with `!` fails. `x10` crashes the worker 10 ms after its start; with `x10/2/3000`
 * only the step's task 2 does so, and the others take 3 s.
 */
class FakeTaskWorker final : public TaskWorker {
public:
    FakeTaskWorker(EventLoop& loop, RunWitness& witness, std::string name);
    ~FakeTaskWorker() override { *m_isAlive = false; }

    void start(const WorkerCall& call, const StartCall& start,
               std::function<void(const RunReply&)> done) override;
    void stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
              std::function<void(const RunReply&)> done) override;
    void pace(const WorkerCall& call, const ThrottleCall& pace,
              std::function<void(const RunReply&)> done) override;
    void hold(const WorkerCall& call, const HoldCall& hold,
              std::function<void(const HoldReply&)> done) override;

    /** The worker crashes and is back: it holds and knows nothing of before, and its counts begin
     * anew. */
    void restart();
    void restart(RestartForm form);
    /** How far its clock is from the time of day when it starts. */
    Millis m_wallClockError{0};
    RestartForm m_restartForm = RestartForm::NEW_ID;
    /** The same, but nothing listens before `m_awayAfterCrash` has passed. */
    void crash();
    Millis m_awayAfterCrash{3000};
    /** Its machine is suspended: it does nothing, and its steady clock stands still. */
    void suspend();
    void wake();
    bool isDown() const { return m_isDown; }
    bool isSuspended() const { return m_suspendedAt.has_value(); }
    const std::string& getId() const { return m_id; }
    WorkerIncarnation getIncarnation() const { return {m_id, m_processStartedAt}; }
    /** Number of the next heartbeat; counts from 1 in each process. */
    std::uint64_t countHeartbeat() { return ++m_beats; }
    /** So many of the next starts are carried out this much later and not answered. */
    unsigned m_startsToDelay = 0;
    Millis m_startDelay{2000};
    /** The same for stops and holds, which arrive after `m_startDelay` too. */
    unsigned m_stopsToDelay = 0;
    unsigned m_holdsToDelay = 0;
    /** Every start is refused with this word; empty: none. */
    std::string m_refusal;
    /** How many starts were refused so. */
    std::size_t m_refused = 0;
    /** Its runs stand still, while it looks well. */
    bool m_isHanging = false;
    /** Of their work, what runs that stand still show as done. */
    std::int64_t m_hangsAtPercent = 50;
    /** Its runs are so many times slower. */
    int m_slowness = 1;
    /** Starts have to bring the ticket that the advisor gave for this life. */
    bool m_wantsTickets = false;
    /** Runs with this payload serve users: the tail, in ms, that each filling run adds when it is
     * not paced. */
    std::uint32_t m_disturbance = 0;
    /** Everything that it starts fails soon. */
    bool m_failsAll = false;
    /** It answers nothing, and its runs go on until their lease is over. */
    bool m_isSilent = false;
    std::size_t countRunning() const { return m_runs.size(); }
    bool isRunning(const TaskKey& task) const { return m_runs.count(task) != 0; }
    std::uint64_t getLastPersisted() const { return m_lastPersisted; }
    std::uint64_t getFence() const { return m_fence; }
    Millis getClock() const;
    /** What it started and ended, as JSON: rows of what, task, run, time in ms. */
    std::string getJournalText() const { return "[" + m_journal + "]"; }
    /** The share at which a run works; nothing when it is not there. */
    std::optional<std::uint32_t> getPace(const TaskKey& task) const;

private:
    void takeHold(const HoldCall& hold);
    void waitHeld(Millis until, unsigned incarnations, std::function<void(const HoldReply&)> done);
    void note(const char* what, const TaskKey& task, std::uint32_t run);
    void noteLate(const char* call, const TaskKey& task, std::uint32_t run,
                  const RunReply& reply) const;
    struct Run {
        std::uint32_t m_number = 0;
        Millis m_startedAt{0};
        Millis m_endsAt{0};
        bool m_fails = false;
        bool m_crashes = false;
        /** Payload `serve`: runs for ever; `fill`: too, and disturbs. */
        bool m_isServing = false;
        bool m_isFilling = false;
        std::uint32_t m_percent = 100;
        std::string m_checkpoint;
    };
    RunReply checkCall(const WorkerCall& call);
    RunReply begin(const WorkerCall& call, const StartCall& start);
    Run makeRun(const StartCall& start) const;
    void tick();
    void forgetEnds(std::uint64_t last);
    void end(const TaskKey& task, RunEnd how);
    void extend(Millis until);
    HoldReply look();
    std::uint32_t getTail() const;

    EventLoop& m_loop;
    RunWitness& m_witness;
    const std::string m_name;
    std::string m_id;
    std::uint64_t m_processStartedAt = 0;
    std::uint64_t m_beats = 0;
    /** Ends up to here were listed when a lease was over: they count for nothing any more. */
    std::uint64_t m_lapsedThrough = 0;
    std::map<std::uint64_t, std::size_t> m_endEvents;
    bool m_isDown = false;
    std::optional<Millis> m_suspendedAt;
    unsigned m_incarnations = 0;
    Millis m_clockOffset{0};
    Millis m_until{0};
    std::uint64_t m_fence = 0;
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_lastPersisted = 0;
    std::map<TaskKey, Run> m_runs;
    std::map<TaskKey, std::uint32_t> m_barred;
    std::vector<ListedEnd> m_ended;
    std::string m_journal;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H
