// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H
#define PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/TaskWorker.h"

namespace pierbank::testing {

/** What all workers of a test saw together, and what must never be. */
class RunWitness {
public:
    void noteStart(const TaskKey& task, std::uint32_t run, const std::string& worker);
    void noteStop(const TaskKey& task, const std::string& worker);
    void noteDone(const TaskKey& task);
    std::size_t countStarts(const TaskKey& task) const;
    std::size_t countRunning() const { return m_running.size(); }
    bool isRunning(const TaskKey& task) const { return m_running.count(task) != 0; }
    const std::vector<std::string>& getViolations() const { return m_violations; }

private:
    std::map<TaskKey, std::string> m_running;
    std::map<TaskKey, std::size_t> m_starts;
    std::set<TaskKey> m_done;
    std::vector<std::string> m_violations;
};

/**
 * A worker as the platform's pages describe it: fenced, leased on its own clock, listing ends
 * until they are known to be kept. A run takes the milliseconds that its payload says; a payload
 * that begins with `!` fails.
 */
class FakeTaskWorker final : public TaskWorker {
public:
    FakeTaskWorker(EventLoop& loop, RunWitness& witness, std::string name);
    ~FakeTaskWorker() override { *m_isAlive = false; }

    void start(const WorkerCall& call, const StartCall& start,
               std::function<void(const RunReply&)> done) override;
    void stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
              std::function<void(const RunReply&)> done) override;
    void hold(const WorkerCall& call, const HoldCall& hold,
              std::function<void(const HoldReply&)> done) override;

    /** The worker crashes and comes back under another life. */
    void restart();
    const std::string& getLife() const { return m_life; }
    /** So many of the next starts are carried out this much later and not answered. */
    unsigned m_startsToDelay = 0;
    Millis m_startDelay{2000};
    /** Every start is refused with this word; empty: none. */
    std::string m_refusal;
    /** Its runs stand still, while it looks well. */
    bool m_isHanging = false;
    std::size_t countRunning() const { return m_runs.size(); }
    std::uint64_t getLastKept() const { return m_lastKept; }

private:
    struct Run {
        std::uint32_t m_number = 0;
        Millis m_startedAt{0};
        Millis m_endsAt{0};
        bool m_fails = false;
    };
    Millis getClock() const;
    RunReply checkCall(const WorkerCall& call);
    RunReply begin(const WorkerCall& call, const StartCall& start);
    void tick();
    void end(const TaskKey& task, RunEnd how);
    void extend(Millis until);
    HoldReply look();

    EventLoop& m_loop;
    RunWitness& m_witness;
    const std::string m_name;
    std::string m_life;
    unsigned m_lives = 0;
    Millis m_clockOffset{0};
    Millis m_until{0};
    std::uint64_t m_fence = 0;
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_lastKept = 0;
    std::map<TaskKey, Run> m_runs;
    std::map<TaskKey, std::uint32_t> m_barred;
    std::vector<ListedEnd> m_ended;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKETASKWORKER_H
