// SPDX-License-Identifier: Apache-2.0
// Which process of its worker a WorkerAgent has to do with.
#include <algorithm>

#include "pierbank/base/Log.h"
#include "pierbank/control/WorkerAgent.h"

namespace pierbank {

namespace {

/** Former lives that are remembered: a worker that restarts each second for half a minute. */
constexpr std::size_t MAX_FORMER_LIVES = 32;
/** Heartbeats and clocks differ by less; a worker that is cold for so much longer is cold anew. */
constexpr Millis COLD_NEWS{1000};
/** Crashes that leaders are told of; each was passed on long before so many more follow it. */
constexpr std::size_t MAX_CRASHES = 8;

bool isIn(const HoldReply& look, const CrashedRunEntry& run) {
    const auto isIt = [&](const auto& listed) {
        return listed.m_run == run.m_run && listed.m_task.toText() == run.m_task;
    };
    return std::any_of(look.m_running.begin(), look.m_running.end(), isIt) ||
           std::any_of(look.m_ended.begin(), look.m_ended.end(), isIt);
}

}  // namespace

// What the worker says of itself.

void WorkerAgent::handleHeartbeat(const WorkerHeartbeat& heartbeat) {
    if (m_incarnation.isEmpty()) {
        applyHeartbeat(heartbeat);
        beginIncarnation(heartbeat.m_incarnation);
    } else if (!isPresent(heartbeat.m_incarnation)) {
        setCandidate(heartbeat);
    } else if (!m_heartbeat.has_value() || heartbeat.m_sequence > m_heartbeat->m_sequence) {
        const bool isChanged = m_hasExited || isNews(heartbeat);
        applyHeartbeat(heartbeat);
        if (isChanged) {
            sendNotice();
        }
    }
}

void WorkerAgent::applyHeartbeat(const WorkerHeartbeat& heartbeat) {
    const bool isChanged = m_hasExited || isNews(heartbeat);
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
 * A room may shrink and grow within one life. Told only with the life or the draining, six runs of
 * one accelerator were begun on a worker that had two left.
 */
bool WorkerAgent::isNews(const WorkerHeartbeat& heartbeat) const {
    const bool turnsCold =
            m_heartbeat.has_value() && heartbeat.m_coldLeft > getColdLeft() + COLD_NEWS;
    return !m_heartbeat.has_value() || turnsCold ||
           m_heartbeat->m_isDraining != heartbeat.m_isDraining ||
           m_heartbeat->m_capacity != heartbeat.m_capacity ||
           m_heartbeat->m_service != heartbeat.m_service ||
           m_heartbeat->m_labels != heartbeat.m_labels ||
           m_heartbeat->m_failureDomain != heartbeat.m_failureDomain;
}

/** Of what the last heartbeat said. */
Millis WorkerAgent::getColdLeft() const {
    return std::max(m_heartbeat->m_coldLeft - (m_loop.now() - m_heartbeatAt), Millis(0));
}

void WorkerAgent::handleLeave(const WorkerIncarnation& incarnation) {
    const bool isSaid = incarnation.m_processStartedAt != 0 &&
                        incarnation.m_processStartedAt == m_incarnation.m_processStartedAt;
    if (incarnation.m_id != m_incarnation.m_id ||
        (incarnation.m_processStartedAt != 0 && !isPresent(incarnation))) {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", incarnation.toText()}, {"living", m_incarnationName}});
    } else if (isSaid || m_incarnation.m_processStartedAt == 0 ||
               (m_heartbeat.has_value() && m_heartbeat->m_isDraining)) {
        leave();
    } else {
        verifyLeave();
    }
}

void WorkerAgent::leave() {
    logEvent(Severity::INFO, "agent", "worker-left", {{"life", m_incarnationName}});
    m_hasExited = true;
    sendNotice();
}

/** A goodbye that names only the id may be a former process's that was delayed. */
void WorkerAgent::verifyLeave() {
    const auto term = std::weak_ptr(m_term);
    m_loop.callLater(m_settings.m_pause, guarded([this, term] {
                         if (term.expired()) {
                             return;
                         }
                         look(m_incarnation.m_id,
                              [this](const HoldReply& reply) { handleLeaveVerified(reply); });
                     }));
}

void WorkerAgent::handleLeaveVerified(const HoldReply& reply) {
    if (reply.m_isConnectionRefused || reply.m_status == WorkerStatus::OTHER_INCARNATION) {
        leave();
    } else if (reply.m_status != WorkerStatus::OK) {
        // Not known yet; taken for gone, what goes on there would be started elsewhere.
        verifyLeave();
    } else if (isOther(reply)) {
        changeIncarnation({m_incarnation.m_id, reply.m_processStartedAt});
    } else {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", m_incarnation.m_id}, {"living", m_incarnationName}});
    }
}

// Which process is there.

/** A worker that tells no moment of start is known by its id alone. */
bool WorkerAgent::isPresent(const WorkerIncarnation& incarnation) const {
    return incarnation == m_incarnation ||
           (incarnation.m_id == m_incarnation.m_id && incarnation.m_processStartedAt == 0);
}

bool WorkerAgent::isOther(const HoldReply& reply) const {
    return reply.m_processStartedAt != 0 &&
           reply.m_processStartedAt != m_incarnation.m_processStartedAt;
}

bool WorkerAgent::isFormer(const WorkerIncarnation& incarnation) const {
    return std::find(m_previousIncarnations.begin(), m_previousIncarnations.end(), incarnation) !=
           m_previousIncarnations.end();
}

void WorkerAgent::setCandidate(const WorkerHeartbeat& heartbeat) {
    if (isFormer(heartbeat.m_incarnation)) {
        logEvent(Severity::WARNING, "agent", "late-heartbeat",
                 {{"life", heartbeat.m_incarnation.toText()}, {"living", m_incarnationName}});
        return;
    }
    m_claim = heartbeat;
    verifyClaim();
}

/**
 * Whoever answers a look that went out after the claim came was there after the claim was made. The
 * moments of start would not tell: a clock may be set back between two starts.
 */
void WorkerAgent::verifyClaim() {
    if (m_isVerifying || !m_claim.has_value() || m_leader.getEpoch() == 0) {
        return;
    }
    m_isVerifying = true;
    m_fence.raise();
    look(m_claim->m_incarnation.m_id,
         [this, claimed = m_claim->m_incarnation](const HoldReply& reply) {
             m_isVerifying = false;
             handleVerified(claimed, reply);
         });
}

void WorkerAgent::handleVerified(const WorkerIncarnation& claimed, const HoldReply& reply) {
    if (reply.m_status == WorkerStatus::OTHER_INCARNATION) {
        refuteClaim(claimed);
        return;
    }
    if (reply.m_status != WorkerStatus::OK) {
        // The next heartbeat asks again.
        return;
    }
    WorkerIncarnation living = claimed;
    living.m_processStartedAt =
            reply.m_processStartedAt == 0 ? claimed.m_processStartedAt : reply.m_processStartedAt;
    if (isPresent(living)) {
        refuteClaim(claimed);
    } else {
        changeIncarnation(living);
    }
}

void WorkerAgent::refuteClaim(const WorkerIncarnation& claimed) {
    logEvent(Severity::WARNING, "agent", "late-heartbeat",
             {{"life", claimed.toText()}, {"living", m_incarnationName}});
    m_previousIncarnations.push_back(claimed);
    if (m_previousIncarnations.size() > MAX_FORMER_LIVES) {
        m_previousIncarnations.pop_front();
    }
    if (m_claim.has_value() && m_claim->m_incarnation == claimed) {
        m_claim.reset();
    }
    verifyClaim();
}

/** A hold that changes nothing at whatever process answers it. */
void WorkerAgent::look(const std::string& id, std::function<void(const HoldReply&)> done) {
    m_worker.hold({id, m_fence.get()}, HoldCall(),
                  [done = std::move(done), term = std::weak_ptr(m_term)](const HoldReply& reply) {
                      if (!term.expired()) {
                          done(reply);
                      }
                  });
}

/** What the present life ran is lost, and what is known of it holds no more. */
void WorkerAgent::changeIncarnation(const WorkerIncarnation& incarnation) {
    endIncarnation();
    m_fullCapacity = Resources();
    m_heartbeat.reset();
    const bool isClaimed = m_claim.has_value() && m_claim->m_incarnation == incarnation;
    if (isClaimed) {
        applyHeartbeat(*m_claim);
        m_claim.reset();
    }
    beginIncarnation(incarnation);
}

/** A life that said goodbye did not crash; what one ran that never answered here is not known. */
void WorkerAgent::endIncarnation() {
    const bool wasLeaving = m_heartbeat.has_value() && m_heartbeat->m_isDraining;
    const std::vector<CrashedRunEntry> runs = m_account.endIncarnation(m_loop.now());
    if (m_hasExited || !isConfirmed()) {
        return;
    }
    m_unresolvedCrashes.push_back({m_incarnationName, wasLeaving, runs});
}

void WorkerAgent::beginIncarnation(const WorkerIncarnation& incarnation) {
    if (!m_incarnation.isEmpty()) {
        m_previousIncarnations.push_back(m_incarnation);
    }
    // One that was taken for former is there after all.
    std::erase(m_previousIncarnations, incarnation);
    if (m_previousIncarnations.size() > MAX_FORMER_LIVES) {
        m_previousIncarnations.pop_front();
    }
    logEvent(Severity::INFO, "agent", "life",
             {{"life", incarnation.toText()},
              {"former", m_incarnation.isEmpty() ? "-" : m_incarnationName}});
    m_incarnation = incarnation;
    m_incarnationName = incarnation.toText();
    // What was sent while it was not known: the first look under the next fence lists it, or bars
    // it.
    m_fence.raise();
    m_hasExited = false;
    m_isConnectionRefused = false;
    m_answeredAt = m_loop.now();
    m_term = std::make_shared<bool>(true);
    m_isHolding = false;
    m_isVerifying = false;
    m_isAnswering = false;
    m_mustAcknowledge = false;
    m_clock.reset();
    m_lastPersisted = 0;
    m_running.clear();
    m_ended.clear();
    m_orders.clear();
    m_pacer.clear();
    m_mustReport = true;
    hold(Millis(0));
}

/**
 * A start that went out to the former process may have been done by the present one: what that
 * lists was not lost, and says nothing of how the former one ended.
 */
void WorkerAgent::resolveCrashes(const HoldReply& firstLook) {
    for (WorkerCrash& crash : m_unresolvedCrashes) {
        std::erase_if(crash.m_runs,
                      [&](const CrashedRunEntry& run) { return isIn(firstLook, run); });
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
