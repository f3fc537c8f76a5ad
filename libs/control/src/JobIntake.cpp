// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobIntake.h"

#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/control/CertainCommit.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"

namespace pierbank {

namespace {

constexpr std::uint32_t OK = 200;
constexpr std::uint32_t BAD_REQUEST = 400;
constexpr std::uint32_t UNAUTHORIZED = 401;
constexpr std::uint32_t NOT_FOUND = 404;
constexpr std::uint32_t METHOD_NOT_ALLOWED = 405;
constexpr std::uint32_t GONE = 410;
constexpr std::uint32_t TOO_LARGE = 413;
constexpr std::uint32_t UNAVAILABLE = 503;
constexpr std::uint32_t OUTCOME_UNKNOWN = 504;

/** Callers come back after this time; the store is usually back within seconds. */
constexpr Millis RETRY_AFTER{1000};
/** With less time left a request is not passed on to another gateway. */
constexpr Millis LEAST_RELAY{100};
/** A job that meets so many changes of the configuration in a row is refused. */
constexpr std::uint32_t MAX_SUBMIT_TRIES = 5;

bool isJobId(std::string_view text) {
    constexpr std::size_t DIGITS = 16;
    return text.size() == DIGITS &&
           text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

/** Names the job in the log of a request whose queue is not known yet; empty when it names none. */
std::string getJobIdOf(std::string_view path) {
    const std::string_view last = path.substr(path.rfind('/') + 1);
    return isJobId(last) ? std::string(last) : std::string();
}

const StoreItem* findItem(const std::vector<StoreItem>& items, std::string_view key) {
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const StoreItem& item) { return item.m_key == key; });
    return found == items.end() ? nullptr : &*found;
}

}  // namespace

struct JobIntake::Call {
    IntakeRequest m_request;
    AnswerCallback m_done;
    Millis m_startedAt{0};
    /** Set by route(); before it only what the path seems to name, for the log. */
    std::string m_id;
    /** Set by route(). */
    QueuePolicy m_policy;
    std::string m_organisation;
    StoreRevision m_configurationRevision = 0;
    /** The configuration was confirmed by a read sent after the request came. */
    bool m_isConfirmed = false;
    std::uint32_t m_tries = 0;
};

JobIntake::JobIntake(RecordStore& store, EventLoop& loop, ConfigurationFeed& configuration,
                     const DocumentCodec& codec, IntakeSettings settings)
        : m_store(store),
          m_loop(loop),
          m_configuration(configuration),
          m_codec(codec),
          m_settings(settings) {}

JobIntake::~JobIntake() = default;

void JobIntake::handle(IntakeRequest request, AnswerCallback done) {
    const auto call = std::make_shared<Call>();
    call->m_request = std::move(request);
    call->m_done = std::move(done);
    call->m_startedAt = m_loop.now();
    call->m_id = getJobIdOf(call->m_request.m_path);
    const auto age = m_configuration.getAge();
    if (age.has_value() && *age <= m_settings.m_maxConfigurationAge) {
        route(call);
        return;
    }
    if (m_configuration.isLost() || mayRelay(*call)) {
        answerUnavailable(call, "the store does not answer this gateway");
        return;
    }
    m_configuration.confirm([this, call](bool isGood) {
        call->m_isConfirmed = isGood;
        if (!isGood || m_configuration.get() == nullptr) {
            answerUnavailable(call, "the configuration can't be confirmed");
            return;
        }
        route(call);
    });
}

Millis JobIntake::getTimeLeft(const Call& call) const {
    const Millis passed = m_loop.now() - call.m_startedAt;
    return call.m_request.m_patience - m_settings.m_answerMargin - passed;
}

void JobIntake::route(const CallPtr& call) {
    const QueueConfiguration& configuration = *m_configuration.get();
    const IntakeRequest& request = call->m_request;
    const QueueRoute* const route = configuration.findRoute(request.m_host, request.m_path);
    if (route == nullptr) {
        refuse(call, NOT_FOUND, "no queue has this host and path");
        return;
    }
    const auto organisation = configuration.m_organisationsByKey.find(request.m_key);
    const bool isKnown = organisation != configuration.m_organisationsByKey.end();
    if (!isKnown && !route->m_isOpen) {
        refuse(call, UNAUTHORIZED, "the key is not known");
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
    m_configuration.confirm([this, call](bool isGood) {
        if (!isGood) {
            answerUnavailable(call, "the configuration can't be confirmed");
            return;
        }
        call->m_isConfirmed = true;
        route(call);
    });
}

void JobIntake::dispatch(const CallPtr& call) {
    const std::string& method = call->m_request.m_method;
    if (call->m_id.empty() && method == "GET") {
        countPending(call);
    } else if (!isJobId(call->m_id)) {
        answer(call, BAD_REQUEST, "", "the path does not end in a job id of 16 hex digits");
    } else if (method == "POST") {
        submit(call);
    } else if (method == "GET") {
        readState(call);
    } else if (method == "DELETE") {
        cancel(call);
    } else {
        answer(call, METHOD_NOT_ALLOWED, "", "only POST, GET and DELETE are known");
    }
}

void JobIntake::submit(const CallPtr& call) {
    if (call->m_request.m_body.size() > m_configuration.get()->m_maxBodyBytes) {
        answer(call, TOO_LARGE, "", "the body is over the configured limit");
        return;
    }
    Findings findings;
    auto spec = m_codec.readJob(call->m_request.m_body, findings);
    if (!spec.has_value()) {
        answer(call, BAD_REQUEST, findings.toText(), "the body is no job");
        return;
    }
    JobRecord record;
    record.m_id = call->m_id;
    record.m_organisation = call->m_organisation;
    record.m_policy = call->m_policy;
    record.m_acceptedAt = m_loop.wallNow();
    record.m_spec = std::move(*spec);
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(CONFIGURATION_KEY), call->m_configurationRevision},
                                {getJobKey(call->m_id), 0},
                                {getRunKey(call->m_id), 0}};
    transaction.m_puts = {{getJobKey(call->m_id), encodeJobRecord(record), 0}};
    CommitPatience patience;
    patience.m_limit = std::clamp(getTimeLeft(*call), Millis(1), m_settings.m_commitPatience);
    CertainCommit::run(m_store, m_loop, std::move(transaction), patience, m_isAlive,
                       [this, call](const StoreCommit& commit) { handleSubmitted(call, commit); });
}

void JobIntake::handleSubmitted(const CallPtr& call, const StoreCommit& commit) {
    switch (commit.m_status) {
        case StoreStatus::OK:
            m_onWritten(getJobKey(call->m_id));
            answer(call, OK, "", "accepted at revision " + std::to_string(commit.m_revision));
            return;
        case StoreStatus::CONFLICT:
            break;
        case StoreStatus::UNKNOWN:
            relayOr(call, OUTCOME_UNKNOWN, "the store did not say whether it was taken");
            return;
        default:
            answerUnavailable(call, "the store refused: " + commit.m_reason);
            return;
    }
    const StoreItem* const record = findItem(commit.m_items, getJobKey(call->m_id));
    const StoreItem* const run = findItem(commit.m_items, getRunKey(call->m_id));
    if ((record != nullptr && record->m_revision != 0) ||
        (run != nullptr && run->m_revision != 0)) {
        answer(call, OK, "", "accepted earlier");
        return;
    }
    if (++call->m_tries >= MAX_SUBMIT_TRIES || getTimeLeft(*call) <= Millis(0)) {
        answerUnavailable(call, "the configuration keeps changing");
        return;
    }
    m_configuration.confirm([this, call](bool isGood) {
        if (!isGood) {
            answerUnavailable(call, "the configuration can't be confirmed");
            return;
        }
        call->m_isConfirmed = true;
        route(call);
    });
}

void JobIntake::readState(const CallPtr& call) {
    m_store.read(getRunKey(call->m_id), [this, call,
                                         alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
        if (alive.expired()) {
            return;
        }
        if (read.m_status == StoreStatus::NOT_FOUND) {
            readRecord(call, false);
            return;
        }
        const auto run =
                read.m_status == StoreStatus::OK ? decodeJobRun(read.m_item.m_value) : std::nullopt;
        if (!run.has_value()) {
            answerUnavailable(call, "the job's state can't be read");
            return;
        }
        answer(call, OK, m_codec.writePhase(run->m_phase), run->m_why);
    });
}

/** A record goes as its job ends; so an absent one is looked for twice, with the run between. */
void JobIntake::readRecord(const CallPtr& call, bool isSecond) {
    const std::string key = isSecond ? getRunKey(call->m_id) : getJobKey(call->m_id);
    m_store.read(key,
                 [this, call, isSecond, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
                     if (alive.expired()) {
                         return;
                     }
                     if (read.m_status == StoreStatus::NOT_FOUND) {
                         if (isSecond) {
                             answer(call, GONE, "", "there is no such job");
                         } else {
                             readRecord(call, true);
                         }
                         return;
                     }
                     if (read.m_status != StoreStatus::OK) {
                         answerUnavailable(call, "the job's state can't be read");
                         return;
                     }
                     const auto run = isSecond ? decodeJobRun(read.m_item.m_value) : std::nullopt;
                     const JobPhase phase = run.has_value() ? run->m_phase : JobPhase::PENDING;
                     answer(call, OK, m_codec.writePhase(phase), "read from the store");
                 });
}

void JobIntake::cancel(const CallPtr& call) {
    m_store.read(getRunKey(call->m_id),
                 [this, call, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
                     if (alive.expired()) {
                         return;
                     }
                     const bool isAbsent = read.m_status == StoreStatus::NOT_FOUND;
                     if (read.m_status != StoreStatus::OK && !isAbsent) {
                         answerUnavailable(call, "the job's state can't be read");
                         return;
                     }
                     const auto run = isAbsent ? std::nullopt : decodeJobRun(read.m_item.m_value);
                     if (run.has_value() && run->isOver()) {
                         answer(call, OK, "", "the job was over already");
                         return;
                     }
                     cancelRecord(call, run.has_value());
                 });
}

void JobIntake::cancelRecord(const CallPtr& call, bool isSecond) {
    m_store.read(getJobKey(call->m_id),
                 [this, call, isSecond, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
                     if (alive.expired()) {
                         return;
                     }
                     if (read.m_status == StoreStatus::OK) {
                         putCancel(call, read.m_item);
                     } else if (read.m_status != StoreStatus::NOT_FOUND) {
                         answerUnavailable(call, "the job can't be read");
                     } else if (isSecond) {
                         // It was there a moment ago: it has just ended.
                         answer(call, OK, "", "the job is over");
                     } else {
                         answer(call, GONE, "", "there is no such job");
                     }
                 });
}

void JobIntake::putCancel(const CallPtr& call, const StoreItem& record) {
    StoreTransaction transaction;
    transaction.m_conditions = {{record.m_key, record.m_revision}};
    transaction.m_puts = {{getCancelKey(call->m_id), call->m_organisation, 0}};
    CommitPatience patience;
    patience.m_limit = std::max(getTimeLeft(*call), Millis(1));
    CertainCommit::run(m_store, m_loop, std::move(transaction), patience, m_isAlive,
                       [this, call](const StoreCommit& commit) {
                           if (commit.m_status == StoreStatus::OK) {
                               m_onWritten(getCancelKey(call->m_id));
                               answer(call, OK, "", "withdrawn");
                           } else if (commit.m_status == StoreStatus::CONFLICT) {
                               answer(call, OK, "", "the job has just ended");
                           } else if (commit.m_status == StoreStatus::UNKNOWN) {
                               relayOr(call, OUTCOME_UNKNOWN, "the store did not say");
                           } else {
                               answerUnavailable(call, "the store refused: " + commit.m_reason);
                           }
                       });
}

void JobIntake::countPending(const CallPtr& call) {
    if (m_hasPending && m_loop.now() - m_pendingAt <= m_settings.m_pendingAge) {
        answer(call, OK, m_codec.writePending(m_pending[call->m_policy.m_queue]), "counted");
        return;
    }
    m_pendingCalls.push_back(call);
    if (m_pendingCalls.size() == 1) {
        refreshPending();
    }
}

/** Accepted jobs without a begun run, of both prefixes; a job that begins between is counted. */
void JobIntake::refreshPending() {
    const Millis at = m_loop.now();
    m_store.list(JOB_PREFIX, [this, at, alive = std::weak_ptr(m_isAlive)](const StoreList& jobs) {
        if (alive.expired()) {
            return;
        }
        if (jobs.m_status != StoreStatus::OK) {
            finishPending(false);
            return;
        }
        std::map<std::string, std::string> queues;
        for (const StoreItem& item : jobs.m_items) {
            const auto record = decodeJobRecord(item.m_value);
            if (record.has_value() && !record->m_spec.isTimed()) {
                queues[record->m_id] = record->m_policy.m_queue;
            }
        }
        m_store.list(RUN_PREFIX,
                     [this, at, queues = std::move(queues), alive](const StoreList& runs) mutable {
                         if (alive.expired()) {
                             return;
                         }
                         for (const StoreItem& item : runs.m_items) {
                             const auto run = decodeJobRun(item.m_value);
                             if (run.has_value() && (run->m_hasBegun || run->isOver())) {
                                 queues.erase(item.m_key.substr(RUN_PREFIX.size()));
                             }
                         }
                         m_pending.clear();
                         for (const auto& [id, queue] : queues) {
                             ++m_pending[queue];
                         }
                         m_pendingAt = at;
                         m_hasPending = runs.m_status == StoreStatus::OK;
                         finishPending(m_hasPending);
                     });
    });
}

void JobIntake::finishPending(bool isGood) {
    for (const CallPtr& call : std::exchange(m_pendingCalls, {})) {
        if (isGood) {
            answer(call, OK, m_codec.writePending(m_pending[call->m_policy.m_queue]), "counted");
        } else {
            answerUnavailable(call, "the jobs can't be listed");
        }
    }
}

void JobIntake::answerUnavailable(const CallPtr& call, std::string_view reason) {
    relayOr(call, UNAVAILABLE, reason);
}

bool JobIntake::mayRelay(const Call& call) const {
    return m_relay != nullptr && m_relay->isUsable() && !call.m_request.m_isRelayed &&
           getTimeLeft(call) > LEAST_RELAY;
}

/** Asking again is safe: a job that was taken is found to be there, and a withdrawal is one. */
void JobIntake::relayOr(const CallPtr& call, std::uint32_t status, std::string_view reason) {
    if (!mayRelay(*call)) {
        answer(call, status, "", reason);
        return;
    }
    IntakeRequest request = call->m_request;
    request.m_patience = getTimeLeft(*call);
    call->m_request.m_isRelayed = true;
    m_relay->relay(request, request.m_patience,
                   [this, call, status,
                    reason = std::string(reason)](const std::optional<IntakeAnswer>& relayed) {
                       if (!relayed.has_value()) {
                           // The other gateway may have taken it and died.
                           const bool mayRun = call->m_request.m_method == "POST";
                           answer(call, mayRun ? OUTCOME_UNKNOWN : status, "",
                                  reason + "; the leader did not answer either");
                           return;
                       }
                       const bool isRefusal = relayed->m_status == UNAVAILABLE;
                       if (isRefusal && status == OUTCOME_UNKNOWN) {
                           // The leader did not take it, but an own write may be under way.
                           answer(call, status, "", reason + "; the leader refused it");
                           return;
                       }
                       answer(call, relayed->m_status, relayed->m_body, "answered by the leader");
                   });
}

void JobIntake::answer(const CallPtr& call, std::uint32_t status, std::string body,
                       std::string_view reason) {
    IntakeAnswer answer;
    answer.m_status = status;
    answer.m_body = std::move(body);
    answer.m_retryAfter = status == UNAVAILABLE ? RETRY_AFTER : Millis(0);
    answer.m_reason = reason;
    const auto age = m_configuration.getAge();
    logEvent(status == OK ? Severity::INFO : Severity::WARNING, "intake", "answered",
             {{"job", call->m_id},
              {"method", call->m_request.m_method},
              {"status", std::to_string(status)},
              {"queue", call->m_policy.m_queue},
              {"organisation", call->m_organisation},
              {"configuration", std::to_string(m_configuration.getRevision())},
              {"age_ms", age.has_value() ? std::to_string(age->count()) : "-"},
              {"took_ms", std::to_string((m_loop.now() - call->m_startedAt).count())},
              {"reason", answer.m_reason}});
    call->m_done(answer);
}

}  // namespace pierbank
