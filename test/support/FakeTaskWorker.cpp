// SPDX-License-Identifier: Apache-2.0
#include "FakeTaskWorker.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank::testing {

namespace {

constexpr Millis LATENCY{1};
constexpr Millis STEP{10};
constexpr Millis LOST_ANSWER_TIMEOUT{700};
/** Maximum lease that a worker accepts, as the platform's contract states. */
constexpr Millis MAX_LEASE{6000};

}  // namespace

FakeTaskWorker::FakeTaskWorker(EventLoop& loop, RunWitness& witness, std::string name)
        : m_loop(loop), m_witness(witness), m_name(std::move(name)) {
    restart();
    endDueRuns();
}

Millis FakeTaskWorker::getClock() const {
    return m_loop.now() - m_clockOffset;
}

void FakeTaskWorker::recordRunEvent(const char* what, const TaskKey& task, std::uint32_t run) {
    logEvent(Severity::INFO, "worker", what,
             {{"name", m_name},
              {"task", task.toText()},
              {"run", std::to_string(run)},
              {"fence", std::to_string(m_fence)},
              {"at_ms", std::to_string(m_loop.now().count())}});
    m_journal.append(m_journal.empty() ? "" : ",");
    m_journal.append("[\"").append(what).append("\",\"").append(task.toText());
    m_journal.append("\",").append(std::to_string(run)).append(",");
    m_journal.append(std::to_string(m_loop.now().count())).append("]");
}

void FakeTaskWorker::logLateCall(const char* call, const TaskKey& task, std::uint32_t run,
                                 const RunReply& reply) const {
    logEvent(Severity::INFO, "worker", "late-call",
             {{"name", m_name},
              {"call", call},
              {"task", task.toText()},
              {"run", std::to_string(run)},
              {"done", reply.m_status == WorkerStatus::OK ? "yes" : "no"},
              {"reason", reply.m_reason},
              {"at_ms", std::to_string(m_loop.now().count())}});
}

void FakeTaskWorker::restart() {
    restart(m_restartForm);
}

void FakeTaskWorker::restart(RestartForm form) {
    for (const auto& [task, run] : m_runs) {
        recordRunEvent("lost", task, run.m_number);
        m_witness.recordStop(task, m_name);
    }
    m_runs.clear();
    m_highestEndedRun.clear();
    m_ended.clear();
    m_fence = 0;
    m_nextEnd = 1;
    m_lastPersisted = 0;
    m_lastLapsedEnd = 0;
    m_endEvents.clear();
    m_clockOffset = m_loop.now() - Millis(1000);
    m_until = Millis(0);
    m_heartbeatCount = 0;
    ++m_incarnations;
    logEvent(Severity::INFO, "worker", "restarted",
             {{"name", m_name}, {"at_ms", std::to_string(m_loop.now().count())}});
    // Two incarnations that start within one millisecond need different start times.
    const auto wallNow = static_cast<std::uint64_t>((m_loop.wallNow() + m_wallClockError).count());
    m_processStartedAt = wallNow == m_processStartedAt ? wallNow + 1 : wallNow;
    if (form == RestartForm::NEW_ID || m_id.empty()) {
        m_id = m_name + "-" + std::to_string(m_incarnations);
    }
}

void FakeTaskWorker::crash() {
    restart();
    m_isDown = true;
    m_loop.callLater(m_restartDelay, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            m_isDown = false;
        }
    });
}

void FakeTaskWorker::suspend() {
    m_suspendedAt = m_loop.now();
    for (const auto& [task, run] : m_runs) {
        m_witness.recordStop(task, m_name);
    }
}

void FakeTaskWorker::wake() {
    const Millis time = m_loop.now() - *m_suspendedAt;
    m_suspendedAt.reset();
    m_clockOffset += time;
    for (auto& [task, run] : m_runs) {
        run.m_startedAt += time;
        run.m_endsAt += time;
    }
}

RunReply FakeTaskWorker::checkCall(const WorkerCall& call) {
    if (m_suspendedAt.has_value()) {
        return {WorkerStatus::UNKNOWN, "suspended"};
    }
    if (m_isDown) {
        return {WorkerStatus::REFUSED, "connection refused"};
    }
    if (m_isSilent) {
        return {WorkerStatus::UNKNOWN, "silent"};
    }
    if (call.m_id != m_id) {
        return {WorkerStatus::OTHER_INCARNATION, "life"};
    }
    if (call.m_fence < m_fence) {
        return {WorkerStatus::REFUSED, "fence"};
    }
    m_fence = call.m_fence;
    return {WorkerStatus::OK, ""};
}

/** The class comment describes the payloads. */
FakeTaskWorker::Run FakeTaskWorker::makeRun(const StartCall& start) const {
    Run run;
    run.m_number = start.m_run;
    run.m_fails = start.m_payload.starts_with("!") || m_failsAll;
    run.m_isServing = start.m_payload == "serve";
    run.m_isFilling = start.m_payload == "fill";
    const bool lasts = run.m_isServing || run.m_isFilling;
    if (start.m_payload.starts_with("x")) {
        int after = 0;
        int index = 0;
        int others = 0;
        const int fields =
                std::sscanf(start.m_payload.c_str(), "x%d/%d/%d", &after, &index, &others);
        constexpr int WITH_OTHERS = 3;
        run.m_crashes =
                fields < WITH_OTHERS || start.m_task.m_index == static_cast<unsigned>(index);
        run.m_startedAt = m_loop.now();
        run.m_endsAt = m_loop.now() + Millis(run.m_crashes ? after : others);
        return run;
    }
    constexpr Millis FOR_EVER{100'000'000};
    const bool isMarked = start.m_payload.starts_with("!");
    constexpr Millis FAILS_AFTER{200};
    const Millis length = m_failsAll
                                  ? FAILS_AFTER
                                  : Millis(std::atoi(start.m_payload.c_str() + (isMarked ? 1 : 0)));
    run.m_startedAt = m_loop.now();
    run.m_endsAt = m_loop.now() + (lasts ? FOR_EVER : length * m_slowness);
    if (!start.m_checkpoint.empty()) {
        // A checkpoint states how many milliseconds of the run have already been completed.
        run.m_endsAt -= Millis(std::atoi(start.m_checkpoint.c_str()));
    }
    return run;
}

RunReply FakeTaskWorker::startRun(const WorkerCall& call, const StartCall& start) {
    const RunReply checked = checkCall(call);
    if (checked.m_status != WorkerStatus::OK) {
        return checked;
    }
    if (!m_refusal.empty()) {
        ++m_refusalCount;
        return {m_refusalStatus, m_refusal};
    }
    if (start.m_until <= getClock()) {
        return {WorkerStatus::REFUSED, "late"};
    }
    extendLease(start.m_until);
    const auto running = m_runs.find(start.m_task);
    if (running != m_runs.end() && running->second.m_number == start.m_run) {
        return {WorkerStatus::OK, ""};
    }
    if (m_highestEndedRun.count(start.m_task) != 0 &&
        start.m_run <= m_highestEndedRun[start.m_task]) {
        return {WorkerStatus::REFUSED, "old"};
    }
    if (m_requiresTickets && start.m_ticket != "ticket-" + m_id) {
        return {WorkerStatus::REFUSED, "ticket"};
    }
    m_runs[start.m_task] = makeRun(start);
    m_witness.recordRunStart(start.m_task, start.m_run, m_name);
    recordRunEvent("start", start.m_task, start.m_run);
    return {WorkerStatus::OK, ""};
}

void FakeTaskWorker::start(const WorkerCall& call, const StartCall& start,
                           std::function<void(const RunReply&)> done) {
    m_loop.callLater(LATENCY,
                     [this, call, start, done = std::move(done), alive = std::weak_ptr(m_isAlive)] {
                         if (alive.expired()) {
                             return;
                         }
                         if (m_startsToDelay > 0) {
                             --m_startsToDelay;
                             m_loop.callLater(m_startDelay, [this, call, start, alive] {
                                 if (!alive.expired()) {
                                     const RunReply reply = startRun(call, start);
                                     logLateCall("start", start.m_task, start.m_run, reply);
                                 }
                             });
                             m_loop.callLater(LOST_ANSWER_TIMEOUT, [done] {
                                 done({WorkerStatus::UNKNOWN, "lost"});
                             });
                             return;
                         }
                         done(startRun(call, start));
                     });
}

void FakeTaskWorker::stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
                          std::function<void(const RunReply&)> done) {
    const auto carryOut = [this, call, task, run] {
        const RunReply checked = checkCall(call);
        if (checked.m_status == WorkerStatus::OK) {
            m_highestEndedRun[task] = std::max(m_highestEndedRun[task], run);
            const auto found = m_runs.find(task);
            if (found != m_runs.end() && found->second.m_number == run) {
                endRun(task, RunEnd::STOPPED);
            }
        }
        return checked;
    };
    m_loop.callLater(LATENCY, [this, task, run, carryOut, done = std::move(done),
                               alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired()) {
            return;
        }
        if (m_stopsToDelay > 0) {
            --m_stopsToDelay;
            m_loop.callLater(m_startDelay, [this, task, run, carryOut, alive] {
                if (!alive.expired()) {
                    logLateCall("stop", task, run, carryOut());
                }
            });
            m_loop.callLater(LOST_ANSWER_TIMEOUT, [done] {
                done({WorkerStatus::UNKNOWN, "lost"});
            });
            return;
        }
        done(carryOut());
    });
}

void FakeTaskWorker::extendLease(Millis until) {
    m_until = std::max(m_until, std::min(until, getClock() + MAX_LEASE));
}

HoldReply FakeTaskWorker::makeHoldReply() {
    HoldReply reply;
    reply.m_status = WorkerStatus::OK;
    reply.m_processStartedAt = m_processStartedAt;
    reply.m_clock = getClock();
    for (const auto& [task, run] : m_runs) {
        const auto passed = (m_loop.now() - run.m_startedAt).count();
        const auto length = std::max<std::int64_t>(1, (run.m_endsAt - run.m_startedAt).count());
        const bool lasts = run.m_isServing || run.m_isFilling;
        const auto percent = m_areRunsStalled ? m_stalledPercent
                             : lasts          ? 100
                                              : std::min<std::int64_t>(100, 100 * passed / length);
        reply.m_running.push_back({task, run.m_number, "", static_cast<std::uint32_t>(percent),
                                   run.m_isServing ? getTailLatency() : 0U});
    }
    reply.m_hasUnreadableRun = m_hasUnreadableRow;
    reply.m_isEndListCut = m_ended.size() >= m_maxListedEnds;
    const std::size_t listed = std::min(m_ended.size(), m_maxListedEnds);
    reply.m_ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
    return reply;
}

void FakeTaskWorker::hold(const WorkerCall& call, const HoldCall& hold,
                          std::function<void(const HoldReply&)> done) {
    m_loop.callLater(LATENCY, [this, call, hold, done = std::move(done)] {
        if (m_silentConnections > 0) {
            --m_silentConnections;
            m_loop.callLater(hold.m_wait + LOST_ANSWER_TIMEOUT, [done] {
                HoldReply lost;
                lost.m_reason = "lost";
                done(lost);
            });
            return;
        }
        if (m_holdsToDelay > 0) {
            --m_holdsToDelay;
            m_loop.callLater(m_startDelay, [this, call, hold, alive = std::weak_ptr(m_isAlive)] {
                if (!alive.expired() && checkCall(call).m_status == WorkerStatus::OK) {
                    applyHold(hold);
                }
            });
            m_loop.callLater(LOST_ANSWER_TIMEOUT, [done] {
                HoldReply lost;
                lost.m_reason = "lost";
                done(lost);
            });
            return;
        }
        const RunReply checked = checkCall(call);
        if (checked.m_status != WorkerStatus::OK) {
            HoldReply reply;
            reply.m_status = checked.m_status;
            reply.m_reason = checked.m_reason;
            reply.m_isConnectionRefused = m_isDown;
            done(reply);
            return;
        }
        applyHold(hold);
        constexpr Millis LONGEST{100};
        const Millis wait = m_ended.empty() ? hold.m_wait : Millis(0);
        answerHoldAt(m_loop.now() + std::min(wait, LONGEST), m_incarnations, done);
    });
}

/** Removes only ends that exist now; later ends are listed whatever number the call contains. */
void FakeTaskWorker::applyHold(const HoldCall& hold) {
    m_lastPersisted = std::max(m_lastPersisted, hold.m_lastPersisted);
    removePersistedEnds(hold.m_lastPersisted);
    if (hold.m_until.has_value()) {
        extendLease(*hold.m_until);
    }
}

/** When the process is replaced or suspended, its connections fail at once. */
void FakeTaskWorker::answerHoldAt(Millis until, unsigned incarnations,
                                  std::function<void(const HoldReply&)> done) {
    if (incarnations != m_incarnations || m_suspendedAt.has_value()) {
        HoldReply broken;
        broken.m_reason = "connection terminated";
        done(broken);
    } else if (m_loop.now() >= until) {
        done(makeHoldReply());
    } else {
        m_loop.callLater(std::min(STEP, until - m_loop.now()),
                         [this, until, incarnations, done, alive = std::weak_ptr(m_isAlive)] {
                             if (!alive.expired()) {
                                 answerHoldAt(until, incarnations, done);
                             }
                         });
    }
}

std::uint32_t FakeTaskWorker::getTailLatency() const {
    constexpr std::uint32_t ALONE = 10;
    constexpr std::uint32_t WHOLE = 100;
    std::uint32_t tail = ALONE;
    for (const auto& [task, run] : m_runs) {
        tail += run.m_isFilling ? m_addedTailLatencyMs * run.m_percent / WHOLE : 0;
    }
    return tail;
}

std::optional<std::uint32_t> FakeTaskWorker::getThrottlePercent(const TaskKey& task) const {
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? std::nullopt : std::optional(found->second.m_percent);
}

void FakeTaskWorker::pace(const WorkerCall& call, const ThrottleCall& pace,
                          std::function<void(const RunReply&)> done) {
    m_loop.callLater(LATENCY, [this, call, pace, done = std::move(done)] {
        const RunReply checked = checkCall(call);
        const auto found = m_runs.find(pace.m_task);
        if (checked.m_status == WorkerStatus::OK && found != m_runs.end()) {
            found->second.m_percent = pace.m_percent;
        }
        done(checked);
    });
}

void FakeTaskWorker::removePersistedEnds(std::uint64_t last) {
    for (const ListedEnd& end : m_ended) {
        // The platform's contract: ends that were listed when the lease expired don't count.
        if (end.m_number > last || end.m_number <= m_lastLapsedEnd) {
            continue;
        }
        if (end.m_end == RunEnd::DONE) {
            m_witness.recordSuccessPersisted(end.m_task);
        }
        m_witness.recordEndPersisted(end.m_task, end.m_end, m_endEvents[end.m_number]);
    }
    std::erase_if(m_ended, [last](const ListedEnd& e) { return e.m_number <= last; });
}

void FakeTaskWorker::endRun(const TaskKey& task, RunEnd how) {
    const Run run = m_runs[task];
    m_runs.erase(task);
    m_highestEndedRun[task] = std::max(m_highestEndedRun[task], run.m_number);
    // A stop saves the time that the run has completed as a checkpoint.
    const std::string saved =
            how == RunEnd::STOPPED ? std::to_string((m_loop.now() - run.m_startedAt).count()) : "";
    m_endEvents[m_nextEnd] = m_witness.recordRunEnd();
    m_ended.push_back({m_nextEnd++, task, run.m_number, how, saved});
    m_witness.recordStop(task, m_name);
    recordRunEvent(toText(how).data(), task, run.m_number);
    if (how == RunEnd::DONE) {
        m_witness.recordSuccess(task);
    }
}

void FakeTaskWorker::endDueRuns() {
    if (getClock() >= m_until) {
        m_lastLapsedEnd = m_nextEnd - 1;
    }
    std::vector<std::pair<TaskKey, RunEnd>> ends;
    for (const auto& [task, run] : m_runs) {
        if (m_suspendedAt.has_value()) {
            break;
        }
        if (getClock() >= m_until) {
            ends.emplace_back(task, RunEnd::LAPSED);
        } else if (m_loop.now() >= run.m_endsAt && !m_areRunsStalled) {
            ends.emplace_back(task, run.m_fails ? RunEnd::FAILED : RunEnd::DONE);
        }
    }
    for (const auto& [task, how] : ends) {
        if (how == RunEnd::DONE && m_runs[task].m_crashes) {
            crash();
            break;
        }
        endRun(task, how);
    }
    m_loop.callLater(STEP, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            endDueRuns();
        }
    });
}

}  // namespace pierbank::testing
