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

/** What the platform gives a gateway. All must outlive what uses them. */
struct PlatformPorts {
    RecordStore& m_store;
    Advisor& m_advisor;
    MachineFleet& m_fleet;
    const DocumentCodec& m_codec;
};

struct JobCoreSettings {
    ConfigurationFeedSettings m_configuration;
    IntakeSettings m_intake;
    LeaderLockSettings m_leader;
    WorkerPoolSettings m_workers;
    JobControllerSettings m_jobs;
    WaveControllerSettings m_waves;
    LeadershipCandidacySettings m_bid;
    /** Where the leader connects to this gateway. */
    Address m_links;
};

/** All of a gateway but its listening sockets: configuration, intake, leadership, jobs. */
class JobCore final : private IntakeRelay, private ConfigurationSource {
public:
    /** The references must outlive the core. */
    JobCore(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
            const JobCoreSettings& settings);
    JobCore(const JobCore&) = delete;
    JobCore& operator=(const JobCore&) = delete;

    /** @return false with `reason` when the address for links is not free. */
    bool start(Reason& reason);
    /** Hands the leadership over and does not take it again. */
    void release() { m_lock.release(); }

    JobIntake& getIntake() noexcept { return m_intake; }
    const ConfigurationFeed& getConfiguration() const noexcept { return m_configuration; }
    /** Callers can be served: the store was reached lately, or a leader that can answers. */
    bool isReady(Millis maxAge) const;
    const LeaderLock& getLock() const noexcept { return m_lock; }
    const JobController& getJobs() const noexcept { return m_jobs; }

private:
    void connectLock();
    void connectLeader();

    // IntakeRelay and ConfigurationSource: another gateway leads, and is heard of.
    bool isUsable() const override;
    void ask(std::function<void(const std::optional<ConfigurationNotice>&)> done) override {
        m_leaderLink.ask(std::move(done));
    }
    void relay(const IntakeRequest& request, Millis patience,
               std::function<void(const std::optional<IntakeAnswer>&)> done) override;
    void countPending(std::function<void(const std::optional<PendingJobs>&)> done) override {
        m_leaderLink.queryPending(std::move(done));
    }
    void answerRelayed(const RelayedRequest& request,
                       std::function<void(const RelayedAnswer&)> done);

    RecordStore& m_store;
    Transport& m_transport;
    const Address m_links;
    ConfigurationFeed m_configuration;
    JobIntake m_intake;
    LeadershipCandidacy m_bid;
    LeaderLock m_lock;
    JobController m_jobs;
    WaveController m_waves;
    LeaderLink m_leaderLink;
    Registration m_registration;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBCORE_H
