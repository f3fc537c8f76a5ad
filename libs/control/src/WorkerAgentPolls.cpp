// SPDX-License-Identifier: Apache-2.0
// WorkerAgent: polls of the worker and renewal of its lease.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerAgent.h"

namespace pierbank {

namespace {

/** Remaining time of the lease below which no run is started. */
constexpr Millis MIN_LEASE{300};
/** Minimum time between log events while a worker remains unresponsive. */
constexpr Millis NO_ANSWER_LOG_INTERVAL{1000};

}  // namespace

bool WorkerAgent::hasLease() const {
    return m_leaseUntil - m_loop.now() > MIN_LEASE && m_clock.has_value();
}

/**
 * Returns the end of the lease on the clock of the worker, reduced by the maximum drift of that
 * clock.
 */
std::optional<Millis> WorkerAgent::getWorkerLeaseEnd() const {
    if (!m_clock.has_value() || m_leaseUntil <= m_clock->second) {
        return std::nullopt;
    }
    const auto length = static_cast<double>((m_leaseUntil - m_clock->second).count());
    const auto minLength = static_cast<std::int64_t>(length * (1.0 - m_settings.m_maxClockDrift));
    return m_clock->first + Millis(minLength);
}

Millis WorkerAgent::getPollWait() const {
    return m_throttle.isNeeded() ? m_settings.m_throttlingPollWait : m_settings.m_pollWait;
}

void WorkerAgent::schedulePoll(Millis delay) {
    m_loop.cancel(m_pollTimer);
    m_pollTimer = m_loop.callLater(delay, guarded([this] {
                                       m_pollTimer = TimerId::NONE;
                                       if (!m_isLongPolling) {
                                           poll(getPollWait());
                                       }
                                   }));
}

/** Sends a poll. At most one long poll is in progress; a poll without wait may overtake it. */
void WorkerAgent::poll(Millis wait) {
    if (m_incarnation.isEmpty() || m_leader.getEpoch() == 0) {
        return;
    }
    // If the process may have been replaced, the call carries neither lease nor wait. Its immediate
    // answer identifies the process.
    HoldCall call;
    if (m_isAnswering) {
        call.m_until = getWorkerLeaseEnd();
        call.m_wait = wait;
    }
    sendHold(call);
}

/**
 * Acknowledges persisted ends. If another process received the acknowledgement, its own ends with
 * the same numbers would be lost. The acknowledgement is therefore sent only directly after an
 * answer of the process that listed the ends. To restart, run a task and finish it, a worker needs
 * more time than a call on its own machine takes.
 */
void WorkerAgent::acknowledge() {
    m_mustAcknowledge = false;
    HoldCall call;
    call.m_lastPersisted = m_lastPersisted;
    call.m_until = getWorkerLeaseEnd();
    sendHold(call);
}

void WorkerAgent::sendHold(const HoldCall& call) {
    const bool isWaiting = call.m_wait > Millis(0);
    m_isLongPolling = m_isLongPolling || isWaiting;
    const std::uint64_t number = ++m_pollNumber;
    m_worker.hold(getCall(), call,
                  [this, number, isWaiting, term = std::weak_ptr(m_term)](const HoldReply& reply) {
                      if (term.expired()) {
                          return;
                      }
                      if (isWaiting && number >= m_firstPollSinceFailure) {
                          m_isLongPolling = false;
                      }
                      handleHoldReply(reply, number);
                  });
}

void WorkerAgent::handleHoldReply(const HoldReply& reply, std::uint64_t number) {
    if (reply.m_status != WorkerStatus::OK) {
        recordNoAnswer(reply);
        return;
    }
    if (isOtherProcess(reply)) {
        // The poll was sent after all that is known of the present incarnation, so this incarnation
        // has ended.
        changeIncarnation({m_incarnation.m_id, reply.m_processStartedAt});
        return;
    }
    recordAnswer(number);
    const bool isFirst = !m_clock.has_value();
    const bool wasUnresponsive = isWorkerUnresponsive();
    m_answeredAt = m_loop.now();
    m_isConnectionRefused = false;
    if (wasUnresponsive) {
        requestLease();
    }
    m_clock = {reply.m_clock, m_loop.now()};
    if (isFirst) {
        resolveCrashes(reply);
        // The notice must precede the first report, which the leader would otherwise attribute to
        // the previous incarnation.
        sendNotice();
        // The previous incarnation was unresponsive at its end. The leader uses the worker again
        // once a lease request reports the worker as responsive.
        requestLease();
    }
    const bool mustAcknowledge = m_mustAcknowledge && m_isAnswering;
    // Answers on different connections may overtake each other.
    if (number > m_lastSeenPoll) {
        m_lastSeenPoll = number;
        handlePoll(reply, number);
    }
    if (isFirst) {
        poll(Millis(0));
        m_orders.sendWaitingStarts();
    }
    if (mustAcknowledge) {
        acknowledge();
        return;
    }
    // The worker answers a poll immediately while it lists ends, so the next poll waits until they
    // are persisted.
    const bool hasEndsToPersist = !m_ended.empty() || m_mustAcknowledge;
    if (!m_isLongPolling) {
        schedulePoll(hasEndsToPersist ? m_settings.m_retryDelay : Millis(0));
    }
}

/**
 * Handles a failed poll. The process may have ended, and the next answer may come from another
 * process. Until that process has been called, it executes delayed calls to its predecessor, so the
 * next poll is sent immediately.
 */
void WorkerAgent::recordNoAnswer(const HoldReply& reply) {
    const bool wasAnswering = std::exchange(m_isAnswering, false);
    if (wasAnswering) {
        m_fence.raise();
        // The connection may have fallen silent for good, and the idle ones with it. With a timeout
        // for each of them the lease would lapse.
        m_worker.discardConnections();
    }
    m_firstPollSinceFailure = m_pollNumber + 1;
    // A long poll that is still in progress may have been lost with its process. The next poll must
    // not wait for its answer.
    m_isLongPolling = false;
    m_incarnationRuns.recordNoAnswer(m_loop.now());
    recordConnectionRefused(reply.m_isConnectionRefused);
    logNoAnswer(reply, wasAnswering);
    if (reply.m_status == WorkerStatus::OTHER_INCARNATION && m_candidate.has_value()) {
        changeIncarnation(m_candidate->m_incarnation);
        return;
    }
    schedulePoll(wasAnswering ? Millis(0) : getRetryDelay(reply));
}

/** Returns the delay before the next poll after a repeated failure. */
Millis WorkerAgent::getRetryDelay(const HoldReply& reply) const {
    const bool mayCallsArrive = m_loop.now() - m_answeredAt <= m_settings.m_maxCallDelay;
    return reply.m_isConnectionRefused && mayCallsArrive ? m_settings.m_restartPollDelay
                                                         : m_settings.m_retryDelay;
}

/** Logs a failed poll. Consecutive failures are logged at a limited rate. */
void WorkerAgent::logNoAnswer(const HoldReply& reply, bool isFirst) {
    if (!isFirst && m_loop.now() - m_noAnswerLoggedAt < NO_ANSWER_LOG_INTERVAL) {
        return;
    }
    m_noAnswerLoggedAt = m_loop.now();
    logEvent(Severity::WARNING, "agent", "hold-failed",
             {{"life", m_incarnationName},
              {"reason", reply.m_reason},
              {"silent_ms", std::to_string((m_loop.now() - m_answeredAt).count())},
              {"epoch", std::to_string(m_leader.getEpoch())}});
}

/** Records that the present process answered a poll that was sent after the last failed call. */
void WorkerAgent::recordAnswer(std::uint64_t number) {
    if (!m_isAnswering && number >= m_firstPollSinceFailure) {
        m_isAnswering = true;
        // Orders are not sent while it is unknown which process is running; those that waited are
        // sent now.
        m_loop.callLater(Millis(0), guarded([this] { m_orders.sendWaitingStarts(); }));
    }
}

/**
 * Records whether a process was listening at the last poll. A refused connection does not prove
 * that the process has ended, because a network partition may also cause it. Nevertheless the
 * worker must not receive new work: jobs that were placed on such a worker waited for its next
 * incarnation, in one case for 2.6 s.
 */
void WorkerAgent::recordConnectionRefused(bool isRefused) {
    const bool wasUnresponsive = isWorkerUnresponsive();
    m_isConnectionRefused = isRefused;
    if (!wasUnresponsive && isWorkerUnresponsive()) {
        requestLease();
    }
}

void WorkerAgent::handlePoll(const HoldReply& reply, std::uint64_t number) {
    m_running = reply.m_running;
    m_ended = reply.m_ended;
    recordCoverage(reply);
    const auto isPersisted = [this](const ListedEnd& end) {
        return end.m_number <= m_lastPersisted;
    };
    if (std::erase_if(m_ended, isPersisted) != 0) {
        // The worker did not execute the acknowledgement, or had not executed it yet.
        m_mustAcknowledge = true;
    }
    m_incarnationRuns.recordPoll(m_running, reply.m_ended, m_loop.now());
    m_orders.handlePoll(number);
    sendReport();
    applyThrottle();
}

/**
 * Records whether the absence of a run from the lists proves anything. A row that can't be read
 * counts as a missing run for a limited time.
 */
void WorkerAgent::recordCoverage(const HoldReply& reply) {
    if (!reply.m_hasUnreadableRun) {
        m_unreadableSince.reset();
    } else if (!m_unreadableSince.has_value()) {
        m_unreadableSince = m_loop.now();
    }
    const bool hasMissingRow = m_unreadableSince.has_value() &&
                               m_loop.now() - *m_unreadableSince < m_settings.m_maxUnreadableTime;
    const bool areAllListed = !reply.m_isEndListCut && !hasMissingRow;
    if (std::exchange(m_areAllRunsListed, areAllListed) == areAllListed) {
        return;
    }
    logEvent(Severity::INFO, "agent", areAllListed ? "lists-whole" : "lists-cut",
             {{"life", m_incarnationName},
              {"running", std::to_string(reply.m_running.size())},
              {"ended", std::to_string(reply.m_ended.size())},
              {"last_persisted", std::to_string(m_lastPersisted)},
              {"unreadable", reply.m_hasUnreadableRun ? "yes" : "no"}});
}

void WorkerAgent::applyThrottle() {
    for (const ThrottleCall& call : m_throttle.update(m_running, m_loop.now())) {
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
                          m_throttle.discardPercent({call.m_task, call.m_run});
                      });
    }
}

}  // namespace pierbank
