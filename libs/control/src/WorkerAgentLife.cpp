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

void WorkerAgent::handleBeat(const WorkerBeat& beat) {
    if (m_life.isEmpty()) {
        takeBeat(beat);
        beginLife(beat.m_life);
    } else if (!isPresent(beat.m_life)) {
        claimLife(beat);
    } else if (!m_beat.has_value() || beat.m_sequence > m_beat->m_sequence) {
        const bool isChanged = m_isGone || isNews(beat);
        takeBeat(beat);
        if (isChanged) {
            sendNotice();
        }
    }
}

void WorkerAgent::takeBeat(const WorkerBeat& beat) {
    const bool isChanged = m_isGone || isNews(beat);
    m_wholeCapacity = takeMost(m_wholeCapacity, beat.m_capacity);
    m_beat = beat;
    m_beatAt = m_loop.now();
    if (isChanged) {
        logEvent(Severity::INFO, "agent", "worker",
                 {{"life", beat.m_life.toText()},
                  {"draining", beat.m_isDraining ? "yes" : "no"},
                  {"remaining_ms", std::to_string(beat.m_remaining.count())},
                  {"accelerators", std::to_string(beat.m_capacity.m_accelerators)},
                  {"of", std::to_string(m_wholeCapacity.m_accelerators)},
                  {"cpu_millis", std::to_string(beat.m_capacity.m_cpuMillis)},
                  {"memory_mb", std::to_string(beat.m_capacity.m_memoryMb)}});
    }
}

/**
 * A room may shrink and grow within one life. Told only with the life or the draining, six runs of
 * one accelerator were begun on a worker that had two left.
 */
bool WorkerAgent::isNews(const WorkerBeat& beat) const {
    const bool turnsCold = m_beat.has_value() && beat.m_coldLeft > getColdLeft() + COLD_NEWS;
    return !m_beat.has_value() || turnsCold || m_beat->m_isDraining != beat.m_isDraining ||
           m_beat->m_capacity != beat.m_capacity || m_beat->m_service != beat.m_service ||
           m_beat->m_labels != beat.m_labels || m_beat->m_failureDomain != beat.m_failureDomain;
}

/** Of what the last heartbeat said. */
Millis WorkerAgent::getColdLeft() const {
    return std::max(m_beat->m_coldLeft - (m_loop.now() - m_beatAt), Millis(0));
}

void WorkerAgent::handleLeave(const WorkerLife& life) {
    const bool isSaid = life.m_bornAt != 0 && life.m_bornAt == m_life.m_bornAt;
    if (life.m_id != m_life.m_id || (life.m_bornAt != 0 && !isPresent(life))) {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", life.toText()}, {"living", m_lifeName}});
    } else if (isSaid || m_life.m_bornAt == 0 || (m_beat.has_value() && m_beat->m_isDraining)) {
        leave();
    } else {
        verifyLeave();
    }
}

void WorkerAgent::leave() {
    logEvent(Severity::INFO, "agent", "worker-left", {{"life", m_lifeName}});
    m_isGone = true;
    sendNotice();
}

/** A goodbye that names only the id may be a former process's that was delayed. */
void WorkerAgent::verifyLeave() {
    const auto term = std::weak_ptr(m_term);
    m_loop.callLater(m_settings.m_pause, guarded([this, term] {
                         if (term.expired()) {
                             return;
                         }
                         look(m_life.m_id,
                              [this](const HoldReply& reply) { handleLeaveVerified(reply); });
                     }));
}

void WorkerAgent::handleLeaveVerified(const HoldReply& reply) {
    if (reply.m_isNobodyThere || reply.m_status == WorkerStatus::OTHER_LIFE) {
        leave();
    } else if (reply.m_status != WorkerStatus::OK) {
        // Not known yet; taken for gone, what goes on there would be started elsewhere.
        verifyLeave();
    } else if (isOther(reply)) {
        changeLife({m_life.m_id, reply.m_bornAt});
    } else {
        logEvent(Severity::INFO, "agent", "late-goodbye",
                 {{"life", m_life.m_id}, {"living", m_lifeName}});
    }
}

// Which process is there.

/** A worker that tells no moment of start is known by its id alone. */
bool WorkerAgent::isPresent(const WorkerLife& life) const {
    return life == m_life || (life.m_id == m_life.m_id && life.m_bornAt == 0);
}

bool WorkerAgent::isOther(const HoldReply& reply) const {
    return reply.m_bornAt != 0 && reply.m_bornAt != m_life.m_bornAt;
}

bool WorkerAgent::isFormer(const WorkerLife& life) const {
    return std::find(m_formerLives.begin(), m_formerLives.end(), life) != m_formerLives.end();
}

void WorkerAgent::claimLife(const WorkerBeat& beat) {
    if (isFormer(beat.m_life)) {
        logEvent(Severity::WARNING, "agent", "late-heartbeat",
                 {{"life", beat.m_life.toText()}, {"living", m_lifeName}});
        return;
    }
    m_claim = beat;
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
    look(m_claim->m_life.m_id, [this, claimed = m_claim->m_life](const HoldReply& reply) {
        m_isVerifying = false;
        handleVerified(claimed, reply);
    });
}

void WorkerAgent::handleVerified(const WorkerLife& claimed, const HoldReply& reply) {
    if (reply.m_status == WorkerStatus::OTHER_LIFE) {
        refuteClaim(claimed);
        return;
    }
    if (reply.m_status != WorkerStatus::OK) {
        // The next heartbeat asks again.
        return;
    }
    WorkerLife living = claimed;
    living.m_bornAt = reply.m_bornAt == 0 ? claimed.m_bornAt : reply.m_bornAt;
    if (isPresent(living)) {
        refuteClaim(claimed);
    } else {
        changeLife(living);
    }
}

void WorkerAgent::refuteClaim(const WorkerLife& claimed) {
    logEvent(Severity::WARNING, "agent", "late-heartbeat",
             {{"life", claimed.toText()}, {"living", m_lifeName}});
    m_formerLives.push_back(claimed);
    if (m_formerLives.size() > MAX_FORMER_LIVES) {
        m_formerLives.pop_front();
    }
    if (m_claim.has_value() && m_claim->m_life == claimed) {
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
void WorkerAgent::changeLife(const WorkerLife& life) {
    endLife();
    m_wholeCapacity = Resources();
    m_beat.reset();
    const bool isClaimed = m_claim.has_value() && m_claim->m_life == life;
    if (isClaimed) {
        takeBeat(*m_claim);
        m_claim.reset();
    }
    beginLife(life);
}

/** A life that said goodbye did not crash; what one ran that never answered here is not known. */
void WorkerAgent::endLife() {
    const bool wasLeaving = m_beat.has_value() && m_beat->m_isDraining;
    const std::vector<CrashedRunEntry> runs = m_account.endLife(m_loop.now());
    if (m_isGone || !isConfirmed()) {
        return;
    }
    m_openCrashes.push_back({m_lifeName, wasLeaving, runs});
}

void WorkerAgent::beginLife(const WorkerLife& life) {
    if (!m_life.isEmpty()) {
        m_formerLives.push_back(m_life);
    }
    // One that was taken for former is there after all.
    std::erase(m_formerLives, life);
    if (m_formerLives.size() > MAX_FORMER_LIVES) {
        m_formerLives.pop_front();
    }
    logEvent(Severity::INFO, "agent", "life",
             {{"life", life.toText()}, {"former", m_life.isEmpty() ? "-" : m_lifeName}});
    m_life = life;
    m_lifeName = life.toText();
    // What was sent while it was not known: the first look under the next fence lists it, or bars
    // it.
    m_fence.raise();
    m_isGone = false;
    m_isNobodyThere = false;
    m_answeredAt = m_loop.now();
    m_term = std::make_shared<bool>(true);
    m_isHolding = false;
    m_isVerifying = false;
    m_isAnswering = false;
    m_mustAcknowledge = false;
    m_clock.reset();
    m_lastKept = 0;
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
void WorkerAgent::settleCrashes(const HoldReply& firstLook) {
    for (WorkerCrash& crash : m_openCrashes) {
        std::erase_if(crash.m_runs,
                      [&](const CrashedRunEntry& run) { return isIn(firstLook, run); });
        const bool isEmpty = crash.m_runs.empty();
        logEvent(Severity::WARNING, "agent", "worker-crashed",
                 {{"life", crash.m_life},
                  {"draining", crash.m_wasLeaving ? "yes" : "no"},
                  {"runs", std::to_string(crash.m_runs.size())},
                  {"youngest", isEmpty ? "-" : crash.m_runs.front().m_task},
                  {"youngest_ran_ms",
                   isEmpty ? "-" : std::to_string(crash.m_runs.front().m_ranMs)}});
        m_crashes.push_back(std::move(crash));
    }
    m_openCrashes.clear();
    while (m_crashes.size() > MAX_CRASHES) {
        m_crashes.pop_front();
    }
}

}  // namespace pierbank
