// SPDX-License-Identifier: Apache-2.0
// How a WorkerAgent holds its worker's lease, and sees what runs.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerAgent.h"

namespace pierbank {

namespace {

/** A lease that ends sooner than this starts nothing. */
constexpr Millis LEAST_LEASE{300};
/** Between log lines of a worker that goes on not answering. */
constexpr Millis LOG_INTERVAL{1000};

}  // namespace

bool WorkerAgent::hasLease() const {
    return m_leaseUntil - m_loop.now() > LEAST_LEASE && m_clock.has_value();
}

/** The end of the lease on the worker's clock, at the earliest that the clock may show it. */
std::optional<Millis> WorkerAgent::getUntil() const {
    if (!m_clock.has_value() || m_leaseUntil <= m_clock->second) {
        return std::nullopt;
    }
    const auto length = static_cast<double>((m_leaseUntil - m_clock->second).count());
    const auto least = static_cast<std::int64_t>(length * (1.0 - m_settings.m_clockSlack));
    return m_clock->first + Millis(least);
}

Millis WorkerAgent::getHoldWait() const {
    return m_pacer.isNeeded() ? m_settings.m_pacingWait : m_settings.m_holdWait;
}

void WorkerAgent::holdLater(Millis pause) {
    m_loop.cancel(m_holdTimer);
    m_holdTimer = m_loop.callLater(pause, guarded([this] {
                                       m_holdTimer = TimerId::NONE;
                                       if (!m_isHolding) {
                                           hold(getHoldWait());
                                       }
                                   }));
}

/** A hold that waits is sent one at a time; one that doesn't may overtake it. */
void WorkerAgent::hold(Millis wait) {
    if (m_incarnation.isEmpty() || m_leader.getEpoch() == 0) {
        return;
    }
    // To a process that may be another one nothing is said, and its answer names it at once.
    HoldCall call;
    if (m_isAnswering) {
        call.m_until = getUntil();
        call.m_wait = wait;
    }
    sendHold(call);
}

/**
 * Ends that are acknowledged to another process are lost: it forgets its own of the same numbers.
 * So this goes out only with the answer of the process that listed them in hand; to restart, run a
 * task and end it takes a worker longer than a call on its own machine.
 */
void WorkerAgent::acknowledge() {
    m_mustAcknowledge = false;
    HoldCall call;
    call.m_lastPersisted = m_lastPersisted;
    call.m_until = getUntil();
    sendHold(call);
}

void WorkerAgent::sendHold(const HoldCall& call) {
    const bool isWaiting = call.m_wait > Millis(0);
    m_isHolding = m_isHolding || isWaiting;
    const std::uint64_t number = ++m_holdNumber;
    m_worker.hold(getCall(), call,
                  [this, number, isWaiting, term = std::weak_ptr(m_term)](const HoldReply& reply) {
                      if (term.expired()) {
                          return;
                      }
                      if (isWaiting) {
                          m_isHolding = false;
                      }
                      handleHold(reply, number);
                  });
}

void WorkerAgent::handleHold(const HoldReply& reply, std::uint64_t number) {
    if (reply.m_status != WorkerStatus::OK) {
        recordNoAnswer(reply);
        return;
    }
    if (isOther(reply)) {
        // It was sent after all that is known of the present life: that one is over.
        changeIncarnation({m_incarnation.m_id, reply.m_processStartedAt});
        return;
    }
    noteAnswer(number);
    const bool isFirst = !m_clock.has_value();
    const bool wasSilent = isWorkerUnresponsive();
    m_answeredAt = m_loop.now();
    m_isConnectionRefused = false;
    if (wasSilent) {
        ask();
    }
    m_clock = {reply.m_clock, m_loop.now()};
    if (isFirst) {
        resolveCrashes(reply);
        // Before the first report, which would else be taken for the old life's.
        sendNotice();
        // The former life was silent at its end: the leader uses the worker when it hears
        // otherwise.
        ask();
    }
    const bool mustAcknowledge = m_mustAcknowledge && m_isAnswering;
    // Answers on different connections overtake each other.
    if (number > m_holdSeen) {
        m_holdSeen = number;
        handlePoll(reply, number);
    }
    if (isFirst) {
        hold(Millis(0));
        m_orders.pump();
    }
    if (mustAcknowledge) {
        acknowledge();
        return;
    }
    // A hold would be answered at once while ends are listed: wait until they are kept.
    const bool isListing = !m_ended.empty() || m_mustAcknowledge;
    if (!m_isHolding) {
        holdLater(isListing ? m_settings.m_pause : Millis(0));
    }
}

/**
 * The process may be gone, and the next one that answers another. That one does what was sent to
 * its predecessor and arrives late until it has been called, so it is called at once.
 */
void WorkerAgent::recordNoAnswer(const HoldReply& reply) {
    const bool wasAnswering = std::exchange(m_isAnswering, false);
    if (wasAnswering) {
        m_fence.raise();
    }
    m_firstSince = m_holdNumber + 1;
    m_account.recordNoAnswer(m_loop.now());
    noteNobodyThere(reply.m_isConnectionRefused);
    logNoAnswer(reply, wasAnswering);
    if (reply.m_status == WorkerStatus::OTHER_INCARNATION && m_claim.has_value()) {
        changeIncarnation(m_claim->m_incarnation);
        return;
    }
    holdLater(wasAnswering ? Millis(0) : getAwayPause(reply));
}

Millis WorkerAgent::getAwayPause(const HoldReply& reply) const {
    const bool mayComeLate = m_loop.now() - m_answeredAt <= m_settings.m_lateCalls;
    return reply.m_isConnectionRefused && mayComeLate ? m_settings.m_awayPause : m_settings.m_pause;
}

/** Not each of many alike. */
void WorkerAgent::logNoAnswer(const HoldReply& reply, bool isFirst) {
    if (!isFirst && m_loop.now() - m_noAnswerLoggedAt < LOG_INTERVAL) {
        return;
    }
    m_noAnswerLoggedAt = m_loop.now();
    logEvent(Severity::WARNING, "agent", "hold-failed",
             {{"life", m_incarnationName},
              {"reason", reply.m_reason},
              {"silent_ms", std::to_string((m_loop.now() - m_answeredAt).count())},
              {"epoch", std::to_string(m_leader.getEpoch())}});
}

void WorkerAgent::noteAnswer(std::uint64_t number) {
    if (!m_isAnswering && number >= m_firstSince) {
        m_isAnswering = true;
        // They wait while it is not known which process is there.
        m_loop.callLater(Millis(0), guarded([this] { m_orders.pump(); }));
    }
}

/**
 * That nothing listens proves no end (a cut may refuse too), but no new work should come: jobs that
 * were placed on such a worker waited for its next life, 2.6 s in the case that showed it.
 */
void WorkerAgent::noteNobodyThere(bool isNobodyThere) {
    const bool wasSilent = isWorkerUnresponsive();
    m_isConnectionRefused = isNobodyThere;
    if (!wasSilent && isWorkerUnresponsive()) {
        ask();
    }
}

void WorkerAgent::handlePoll(const HoldReply& reply, std::uint64_t number) {
    m_running = reply.m_running;
    m_ended = reply.m_ended;
    const auto isKept = [this](const ListedEnd& end) {
        return end.m_number <= m_lastPersisted;
    };
    if (std::erase_if(m_ended, isKept) != 0) {
        // The call that told so was not done, or is not yet.
        m_mustAcknowledge = true;
    }
    m_account.recordPoll(m_running, reply.m_ended, m_loop.now());
    m_orders.handlePoll(number);
    sendReport();
    pace();
}

void WorkerAgent::pace() {
    for (const ThrottleCall& call : m_pacer.look(m_running, m_loop.now())) {
        m_worker.pace(getCall(), call,
                      [this, call, term = std::weak_ptr(m_term)](const RunReply& reply) {
                          if (term.expired() || reply.m_status == WorkerStatus::OK) {
                              return;
                          }
                          logEvent(Severity::WARNING, "agent", "pace-failed",
                                   {{"task", call.m_task.toText()},
                                    {"run", std::to_string(call.m_run)},
                                    {"percent", std::to_string(call.m_percent)},
                                    {"reason", reply.m_reason}});
                          m_pacer.forgetPace({call.m_task, call.m_run});
                      });
    }
}

}  // namespace pierbank
