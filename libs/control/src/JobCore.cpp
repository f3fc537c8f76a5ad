// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobCore.h"

#include <functional>

#include "pierbank/control/StoreKeys.h"

namespace pierbank {

JobCore::JobCore(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
                 const JobCoreSettings& settings)
        : m_store(platform.m_store),
          m_transport(transport),
          m_linkAddress(settings.m_links),
          m_configuration(m_store, loop, platform.m_codec, settings.m_configuration),
          m_intake(m_store, loop, m_configuration, platform.m_codec, settings.m_intake),
          m_candidacy(settings.m_candidacy,
                      Random(std::hash<std::string>()(settings.m_leader.m_node))),
          m_lock(m_store, loop, settings.m_leader),
          m_jobs(m_store, loop, m_configuration, transport, platform.m_advisor, settings.m_workers,
                 settings.m_jobs),
          m_waves(m_store, loop, platform.m_fleet, platform.m_codec, m_jobs, settings.m_waves),
          m_leaderLink(loop, m_candidacy),
          m_registration(m_store, loop, [this] { return m_leaderLink.isUsable(); }) {
    m_intake.onWritten([this](std::string_view key, std::string_view value) {
        m_leaderLink.notify(key, value);
    });
    m_intake.setRelay(*this);
    m_configuration.setSource(*this);
    m_configuration.onChange([this] { m_jobs.handleConfiguration(); });
    m_configuration.onReachabilityChange(
            [this](bool isReached) { m_intake.recordReachability(isReached); });
    connectLock();
    connectLeader();
}

/** Connects the leader lock to the candidacy and to the parts that depend on leadership. */
void JobCore::connectLock() {
    m_lock.setElectionDelayProvider([this] { return m_candidacy.drawElectionDelay(); });
    m_lock.setLeaderProbe([this] { return m_leaderLink.isUsable(); });
    m_lock.onReadFailed([this] {
        // While the store is known to be lost, the feed polls anyway until the store is reachable
        // again.
        if (!m_configuration.isStoreLost()) {
            m_configuration.confirm([](bool) {});
        }
    });
    m_lock.onAcquired([this](StoreRevision epoch) {
        m_jobs.lead(epoch, [this] { return m_lock.getConfirmedAt(); });
        m_waves.lead(epoch);
    });
    m_lock.onLost([this] {
        m_waves.stepDown();
        m_jobs.stepDown();
    });
}

/**
 * Connects the link to the leader, and the job controller that is used while this gateway leads.
 */
void JobCore::connectLeader() {
    // Reveals to a leader that can't reach the store that another gateway has superseded it.
    m_leaderLink.onLeader([this](std::uint64_t epoch) {
        if (m_lock.isHeld() && epoch > m_lock.getEpoch()) {
            m_lock.abandon();
        }
    });
    m_leaderLink.onNotice([this](const ConfigurationNotice& notice) {
        if (isUsable()) {
            m_configuration.applyNotice(notice);
        }
    });
    m_leaderLink.onLeaderTimeout([this] { m_lock.pollWithin(m_candidacy.drawElectionDelay()); });
    m_jobs.setFitnessProvider([this] { return m_candidacy.getFitness(); });
    m_jobs.onRelayed(
            [this](const RelayedRequest& request, std::function<void(const RelayedAnswer&)> done) {
                answerRelayed(request, std::move(done));
            });
    m_jobs.onLeadershipLost([this] { m_lock.abandon(); });
}

bool JobCore::start(Reason& reason) {
    const auto onLink = [this](std::shared_ptr<Link> link) {
        m_leaderLink.handleLink(std::move(link));
    };
    if (!m_transport.listen(m_linkAddress, onLink, reason)) {
        return false;
    }
    m_registration.start(getGatewayKey(m_linkAddress.toText()));
    m_configuration.start();
    m_lock.start();
    return true;
}

bool JobCore::isReady(Millis maxAge) const {
    const auto age = m_configuration.getAge();
    return (age.has_value() && *age <= maxAge) || isUsable();
}

bool JobCore::isUsable() const {
    return !m_jobs.isLeading() && m_leaderLink.isUsable();
}

void JobCore::relay(const IntakeRequest& request, Millis timeout,
                    std::function<void(const std::optional<IntakeAnswer>&)> done) {
    RelayedRequest relayedRequest;
    relayedRequest.m_method = request.m_method;
    relayedRequest.m_host = request.m_host;
    relayedRequest.m_path = request.m_path;
    relayedRequest.m_key = request.m_key;
    relayedRequest.m_body = request.m_body;
    relayedRequest.m_remainingMs = static_cast<std::uint64_t>(timeout.count());
    m_leaderLink.relay(std::move(relayedRequest), timeout,
                       [done = std::move(done)](const RelayedAnswer& answer) {
                           if (answer.m_status == 0) {
                               done(std::nullopt);
                               return;
                           }
                           IntakeAnswer relayed;
                           relayed.m_status = answer.m_status;
                           relayed.m_body = answer.m_body;
                           done(relayed);
                       });
}

void JobCore::countPending(std::function<void(const std::optional<PendingJobs>&)> done) {
    if (isUsable()) {
        m_leaderLink.queryPending(std::move(done));
        return;
    }
    // Without a leader, this gateway's job controller has no count either.
    const auto pending = m_jobs.countPending();
    done(pending.has_value() ? std::optional(toPendingJobs(*pending)) : std::nullopt);
}

void JobCore::answerRelayed(const RelayedRequest& request,
                            std::function<void(const RelayedAnswer&)> done) {
    IntakeRequest intakeRequest;
    intakeRequest.m_method = request.m_method;
    intakeRequest.m_path = request.m_path;
    intakeRequest.m_host = request.m_host;
    intakeRequest.m_key = request.m_key;
    intakeRequest.m_body = request.m_body;
    intakeRequest.m_timeout = Millis(request.m_remainingMs);
    intakeRequest.m_isRelayed = true;
    m_intake.handle(std::move(intakeRequest), [done = std::move(done)](const IntakeAnswer& answer) {
        RelayedAnswer relayedAnswer;
        relayedAnswer.m_status = answer.m_status;
        relayedAnswer.m_body = answer.m_body;
        done(relayedAnswer);
    });
}

}  // namespace pierbank
