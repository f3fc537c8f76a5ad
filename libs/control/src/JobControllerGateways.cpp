// SPDX-License-Identifier: Apache-2.0
// Answers the gateways that do not lead.
#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/JobController.h"

namespace pierbank {

namespace {

/** Age that the platform's contract permits for a count of pending jobs. */
constexpr Millis MAX_START_PRESUMPTION{2000};

}  // namespace

/**
 * Answers over the link of the request. If that link has ended, the gateway has already told its
 * caller that no answer came, or it is another process, so the answer is dropped.
 */
void JobController::handleRelayedRequest(const RequestOrigin& origin,
                                         const RelayedRequest& request) {
    m_onRelayed(request, [this, origin, number = request.m_number, askedAt = m_loop.now(),
                          term = std::weak_ptr(m_term)](RelayedAnswer answer) {
        if (term.expired()) {
            return;
        }
        answer.m_number = number;
        const bool isSent = m_workers.answer(origin, answer);
        ++(isSent ? m_statistics.m_relaysAnswered : m_statistics.m_relayAnswersDropped);
        logEvent(isSent ? Severity::INFO : Severity::WARNING, "jobs", "relay-answered",
                 {{"host", origin.m_host},
                  {"relay", std::to_string(number)},
                  {"link", std::to_string(origin.m_linkNumber)},
                  {"status", std::to_string(answer.m_status)},
                  {"took_ms", std::to_string((m_loop.now() - askedAt).count())},
                  {"outcome", isSent ? "sent" : "dropped, the link of the request has ended"}});
    });
}

/**
 * Sends the changed configuration's revision to the linked gateways, since these do not watch the
 * configuration themselves.
 */
void JobController::handleConfiguration() {
    invalidatePlan();
    if (!m_isLeading) {
        return;
    }
    constexpr std::uint64_t UNSOLICITED = 0;
    const GatewayReply reply = makeGatewayReply(UNSOLICITED);
    for (const auto& [address, host] : m_workers.getHosts()) {
        if (host.m_fitness.has_value()) {
            m_workers.send(address, reply);
        }
    }
}

void JobController::handleGatewayQuery(const RequestOrigin& origin, const GatewayQuery& query) {
    GatewayReply reply = makeGatewayReply(query.m_number);
    if (query.m_wantsPending) {
        const auto pending = countPending();
        reply.m_knowsPending = pending.has_value();
        reply.m_pending = pending.value_or(std::vector<PendingEntry>());
    }
    m_workers.answer(origin, reply);
}

/**
 * Returns false as soon as this gateway's lease may have expired: the next leader may then have
 * jobs that this gateway does not know.
 */
bool JobController::isLeadershipConfirmed() const {
    return m_isLoaded && m_loop.now() - m_getConfirmedAt() <= m_settings.m_maxConfirmationAge;
}

/**
 * Returns whether a task of the job has begun, as far as this leader can know. Runs that were
 * placed by an earlier leader count as begun until the first reports of their workers, for a
 * limited time.
 */
bool JobController::hasBegun(const std::string& id, const JobEntry& entry) const {
    if (!entry.m_run.m_hasStarted || entry.m_isStartConfirmed || hasProvenStart(entry.m_run)) {
        return entry.m_run.m_hasStarted;
    }
    const std::vector<ActiveRun> runs = listActiveRuns(id, entry.m_run);
    if (runs.empty()) {
        // A run has ended under an earlier leader, which retracted nothing.
        return true;
    }
    const bool awaitsReport = std::any_of(runs.begin(), runs.end(), [this](const ActiveRun& run) {
        return m_reports.count(run.m_worker.m_host) == 0;
    });
    return awaitsReport && m_loop.now() - m_loadedAt <= MAX_START_PRESUMPTION;
}

std::optional<std::vector<PendingEntry>> JobController::countPending() const {
    if (!isLeadershipConfirmed()) {
        return std::nullopt;
    }
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [id, entry] : m_jobs) {
        const bool isWaiting = entry.m_hasInput && !entry.m_run.isFinished() &&
                               !entry.m_record.m_spec.isTimed() && !hasBegun(id, entry);
        if (isWaiting) {
            ++counts[entry.m_record.m_policy.m_queue];
        }
    }
    std::vector<PendingEntry> pending;
    for (const auto& [queue, jobs] : counts) {
        pending.push_back({queue, jobs});
    }
    return pending;
}

/** @param queryNumber number of the query that is answered; zero for none. */
GatewayReply JobController::makeGatewayReply(std::uint64_t queryNumber) const {
    GatewayReply reply;
    reply.m_number = queryNumber;
    const auto age = m_configuration.getAge();
    if (age.has_value()) {
        reply.m_revision = m_configuration.getRevision();
        reply.m_ageMs = static_cast<std::uint64_t>(age->count());
    }
    reply.m_nextRequestMs = static_cast<std::uint64_t>(m_workers.getRequestInterval().count());
    const WorkerPool::Gateways& gateways = m_workers.getGateways();
    reply.m_gateways = gateways.m_count;
    reply.m_bestFitness = std::max(gateways.m_bestFitness, m_getFitness());
    return reply;
}

}  // namespace pierbank
