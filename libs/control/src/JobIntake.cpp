// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobIntake.h"

#include <algorithm>
#include <utility>

#include "JobIntakeCall.h"
#include "pierbank/base/Log.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/http/HttpStatus.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

namespace {

/** Minimum time left for relaying a request: the leader needs two calls of the store. */
constexpr Millis MIN_RELAY_TIME{30};
bool isJobId(std::string_view text) {
    constexpr std::size_t DIGITS = 16;
    return text.size() == DIGITS &&
           text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

/** Returns the job id that a path ends in, or an empty string. Used for the log before routing. */
std::string findJobId(std::string_view path) {
    const std::string_view last = path.substr(path.rfind('/') + 1);
    return isJobId(last) ? std::string(last) : std::string();
}

const StoreItem* findItem(const std::vector<StoreItem>& items, std::string_view key) {
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const StoreItem& item) { return item.m_key == key; });
    return found == items.end() ? nullptr : &*found;
}

}  // namespace

JobIntake::JobIntake(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                     const DocumentCodec& codec, IntakeSettings settings)
        : m_store(store),
          m_loop(loop),
          m_configuration(configuration),
          m_codec(codec),
          m_settings(settings),
          m_retryAfterPolicy(settings.m_retryAfterPolicy),
          m_earlyCancelLimiter(settings.m_earlyCancelLimits) {}

JobIntake::~JobIntake() = default;

void JobIntake::handle(IntakeRequest request, AnswerCallback done) {
    const auto call = std::make_shared<Call>();
    call->m_request = std::move(request);
    call->m_done = std::move(done);
    call->m_startedAt = m_loop.now();
    call->m_id = findJobId(call->m_request.m_path);
    findLikelyQueue(*call);
    process(call);
}

void JobIntake::refreshAndProcess(const CallPtr& call) {
    call->m_isRefreshed = true;
    m_configuration.refresh([this, call, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            process(call);
        }
    });
}

/** Routes a request by the local configuration, which is confirmed first unless it is recent. */
void JobIntake::process(const CallPtr& call) {
    const auto age = m_configuration.getAge();
    const bool isRecent = age.has_value() && *age <= m_settings.m_maxConfigurationAge;
    if (isRecent && !m_configuration.isOutdated()) {
        route(call);
        return;
    }
    if (m_configuration.hasUsableSource() && !call->m_isRefreshed) {
        refreshAndProcess(call);
        return;
    }
    // While the store refuses quickly, each request tries a read: the store may have returned.
    const bool isQuick = m_configuration.isStoreLost() && !m_configuration.isStoreUnresponsive();
    if (!isQuick && (m_configuration.isStoreLost() || mayRelay(*call))) {
        answerUnavailable(call, "the store does not answer this gateway");
        return;
    }
    confirmAndRoute(call);
}

/**
 * Finds the queue of a request by the local configuration, which may not be confirmed. Used for the
 * log and for the retry delay of a request that is refused before it is routed.
 */
void JobIntake::findLikelyQueue(Call& call) const {
    const QueueConfiguration* const configuration = m_configuration.get();
    const QueueRoute* const route =
            configuration == nullptr
                    ? nullptr
                    : configuration->findRoute(call.m_request.m_host, call.m_request.m_path);
    if (route != nullptr) {
        call.m_likelyPolicy = route->m_policy;
    }
}

/** Routes a request by a configuration that was confirmed after the arrival of the request. */
void JobIntake::confirmAndRoute(const CallPtr& call) {
    m_configuration.confirm([this, call](bool isGood) {
        if (!isGood || m_configuration.get() == nullptr) {
            answerUnavailable(call, "the configuration can't be confirmed");
            return;
        }
        call->m_isConfirmed = true;
        route(call);
    });
}

void JobIntake::recordReachability(bool isReached) {
    if (isReached) {
        m_retryAfterPolicy.recordRegained(m_loop.now());
    } else {
        m_retryAfterPolicy.recordLost(m_loop.now());
    }
}

Millis JobIntake::getTimeLeft(const Call& call) const {
    const Millis passed = m_loop.now() - call.m_startedAt;
    // The gateway that relayed this request has already deducted its margin.
    const Millis margin = call.m_request.m_isRelayed ? Millis(0) : m_settings.m_answerMargin;
    return call.m_request.m_timeout - margin - passed;
}

void JobIntake::route(const CallPtr& call) {
    const QueueConfiguration& configuration = *m_configuration.get();
    const IntakeRequest& request = call->m_request;
    const QueueRoute* const route = configuration.findRoute(request.m_host, request.m_path);
    if (route == nullptr) {
        refuse(call, HTTP_NOT_FOUND, "no queue has this host and path");
        return;
    }
    const auto organisation = configuration.m_organisationsByKey.find(request.m_key);
    const bool isKnown = organisation != configuration.m_organisationsByKey.end();
    if (!isKnown && !route->m_isOpen) {
        refuse(call, HTTP_UNAUTHORIZED, "the API key is unknown");
        return;
    }
    call->m_policy = route->m_policy;
    call->m_organisation = isKnown ? organisation->second : std::string();
    call->m_configurationRevision = m_configuration.getRevision();
    call->m_id = request.m_path.substr(route->m_pathPrefix.size());
    dispatch(call);
}

void JobIntake::refuse(const CallPtr& call, std::uint32_t status, std::string_view reason) {
    if (call->m_isConfirmed) {
        answer(call, status, "", reason);
        return;
    }
    confirmAndRoute(call);
}

void JobIntake::dispatch(const CallPtr& call) {
    const std::string& method = call->m_request.m_method;
    if (call->m_id.empty() && method == "GET") {
        countPending(call);
    } else if (!isJobId(call->m_id)) {
        answer(call, HTTP_BAD_REQUEST, "", "the path does not end in a job id of 16 hex digits");
    } else if (method == "POST" && m_configuration.isSlowToTransfer() && !call->m_isConfirmed) {
        confirmAndRoute(call);
    } else if (method == "POST") {
        submit(call);
    } else if (method == "GET") {
        readState(call);
    } else if (method == "DELETE") {
        cancel(call);
    } else {
        answer(call, HTTP_METHOD_NOT_ALLOWED, "", "only POST, GET and DELETE are known");
    }
}

void JobIntake::submit(const CallPtr& call) {
    if (call->m_request.m_body.size() > m_configuration.get()->m_maxBodyBytes) {
        answer(call, HTTP_TOO_LARGE, "", "the body is over the configured limit");
        return;
    }
    Findings findings;
    auto spec = m_codec.readJob(call->m_request.m_body, findings);
    if (!spec.has_value()) {
        answer(call, HTTP_BAD_REQUEST, findings.toText(), "the body is not a valid job");
        return;
    }
    JobRecord record;
    record.m_id = call->m_id;
    record.m_organisation = call->m_organisation;
    record.m_policy = call->m_policy;
    record.m_acceptedAt = m_loop.wallNow();
    record.m_spec = std::move(*spec);
    call->m_encodedRecord = encodeJobRecord(record);
    commitSubmission(call);
    const Millis hedgeDelay = std::min(m_settings.m_hedgeDelay, getTimeLeft(*call) / 2);
    m_loop.callLater(hedgeDelay, [this, call, alive = std::weak_ptr(m_isAlive)] {
        const bool isOpen = !alive.expired() && !call->m_isAnswered;
        if (isOpen && m_settings.m_hedgesSubmissions && mayRelay(*call)) {
            relayToLeader(call);
        }
    });
}

void JobIntake::commitSubmission(const CallPtr& call) {
    const auto requests = decodeEarlyCancels(call->m_earlyCancel.m_value);
    call->m_isCancelledInAdvance =
            requests.has_value() && requests->find(call->m_organisation) != nullptr;
    call->m_submittedAt = m_loop.now();
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_timeLimit = std::clamp(getTimeLeft(*call), Millis(1), m_settings.m_commitTimeout);
    CommitResolver::run(m_store, m_loop, makeSubmission(*call), retryPolicy, m_isAlive,
                        [this, call](const StoreCommit& commit) { handleSubmitted(call, commit); });
}

StoreTransaction JobIntake::makeSubmission(const Call& call) const {
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(CONFIGURATION_KEY), call.m_configurationRevision},
                                {getJobKey(call.m_id), 0},
                                {getRunKey(call.m_id), 0},
                                {getEarlyCancelKey(call.m_id), call.m_earlyCancel.m_revision}};
    transaction.m_puts = {{getJobKey(call.m_id), call.m_encodedRecord, 0}};
    if (call.m_isCancelledInAdvance) {
        // CommitResolver recognises a write without an answer by the conditions on its keys.
        transaction.m_conditions.push_back({getCancelKey(call.m_id), 0});
        transaction.m_puts.push_back({getCancelKey(call.m_id), call.m_organisation, 0});
    }
    return transaction;
}

void JobIntake::handleSubmitted(const CallPtr& call, const StoreCommit& commit) {
    switch (commit.m_status) {
        case StoreStatus::OK:
            if (call->m_isCancelledInAdvance) {
                ++m_statistics.m_acceptedAsCancelled;
                logEvent(Severity::INFO, "intake", "accepted-as-cancelled", {{"job", call->m_id}});
                m_onWritten(getCancelKey(call->m_id), "");
            }
            m_onWritten(getJobKey(call->m_id), call->m_encodedRecord);
            answer(call, HTTP_OK, "", "accepted at revision " + std::to_string(commit.m_revision));
            return;
        case StoreStatus::CONFLICT:
            break;
        case StoreStatus::UNKNOWN:
            relayOr(call, HTTP_TIMEOUT, "the store did not say whether it was taken");
            return;
        default:
            answerUnavailable(call, "the store refused: " + commit.m_reason);
            return;
    }
    const StoreItem* const record = findItem(commit.m_items, getJobKey(call->m_id));
    const StoreItem* const run = findItem(commit.m_items, getRunKey(call->m_id));
    if ((record != nullptr && record->m_revision != 0) ||
        (run != nullptr && run->m_revision != 0)) {
        answer(call, HTTP_OK, "", "accepted earlier");
        return;
    }
    if (++call->m_tries >= MAX_TRIES || getTimeLeft(*call) <= Millis(0)) {
        answerUnavailable(call, "the configuration or the cancelling of the job keeps changing");
        return;
    }
    const bool isCancelChanged = updateEarlyCancel(*call, commit);
    // The answer of the store contains the new configuration. Reading the configuration again would
    // take seconds over a narrow link.
    const StoreItem* const configuration = findItem(commit.m_items, CONFIGURATION_KEY);
    if (configuration != nullptr && configuration->m_revision > call->m_configurationRevision) {
        m_configuration.applyItem(*configuration, call->m_submittedAt);
        if (m_configuration.getRevision() == configuration->m_revision) {
            call->m_isConfirmed = true;
            route(call);
            return;
        }
    }
    if (isCancelChanged) {
        commitSubmission(call);
        return;
    }
    confirmAndRoute(call);
}

bool JobIntake::updateEarlyCancel(Call& call, const StoreCommit& commit) {
    const StoreItem* const item = findItem(commit.m_items, getEarlyCancelKey(call.m_id));
    if (item == nullptr || item->m_revision == call.m_earlyCancel.m_revision) {
        return false;
    }
    call.m_earlyCancel = *item;
    return true;
}

void JobIntake::answerUnavailable(const CallPtr& call, std::string_view reason) {
    relayOr(call, HTTP_UNAVAILABLE, reason);
}

bool JobIntake::mayRelay(const Call& call) const {
    return m_settings.m_relaysRequests && m_relay != nullptr && m_relay->isUsable() &&
           !call.m_request.m_isRelayed && call.m_relayState == Call::RelayState::NOT_SENT &&
           getTimeLeft(call) > MIN_RELAY_TIME;
}

void JobIntake::relayOr(const CallPtr& call, std::uint32_t status, std::string_view reason) {
    call->m_fallback = {status, std::string(reason)};
    if (mayRelay(*call)) {
        relayToLeader(call);
    }
    answerIfDecided(call);
}

/**
 * Relays a request that this gateway may also complete. Handling a request twice is safe: the
 * second submission finds the accepted job, and cancelling is idempotent.
 */
void JobIntake::relayToLeader(const CallPtr& call) {
    call->m_relayState = Call::RelayState::SENT;
    IntakeRequest request = call->m_request;
    request.m_timeout = getTimeLeft(*call);
    m_relay->relay(request, request.m_timeout,
                   [this, call](const std::optional<IntakeAnswer>& relayed) {
                       call->m_relayState = Call::RelayState::FINISHED;
                       call->m_leaderAnswer = relayed;
                       answerIfDecided(call);
                   });
}

void JobIntake::answerIfDecided(const CallPtr& call) {
    if (call->m_isAnswered) {
        return;
    }
    const auto& relayed = call->m_leaderAnswer;
    if (relayed.has_value() && relayed->m_status == HTTP_OK) {
        answer(call, HTTP_OK, relayed->m_body, "answered by the leader");
        return;
    }
    if (!call->m_fallback.has_value() || call->m_relayState == Call::RelayState::SENT) {
        return;
    }
    const auto& [status, reason] = *call->m_fallback;
    if (call->m_relayState == Call::RelayState::NOT_SENT) {
        answer(call, status, "", reason);
    } else if (!relayed.has_value()) {
        // The leader may have accepted the job and crashed before it answered.
        const bool mayRun = call->m_request.m_method == "POST";
        answer(call, mayRun ? HTTP_TIMEOUT : status, "",
               reason + "; the leader did not answer either");
    } else if (status == HTTP_TIMEOUT && relayed->m_status != HTTP_GONE) {
        // A write of this gateway may have taken effect or may still do so. The job may therefore
        // run, for whatever reason the leader refuses it now (a key revoked since, for example).
        answer(call, status, "", reason + "; the leader refused the request");
    } else {
        answer(call, relayed->m_status, relayed->m_body, "answered by the leader");
    }
}

void JobIntake::answer(const CallPtr& call, std::uint32_t status, std::string body,
                       std::string_view reason) {
    if (std::exchange(call->m_isAnswered, true)) {
        // The request was sent to the store and to the leader, and the other answer came first.
        return;
    }
    IntakeAnswer answer;
    answer.m_status = status;
    answer.m_body = std::move(body);
    const bool isRouted = !call->m_policy.m_queue.empty();
    const QueuePolicy policy =
            isRouted ? call->m_policy : call->m_likelyPolicy.value_or(QueuePolicy());
    if (status == HTTP_UNAVAILABLE) {
        // During an outage no configuration can be confirmed. The local configuration suffices to
        // determine whether a caller is urgent.
        const bool isUrgent = !policy.m_queue.empty() && policy.m_priority == 0;
        const RefusedCaller caller{call->m_id, isUrgent, getTimeLeft(*call)};
        answer.m_retryAfter = std::max(call->m_minRetryDelay,
                                       m_retryAfterPolicy.getRetryDelay(caller, m_loop.now()));
    }
    answer.m_reason = reason;
    const auto age = m_configuration.getAge();
    logEvent(status == HTTP_OK ? Severity::INFO : Severity::WARNING, "intake", "answered",
             {{"job", call->m_id},
              {"method", call->m_request.m_method},
              {"status", std::to_string(status)},
              {"queue", policy.m_queue},
              {"priority", policy.m_queue.empty() ? "" : std::to_string(policy.m_priority)},
              {"organisation", call->m_organisation},
              {"configuration", std::to_string(m_configuration.getRevision())},
              {"age_ms", age.has_value() ? std::to_string(age->count()) : "-"},
              {"took_ms", std::to_string((m_loop.now() - call->m_startedAt).count())},
              {"retry_after_ms", std::to_string(answer.m_retryAfter.count())},
              {"reason", answer.m_reason}});
    call->m_done(answer);
}

}  // namespace pierbank
