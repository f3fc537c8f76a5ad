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
#include "pierbank/control/EarlyCancelLimiter.h"
#include "pierbank/control/RetryAfterPolicy.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** HTTP request of a caller. */
struct IntakeRequest {
    std::string m_method;
    /** Host name without a port. */
    std::string m_host;
    std::string m_path;
    /** The caller's API key; empty if the request has none. */
    std::string m_key;
    std::string m_body;
    /** The caller's timeout for the answer. */
    Millis m_timeout{3000};
    /** Whether another gateway relayed this request; then it is not relayed again. */
    bool m_isRelayed = false;
};

/** Answer to an IntakeRequest. */
struct IntakeAnswer {
    std::uint32_t m_status = 503;
    std::string m_body;
    /** Delay after which the caller should retry if the refusal may be temporary; else zero. */
    Millis m_retryAfter{0};
    /** Reason for the answer, for the log. */
    std::string m_reason;
};

struct IntakeSettings {
    /**
     * Maximum age of the configuration that requests are decided by. An older configuration is
     * confirmed first.
     */
    Millis m_maxConfigurationAge{1200};
    /** Maximum age of the cached numbers of pending jobs. */
    Millis m_maxPendingAge{1000};
    /**
     * Timeout for the outcome of a submission. After it the request is relayed to the leader or
     * answered as unknown.
     */
    Millis m_commitTimeout{1500};
    RetryAfterPolicySettings m_retryAfterPolicy;
    /**
     * Time without an answer from the store after which a submission is also relayed to the leader.
     * A gateway that has just lost its connection to the store can't detect this and would
     * otherwise delay the submission by m_commitTimeout (1.5 s) or more. The delay is longer than
     * the answers of a slow store, which take 0.24 to 0.33 s.
     */
    Millis m_hedgeDelay{400};
    /** Whether slow submissions are also relayed to the leader after m_hedgeDelay. */
    bool m_hedgesSubmissions = true;
    /**
     * Whether requests that this gateway can't complete are relayed to the leader. This clearly
     * improves the service of a small fleet during faults.
     */
    bool m_relaysRequests = true;
    /**
     * Part of the caller's timeout that is reserved for delivering the answer, which takes 1 to 3
     * ms. With 300 ms reserved by both gateways, the last retries before the caller's deadline were
     * no longer relayed. The gateway that receives a relayed request reserves nothing.
     */
    Millis m_answerMargin{100};
    EarlyCancelLimiterSettings m_earlyCancelLimits;
};

/** Counters of a gateway's requests to cancel jobs that were not accepted. */
struct IntakeStatistics {
    /** Requests that were written to the store and acknowledged. */
    std::uint64_t m_earlyCancels = 0;
    /** Requests that were refused because there were too many. */
    std::uint64_t m_earlyCancelsRefused = 0;
    /** Jobs that were accepted as cancelled. */
    std::uint64_t m_acceptedAsCancelled = 0;
};

/** Numbers of accepted jobs that have not started, by queue; a missing queue has none. */
using PendingJobs = std::map<std::string, std::size_t>;

/** Relays requests to the leader, which can answer while this gateway can't reach the store. */
class IntakeRelay {
public:
    virtual ~IntakeRelay() = default;
    /** Returns whether the leader is reachable. */
    virtual bool isUsable() const = 0;
    /** Relays a request. `done` is called once, with an empty value if no answer came in time. */
    virtual void relay(const IntakeRequest& request, Millis timeout,
                       std::function<void(const std::optional<IntakeAnswer>&)> done) = 0;
    /**
     * Queries the leader, which may be this gateway, for the numbers of pending jobs. `done` is
     * called once, with an empty value if no leader is reachable or none answers in time.
     */
    virtual void countPending(std::function<void(const std::optional<PendingJobs>&)> done) = 0;
};

/**
 * Handles callers' requests at any gateway, leader or not. Runs on the event loop.
 *
 * A job is accepted once its record is known to be in the store. The transaction that writes the
 * record is conditional on the revision of the configuration under which the job was accepted, and
 * on the absence of a request to cancel the job in advance. A job that was cancelled in advance is
 * accepted together with its cancel, so that it never starts, whatever the leader knows.
 * States of jobs are read from the store. A request that the local copy of the configuration would
 * refuse is refused only after a read sent after the request's arrival has confirmed that copy.
 *
 * An answer of 503 is definite: the job was not accepted and never runs. A request whose outcome
 * remains unknown is answered with 504.
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

    /** Sets the callback for each key under input/ whose write the store has confirmed. */
    void onWritten(std::function<void(std::string_view key, std::string_view value)> callback) {
        m_onWritten = std::move(callback);
    }

    /** Sets the relay to the leader; it must outlive the intake. */
    void setRelay(IntakeRelay& relay) { m_relay = &relay; }

    /** Returns the counters since the start of the process. */
    const IntakeStatistics& getStatistics() const noexcept { return m_statistics; }

    /** Records that the store has become unreachable for this gateway, or reachable again. */
    void recordReachability(bool isReached);

    /** Handles a request; `done` is called once. */
    void handle(IntakeRequest request, AnswerCallback done);

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void process(const CallPtr& call);
    void refreshAndProcess(const CallPtr& call);
    void findLikelyQueue(Call& call) const;
    void confirmAndRoute(const CallPtr& call);
    void route(const CallPtr& call);
    /** Refuses a request, unless a fresh read of the configuration leads to another decision. */
    void refuse(const CallPtr& call, std::uint32_t status, std::string_view reason);
    void dispatch(const CallPtr& call);

    void submit(const CallPtr& call);
    void commitSubmission(const CallPtr& call);
    StoreTransaction makeSubmission(const Call& call) const;
    void handleSubmitted(const CallPtr& call, const StoreCommit& commit);
    void readState(const CallPtr& call);
    void readRecord(const CallPtr& call, bool isRecordAbsent);
    void cancel(const CallPtr& call);
    void cancelRecord(const CallPtr& call, bool hasRun);
    void putCancel(const CallPtr& call, const StoreItem& record);
    void cancelUnknown(const CallPtr& call);
    void putEarlyCancel(const CallPtr& call);
    void handleEarlyCancelWritten(const CallPtr& call, const std::string& value,
                                  const StoreCommit& commit);
    /**
     * Takes over the stored request to cancel the job in advance from a refused transaction.
     * @return whether it differs from the known one.
     */
    static bool updateEarlyCancel(Call& call, const StoreCommit& commit);
    void answerRead(const CallPtr& call, std::string body, std::string_view reason);
    bool isStillAllowed(const Call& call) const;
    void countPending(const CallPtr& call);
    void refreshPending();
    void listPending();
    void answerPending(const CallPtr& call);
    void finishPending(bool isGood);

    void answer(const CallPtr& call, std::uint32_t status, std::string body,
                std::string_view reason);
    void answerUnavailable(const CallPtr& call, std::string_view reason);
    /**
     * Relays a request to the leader if possible, and otherwise answers with `status`. The answer
     * is also `status` if the leader does not answer, except for a submission, whose outcome is
     * then unknown.
     */
    void relayOr(const CallPtr& call, std::uint32_t status, std::string_view reason);
    bool mayRelay(const Call& call) const;
    void relayToLeader(const CallPtr& call);
    /** Answers once the outcomes at this gateway and at the leader determine the answer. */
    void answerIfDecided(const CallPtr& call);
    Millis getTimeLeft(const Call& call) const;

    RecordStore& m_store;
    EventLoop& m_loop;
    ConfigurationFeed& m_configuration;
    const DocumentCodec& m_codec;
    const IntakeSettings m_settings;
    IntakeRelay* m_relay = nullptr;
    RetryAfterPolicy m_retryAfterPolicy;
    EarlyCancelLimiter m_earlyCancelLimiter;
    IntakeStatistics m_statistics;
    std::function<void(std::string_view, std::string_view)> m_onWritten = [](std::string_view,
                                                                             std::string_view) {
    };
    /** Cached numbers of pending jobs by queue, and when their count began. */
    PendingJobs m_pending;
    Millis m_pendingCountedAt{0};
    bool m_hasPending = false;
    /** Whether the leader made that count; otherwise it was made from lists of the store. */
    bool m_isPendingFromLeader = false;
    /** Requests that wait for a new count of the pending jobs. */
    std::vector<CallPtr> m_pendingCalls;
    /** Expires with this object; asynchronous callbacks check it. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBINTAKE_H
