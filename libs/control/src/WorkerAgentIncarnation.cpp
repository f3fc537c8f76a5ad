// SPDX-License-Identifier: Apache-2.0
// WorkerAgent: detection of new incarnations of the worker.
#include <algorithm>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerAgent.h"

namespace pierbank {

namespace {

/**
 * Number of previous incarnations that are remembered; sufficient for a worker that restarts every
 * second for half a minute.
 */
constexpr std::size_t MAX_PREVIOUS_INCARNATIONS = 32;
/**
 * Increase of the remaining warm-up time above which the worker counts as cold again. Timing
 * differences between heartbeats and clocks are smaller.
 */
constexpr Millis MIN_COLD_INCREASE{1000};
/**
 * Number of crashes that are reported to leaders. Each crash is reported long before this many
 * further crashes occur.
 */
constexpr std::size_t MAX_CRASHES = 8;

/**
 * Returns whether the reply lists the run as running or finished. The first poll of a process
 * decides; a process that has finished more runs by then than it lists at once is not to be
 * expected.
 */
bool isListedIn(const HoldReply& pollReply, const CrashedRunEntry& run) {
    const auto matches = [&](const auto& listed) {
        return listed.m_run == run.m_run && listed.m_task.toText() == run.m_task;
    };
    return std::any_of(pollReply.m_running.begin(), pollReply.m_running.end(), matches) ||
           std::any_of(pollReply.m_ended.begin(), pollReply.m_ended.end(), matches);
}

}  // namespace

// Heartbeats and exit announcements of the worker.

HeartbeatAge WorkerAgent::handleHeartbeat(const WorkerHeartbeat& heartbeat) {
    if (m_incarnation.isEmpty()) {
        applyHeartbeat(heartbeat);
        beginIncarnation(heartbeat.m_incarnation);
        return HeartbeatAge::NEWER;
    }
    if (!isPresent(heartbeat.m_incarnation)) {
        setCandidate(heartbeat);
        return HeartbeatAge::NEWER;
    }
    const HeartbeatAge age = classify(heartbeat);
    if (age == HeartbeatAge::NEWER) {
        const bool isChanged = m_hasExited || differsFromLast(heartbeat);
        applyHeartbeat(heartbeat);
        if (isChanged) {
            sendNotice();
        }
    }
    return age;
}

/** Compares a heartbeat of the present incarnation with the last one; logs one that is ignored. */
HeartbeatAge WorkerAgent::classify(const WorkerHeartbeat& heartbeat) const {
    if (!m_heartbeat.has_value()) {
        return HeartbeatAge::NEWER;
    }
    const auto clock = m_clock.has_value()
                               ? std::optional(m_clock->first + (m_loop.now() - m_clock->second))
                               : std::nullopt;
    const HeartbeatAge age = classifyHeartbeat(*m_heartbeat, heartbeat, clock);
    if (age != HeartbeatAge::NEWER) {
        const auto toText = [](const std::optional<Millis>& time) {
            return time.has_value() ? std::to_string(time->count()) : "-";
        };
        logEvent(Severity::WARNING, "agent", "heartbeat-ignored",
                 {{"life", m_incarnationName},
                  {"reason", age == HeartbeatAge::OLDER ? "delayed" : "not the worker's"},
                  {"sequence", std::to_string(heartbeat.m_sequence)},
                  {"last_sequence", std::to_string(m_heartbeat->m_sequence)},
                  {"clock_ms", toText(heartbeat.m_clock)},
                  {"last_clock_ms", toText(m_heartbeat->m_clock)},
                  {"worker_clock_ms", toText(clock)}});
    }
    return age;
}

void WorkerAgent::applyHeartbeat(const WorkerHeartbeat& heartbeat) {
    const bool isChanged = m_hasExited || differsFromLast(heartbeat);
    m_fullCapacity = componentMax(m_fullCapacity, heartbeat.m_capacity);
    m_heartbeat = heartbeat;
    m_heartbeatAt = m_loop.now();
    if (isChanged) {
        logEvent(Severity::INFO, "agent", "worker",
                 {{"life", heartbeat.m_incarnation.toText()},
                  {"draining", heartbeat.m_isDraining ? "yes" : "no"},
                  {"remaining_ms", std::to_string(heartbeat.m_remaining.count())},
                  {"accelerators", std::to_string(heartbeat.m_capacity.m_accelerators)},
                  {"of", std::to_string(m_fullCapacity.m_accelerators)},
                  {"cpu_millis", std::to_string(heartbeat.m_capacity.m_cpuMillis)},
                  {"memory_mb", std::to_string(heartbeat.m_capacity.m_memoryMb)}});
    }
}

/**
 * Returns whether the leader must be notified of the heartbeat. The capacity may shrink and grow
 * within one incarnation. When it was reported only with a new incarnation or a drain, six runs
 * with one accelerator each were started on a worker with two accelerators left.
 */
bool WorkerAgent::differsFromLast(const WorkerHeartbeat& heartbeat) const {
    const bool turnsCold = m_heartbeat.has_value() &&
                           heartbeat.m_warmUpRemaining > getRemainingColdTime() + MIN_COLD_INCREASE;
    return !m_heartbeat.has_value() || turnsCold ||
           m_heartbeat->m_isDraining != heartbeat.m_isDraining ||
           m_heartbeat->m_capacity != heartbeat.m_capacity ||
           m_heartbeat->m_service != heartbeat.m_service ||
           m_heartbeat->m_labels != heartbeat.m_labels ||
           m_heartbeat->m_failureDomain != heartbeat.m_failureDomain;
}

/** Returns the remaining warm-up time, extrapolated from the last heartbeat. */
Millis WorkerAgent::getRemainingColdTime() const {
    return std::max(m_heartbeat->m_warmUpRemaining - (m_loop.now() - m_heartbeatAt), Millis(0));
}

/**
 * Ignores the announcement if it names a process other than the present one. Otherwise marks the
 * worker as exited if the announcement names the start time of the present process, if the worker
 * reports no start time, or if the worker is draining. In other cases a poll first verifies that
 * the worker has exited.
 */
void WorkerAgent::handleLeave(const WorkerIncarnation& incarnation) {
    const bool isSameProcess = incarnation.m_processStartedAt != 0 &&
                               incarnation.m_processStartedAt == m_incarnation.m_processStartedAt;
    if (incarnation.m_id != m_incarnation.m_id ||
        (incarnation.m_processStartedAt != 0 && !isPresent(incarnation))) {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", incarnation.toText()}, {"living", m_incarnationName}});
    } else if (isSameProcess || m_incarnation.m_processStartedAt == 0 ||
               (m_heartbeat.has_value() && m_heartbeat->m_isDraining)) {
        markExited();
    } else {
        verifyLeave();
    }
}

void WorkerAgent::markExited() {
    logEvent(Severity::INFO, "agent", "worker-left", {{"life", m_incarnationName}});
    m_hasExited = true;
    sendNotice();
}

/**
 * Verifies with a poll that the worker has exited. An exit announcement that names only the id may
 * be a delayed announcement of a previous process.
 */
void WorkerAgent::verifyLeave() {
    const auto term = std::weak_ptr(m_term);
    m_loop.callLater(m_settings.m_retryDelay, guarded([this, term] {
                         if (term.expired()) {
                             return;
                         }
                         probe(m_incarnation.m_id,
                               [this](const HoldReply& reply) { handleLeaveVerified(reply); });
                     }));
}

void WorkerAgent::handleLeaveVerified(const HoldReply& reply) {
    if (reply.m_isConnectionRefused || reply.m_status == WorkerStatus::OTHER_INCARNATION) {
        markExited();
    } else if (reply.m_status != WorkerStatus::OK) {
        // The state of the worker is still unknown. If the worker were assumed to have exited, its
        // running tasks would be started elsewhere a second time.
        verifyLeave();
    } else if (isOtherProcess(reply)) {
        changeIncarnation({m_incarnation.m_id, reply.m_processStartedAt});
    } else {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", m_incarnation.m_id}, {"living", m_incarnationName}});
    }
}

// Identification of the running process.

/**
 * Returns whether this is the present incarnation. A worker that reports no start time is
 * identified by its id alone.
 */
bool WorkerAgent::isPresent(const WorkerIncarnation& incarnation) const {
    return incarnation == m_incarnation ||
           (incarnation.m_id == m_incarnation.m_id && incarnation.m_processStartedAt == 0);
}

/** Returns whether the reply names a process other than the present one. */
bool WorkerAgent::isOtherProcess(const HoldReply& reply) const {
    return reply.m_processStartedAt != 0 &&
           reply.m_processStartedAt != m_incarnation.m_processStartedAt;
}

bool WorkerAgent::isPrevious(const WorkerIncarnation& incarnation) const {
    return std::find(m_previousIncarnations.begin(), m_previousIncarnations.end(), incarnation) !=
           m_previousIncarnations.end();
}

/** Makes the incarnation of the heartbeat the candidate, unless it is a previous incarnation. */
void WorkerAgent::setCandidate(const WorkerHeartbeat& heartbeat) {
    if (isPrevious(heartbeat.m_incarnation)) {
        logEvent(Severity::WARNING, "agent", "late-heartbeat",
                 {{"life", heartbeat.m_incarnation.toText()}, {"living", m_incarnationName}});
        return;
    }
    m_candidate = heartbeat;
    verifyCandidate();
}

/**
 * Verifies with a poll whether the candidate is running. The process that answers a poll sent after
 * the heartbeat arrived was running after the heartbeat was sent. Start times cannot show this,
 * because the wall clock may be set back between two starts.
 */
void WorkerAgent::verifyCandidate() {
    if (m_isVerifying || !m_candidate.has_value() || m_leader.getEpoch() == 0) {
        return;
    }
    m_isVerifying = true;
    m_fence.raise();
    probe(m_candidate->m_incarnation.m_id,
          [this, candidate = m_candidate->m_incarnation](const HoldReply& reply) {
              m_isVerifying = false;
              handleCandidateVerified(candidate, reply);
          });
}

void WorkerAgent::handleCandidateVerified(const WorkerIncarnation& candidate,
                                          const HoldReply& reply) {
    if (reply.m_status == WorkerStatus::OTHER_INCARNATION) {
        rejectCandidate(candidate);
        return;
    }
    if (reply.m_status != WorkerStatus::OK) {
        // The next heartbeat of the candidate repeats the verification.
        return;
    }
    WorkerIncarnation present = candidate;
    present.m_processStartedAt =
            reply.m_processStartedAt == 0 ? candidate.m_processStartedAt : reply.m_processStartedAt;
    if (isPresent(present)) {
        rejectCandidate(candidate);
    } else {
        changeIncarnation(present);
    }
}

/** Adds the candidate to the previous incarnations. Verifies a newer candidate, if there is one. */
void WorkerAgent::rejectCandidate(const WorkerIncarnation& candidate) {
    logEvent(Severity::WARNING, "agent", "late-heartbeat",
             {{"life", candidate.toText()}, {"living", m_incarnationName}});
    m_previousIncarnations.push_back(candidate);
    if (m_previousIncarnations.size() > MAX_PREVIOUS_INCARNATIONS) {
        m_previousIncarnations.pop_front();
    }
    if (m_candidate.has_value() && m_candidate->m_incarnation == candidate) {
        m_candidate.reset();
    }
    verifyCandidate();
}

/** Sends a poll that changes no state, whichever process answers it. */
void WorkerAgent::probe(const std::string& id, std::function<void(const HoldReply&)> done) {
    m_worker.hold({id, m_fence.get()}, HoldCall(),
                  [done = std::move(done), term = std::weak_ptr(m_term)](const HoldReply& reply) {
                      if (!term.expired()) {
                          done(reply);
                      }
                  });
}

/** Replaces the present incarnation. Its runs are lost, and its reported state is discarded. */
void WorkerAgent::changeIncarnation(const WorkerIncarnation& incarnation) {
    endIncarnation();
    m_fullCapacity = Resources();
    m_heartbeat.reset();
    const bool isCandidate = m_candidate.has_value() && m_candidate->m_incarnation == incarnation;
    if (isCandidate) {
        applyHeartbeat(*m_candidate);
        m_candidate.reset();
    }
    beginIncarnation(incarnation);
}

/**
 * Records the end of the present incarnation as a crash if the end was not announced. The runs of
 * an incarnation that never answered a poll are unknown, so the end of such an incarnation is not
 * recorded.
 */
void WorkerAgent::endIncarnation() {
    const bool wasLeaving = m_heartbeat.has_value() && m_heartbeat->m_isDraining;
    const std::vector<CrashedRunEntry> runs = m_incarnationRuns.endIncarnation(m_loop.now());
    if (m_hasExited || !isConfirmed()) {
        return;
    }
    m_unresolvedCrashes.push_back({m_incarnationName, wasLeaving, runs});
}

void WorkerAgent::beginIncarnation(const WorkerIncarnation& incarnation) {
    if (!m_incarnation.isEmpty()) {
        m_previousIncarnations.push_back(m_incarnation);
    }
    // An incarnation that was considered a previous one may be running after all.
    std::erase(m_previousIncarnations, incarnation);
    if (m_previousIncarnations.size() > MAX_PREVIOUS_INCARNATIONS) {
        m_previousIncarnations.pop_front();
    }
    logEvent(Severity::INFO, "agent", "life",
             {{"life", incarnation.toText()},
              {"former", m_incarnation.isEmpty() ? "-" : m_incarnationName}});
    m_incarnation = incarnation;
    m_incarnationName = incarnation.toText();
    // Calls that were sent before the new process was detected may still arrive. The first poll
    // under the raised fence either lists their runs, or rejects these calls from then on.
    m_fence.raise();
    m_hasExited = false;
    m_isConnectionRefused = false;
    m_answeredAt = m_loop.now();
    m_term = std::make_shared<bool>(true);
    m_isLongPolling = false;
    m_isVerifying = false;
    m_isAnswering = false;
    m_mustAcknowledge = false;
    m_clock.reset();
    m_lastPersisted = 0;
    m_running.clear();
    m_ended.clear();
    m_areAllRunsListed = true;
    m_unreadableSince.reset();
    m_orders.clear();
    m_throttle.clear();
    m_mustReport = true;
    poll(Millis(0));
}

/**
 * Completes the pending crashes and adds them to the reported crashes. The present process may have
 * executed a start that was sent to the previous process. Runs that the present process lists are
 * not lost, and are not related to the crash.
 */
void WorkerAgent::resolveCrashes(const HoldReply& firstPoll) {
    for (WorkerCrash& crash : m_unresolvedCrashes) {
        std::erase_if(crash.m_runs,
                      [&](const CrashedRunEntry& run) { return isListedIn(firstPoll, run); });
        const bool isEmpty = crash.m_runs.empty();
        logEvent(Severity::WARNING, "agent", "worker-crashed",
                 {{"life", crash.m_incarnation},
                  {"draining", crash.m_wasLeaving ? "yes" : "no"},
                  {"runs", std::to_string(crash.m_runs.size())},
                  {"youngest", isEmpty ? "-" : crash.m_runs.front().m_task},
                  {"youngest_ran_ms",
                   isEmpty ? "-" : std::to_string(crash.m_runs.front().m_ranMs)}});
        m_crashes.push_back(std::move(crash));
    }
    m_unresolvedCrashes.clear();
    while (m_crashes.size() > MAX_CRASHES) {
        m_crashes.pop_front();
    }
}

}  // namespace pierbank
