// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBINTAKE_H
#define PIERBANK_CONTROL_JOBINTAKE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/ConfigurationFeed.h"
#include "pierbank/control/Documents.h"
#include "pierbank/control/RetryAfterPolicy.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** A caller's request. */
struct IntakeRequest {
    std::string m_method;
    /** Host name without a port. */
    std::string m_host;
    std::string m_path;
    /** The caller's key; empty for none. */
    std::string m_key;
    std::string m_body;
    /** How long the caller waits for the answer. */
    Millis m_patience{3000};
    /** Another gateway passed it on: it is not passed on again. */
    bool m_isRelayed = false;
};

/** Its answer. */
struct IntakeAnswer {
    std::uint32_t m_status = 503;
    std::string m_body;
    /** With a refusal that a later try may not meet: when to come back; zero for none. */
    Millis m_retryAfter{0};
    /** For the log: what decided. */
    std::string m_reason;
};

struct IntakeSettings {
    /** A configuration confirmed longer ago is confirmed again before it decides anything. */
    Millis m_maxConfigurationAge{1200};
    /** How old the count of pending jobs may be. */
    Millis m_pendingAge{1000};
    /** An outcome that the store does not tell for so long is left to another gateway, or unknown.
     */
    Millis m_commitTimeout{1500};
    RetryAfterPolicySettings m_retryAfterPolicy;
    /**
     * A submission whose write has no answer after this time is also handed to the leader: a
     * gateway that has just been cut off from the store does not know it, and held such a job for
     * 1.5 s and more. Above the answers of a store that is slow (0.24 to 0.33 s).
     */
    Millis m_hedgeAfter{400};
    /** Whether it is. */
    bool m_hedges = true;
    /**
     * What this gateway can't do is passed on to the leader: worth 0.11 of a day with faults on a
     * fleet of 15 hosts (mean of 25 paired plays).
     */
    bool m_relays = true;
    /**
     * Kept back from the caller's patience, so that the answer arrives in time; an answer takes 1
     * to 3 ms to a caller. With 300 ms, kept back by both gateways, last tries were not passed on.
     */
    Millis m_answerMargin{100};
};

/** Accepted jobs that have not begun, by queue; queues without any may be left out. */
using PendingJobs = std::map<std::string, std::size_t>;

/** A gateway that can answer a request when this one can't reach the store. */
class IntakeRelay {
public:
    virtual ~IntakeRelay() = default;
    virtual bool isUsable() const = 0;
    /** `done` is called once; with an empty answer when none came in time. */
    virtual void relay(const IntakeRequest& request, Millis patience,
                       std::function<void(const std::optional<IntakeAnswer>&)> done) = 0;
    /** `done` is called once; with nothing when no answer came in time. */
    virtual void countPending(std::function<void(const std::optional<PendingJobs>&)> done) = 0;
};

/**
 * Takes callers' requests at any gateway, leader or not: a job is accepted when its record is
 * known to be in the store, by a transaction that also expects the configuration under which it
 * was accepted. States are read from the store. What would be refused by the configuration at hand
 * is refused only after a read that was sent after the request confirmed it.
 *
 * Refusals (503) are sure: the job was not taken and never runs. An outcome that stays
 * unknown is answered 504.
 */
class JobIntake {
public:
    using AnswerCallback = std::function<void(const IntakeAnswer&)>;

    /** The references must outlive the intake. */
    JobIntake(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
              const DocumentCodec& codec, IntakeSettings settings);
    ~JobIntake();
    JobIntake(const JobIntake&) = delete;
    JobIntake& operator=(const JobIntake&) = delete;

    /** Called with each key under input/ that was surely written. */
    void onWritten(std::function<void(std::string_view key, std::string_view value)> callback) {
        m_onWritten = std::move(callback);
    }

    /** Who is asked when the store can't be reached; it must outlive the intake. */
    void setRelay(IntakeRelay& relay) { m_relay = &relay; }

    /** The store was lost to this gateway, or is back. */
    void noteReach(bool isReached);

    /** `done` is called once. */
    void handle(IntakeRequest request, AnswerCallback done);

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void begin(const CallPtr& call);
    void refreshAndHandle(const CallPtr& call);
    void findLikelyQueue(Call& call) const;
    void confirmAndRoute(const CallPtr& call);
    void route(const CallPtr& call);
    /** Answers a refusal after a fresh read has confirmed it, or decides anew. */
    void refuse(const CallPtr& call, std::uint32_t status, std::string_view reason);
    void dispatch(const CallPtr& call);

    void submit(const CallPtr& call);
    void handleSubmitted(const CallPtr& call, const StoreCommit& commit);
    void readState(const CallPtr& call);
    void readRecord(const CallPtr& call, bool isSecond);
    void cancel(const CallPtr& call);
    void cancelRecord(const CallPtr& call, bool isSecond);
    void putCancel(const CallPtr& call, const StoreItem& record);
    void answerRead(const CallPtr& call, std::string body, std::string_view reason);
    bool isStillAllowed(const Call& call) const;
    void countPending(const CallPtr& call);
    void refreshPending();
    void listPending();
    void finishPending(bool isGood);

    void answer(const CallPtr& call, std::uint32_t status, std::string body,
                std::string_view reason);
    void answerUnavailable(const CallPtr& call, std::string_view reason);
    /** Lets the leader answer; if it can't, the answer is `status`. */
    void relayOr(const CallPtr& call, std::uint32_t status, std::string_view reason);
    bool mayRelay(const Call& call) const;
    void askLeader(const CallPtr& call);
    /** Answers once enough is known of what this gateway and the leader came to. */
    void settle(const CallPtr& call);
    Millis getTimeLeft(const Call& call) const;

    RecordStore& m_store;
    EventLoop& m_loop;
    ConfigurationFeed& m_configuration;
    const DocumentCodec& m_codec;
    const IntakeSettings m_settings;
    IntakeRelay* m_relay = nullptr;
    RetryAfterPolicy m_retryAfterPolicy;
    std::function<void(std::string_view, std::string_view)> m_onWritten = [](std::string_view,
                                                                             std::string_view) {
    };
    /** Pending jobs by queue, and when they were counted. */
    PendingJobs m_pending;
    Millis m_pendingAt{0};
    bool m_hasPending = false;
    std::vector<CallPtr> m_pendingCalls;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBINTAKE_H
