// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBCORE_H
#define PIERBANK_CONTROL_JOBCORE_H

#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/JobController.h"
#include "pierbank/control/JobIntake.h"
#include "pierbank/control/LeaderLink.h"
#include "pierbank/control/LeaderLock.h"
#include "pierbank/control/Registration.h"

namespace pierbank {

/** Interfaces of the platform that a gateway uses. The referents must outlive the gateway. */
struct PlatformPorts {
    RecordStore& m_store;
    Advisor& m_advisor;
    MachineFleet& m_fleet;
    const DocumentCodec& m_codec;
};

/** Settings of a JobCore and of its parts. */
struct JobCoreSettings {
    ConfigurationFeedSettings m_configuration;
    IntakeSettings m_intake;
    LeaderLockSettings m_leader;
    WorkerPoolSettings m_workers;
    JobControllerSettings m_jobs;
    WaveControllerSettings m_waves;
    LeadershipCandidacySettings m_candidacy;
    /** Address on which this gateway accepts the leader's link. */
    Address m_links;
};

/**
 * A gateway without its HTTP servers: owns and connects the configuration, the intake of requests,
 * the candidacy for leadership, the job controller and the link to the leader. Runs on the event
 * loop only.
 */
class JobCore final : private IntakeRelay, private ConfigurationSource {
public:
    /** The references must outlive the core. */
    JobCore(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
            const JobCoreSettings& settings);
    JobCore(const JobCore&) = delete;
    JobCore& operator=(const JobCore&) = delete;

    /**
     * Starts listening for the leader's link, registers the gateway and starts the candidacy.
     * @return false, with `reason`, if the address for links can't be listened on.
     */
    bool start(Reason& reason);
    /**
     * Applies a confirmed write of a key under input/ if this gateway leads, so that it need not
     * wait for its watch of the store.
     */
    void applyWritten(const StoreItem& item) { m_jobs.applyWritten(item); }
    /** Releases the leadership permanently, so that another gateway can take it over. */
    void release() { m_lock.release(); }

    /** Returns the handler of requests about jobs. */
    JobIntake& getIntake() noexcept { return m_intake; }
    const JobIntake& getIntake() const noexcept { return m_intake; }
    /** Returns the operators' configuration as it is known to this gateway at present. */
    const ConfigurationFeed& getConfiguration() const noexcept { return m_configuration; }
    /**
     * Returns whether requests can be served: the store was reached within `maxAge`, or this
     * gateway has a usable link to another leader.
     */
    bool isReady(Millis maxAge) const;
    /** Returns the state of this gateway's candidacy and leadership. */
    const LeaderLock& getLock() const noexcept { return m_lock; }
    /** Returns the link to the gateway that leads. */
    const LeaderLink& getLeaderLink() const noexcept { return m_leaderLink; }
    /** Returns the job controller, which has state only while this gateway leads. */
    const JobController& getJobs() const noexcept { return m_jobs; }

private:
    void connectLock();
    void connectLeader();

    // IntakeRelay and ConfigurationSource; except for countPending(), usable while another gateway
    // leads and is reachable
    bool isUsable() const override;
    void requestNotice(
            std::function<void(const std::optional<ConfigurationNotice>&)> done) override {
        m_leaderLink.queryConfiguration(std::move(done));
    }
    void relay(const IntakeRequest& request, Millis timeout,
               std::function<void(const std::optional<IntakeAnswer>&)> done) override;
    void countPending(std::function<void(const std::optional<PendingJobs>&)> done) override;
    /** Answers, as the leader, a request that another gateway relayed. */
    void answerRelayed(const RelayedRequest& request,
                       std::function<void(const RelayedAnswer&)> done);

    RecordStore& m_store;
    Transport& m_transport;
    const Address m_linkAddress;
    ConfigurationFeed m_configuration;
    JobIntake m_intake;
    LeadershipCandidacy m_candidacy;
    LeaderLock m_lock;
    JobController m_jobs;
    WaveController m_waves;
    LeaderLink m_leaderLink;
    Registration m_registration;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCORE_H
