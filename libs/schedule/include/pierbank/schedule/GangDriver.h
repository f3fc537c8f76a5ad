// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_GANGDRIVER_H
#define PIERBANK_SCHEDULE_GANGDRIVER_H

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/policy/ClusterState.h"
#include "pierbank/policy/PolicySettings.h"
#include "pierbank/schedule/MemberTable.h"
#include "pierbank/schedule/WorkerLeases.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** How the leader reaches the sidecar of a worker. */
class WorkerChannel {
public:
    virtual ~WorkerChannel() = default;

    /** @return false when there is no link to the worker's sidecar now. */
    virtual bool sendToWorker(std::string_view worker, const Frame& frame) = 0;
};

/**
 * Drives gangs through prepare, start and stop. absorb() turns what sidecars reported into changes
 * of a state that is about to be committed; drive() sends what a committed state asks for, and
 * sends it again until the sidecars have confirmed.
 *
 * No member is started before the record says that the gang is running, and accelerators are not
 * given to others before every member has confirmed its stop or its worker's lease has surely
 * lapsed.
 */
class GangDriver {
public:
    /** The references must outlive the driver. */
    GangDriver(const PolicySettings& settings, WorkerChannel& channel, MemberTable& members,
               WorkerLeases& leases);

    /** A new leader starts with nothing known and nothing sent. */
    void takeOver(std::uint64_t epoch);

    /** A worker's sidecar is linked: asks it for all its members. */
    void connect(std::string_view worker);
    void disconnect(std::string_view worker);
    /** The sidecar has told of all its members. */
    void finishReport(std::string_view worker, std::uint64_t epoch, Millis now);

    /** Changes `state` by what is known of the members. @param wallNow for the state's times. */
    void absorb(ClusterState& state, Millis now, Millis wallNow);

    /** Sends frames for a committed state. */
    void drive(const ClusterState& state, Millis now);

    /** A gang that is not prepared after this time is stopped and placed again. */
    static constexpr Millis PREPARE_TIMEOUT{5000};

private:
    enum class Standing { UNKNOWN, ABSENT, PREPARED, RUNNING, ENDED, FAILED, STOPPED, REFUSED };
    enum class Message { PREPARE, START, STOP };
    struct Sent {
        Message m_message = Message::PREPARE;
        Millis m_at{0};
    };

    Standing getStanding(const ClusterState& state, const Job& job, std::uint32_t member,
                         Millis now) const;
    void absorbPreparing(ClusterState& state, Job& job, Millis now, Millis wallNow);
    void absorbRunning(ClusterState& state, Job& job, Millis now, Millis wallNow);
    void absorbStopping(ClusterState& state, Job& job, Millis now, Millis wallNow);
    void stopForLoss(const ClusterState& state, Job& job, std::uint32_t member, Millis wallNow);
    void driveMember(const ClusterState& state, const Job& job, std::uint32_t member, Millis now);
    void send(const ClusterState& state, const Job& job, std::uint32_t member, Message message,
              Millis now);
    Frame makeFrame(const Job& job, std::uint32_t member, Message message) const;

    static constexpr Millis RESEND_INTERVAL{1000};

    const PolicySettings& m_settings;
    WorkerChannel& m_channel;
    MemberTable& m_members;
    WorkerLeases& m_leases;
    std::uint64_t m_epoch = 0;
    std::set<std::string, std::less<>> m_reported;
    std::map<MemberId, Sent> m_sent;
    std::map<AttemptId, Millis> m_preparingSince;
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_GANGDRIVER_H
