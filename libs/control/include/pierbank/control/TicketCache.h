// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_TICKETCACHE_H
#define PIERBANK_CONTROL_TICKETCACHE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Advisor.h"
#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** A step of one occurrence of a job. */
struct StepKey {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    /** Returns the key as `JOB.OCCURRENCE.STEP`. */
    std::string toText() const;
    auto operator<=>(const StepKey&) const = default;
};

/** A step that needs tickets, according to the last plan. */
struct TicketRequest {
    StepKey m_step;
    /** Priority of the step; 0 is the most urgent. */
    std::uint32_t m_priority = 0;
    AdvicePolicy m_policy;
    /** Incarnations of the workers that could run the step. */
    std::vector<std::string> m_incarnations;
};

/** Settings of the TicketCache. */
struct TicketCacheSettings {
    /**
     * Maximum number of workers in one query. Each worker adds to the answer time, and according to
     * the platform's contract a step rarely needs more.
     */
    std::size_t m_maxBatchSize = 30;
    /** Tickets that expire sooner than this are not used. */
    Millis m_minValidity{500};
    /** Delay after a failed query. */
    Millis m_retryDelay{300};
    /** Added to the answer time that the policy states, to obtain the timeout of a query. */
    Millis m_timeoutMargin{1000};
};

/**
 * Caches the placement tickets of the leader. Tickets are queried before capacity is free, with one
 * query at a time: steps of higher priority first, and among equal priorities the steps with the
 * fewest queries. The set of workers that may run a step never changes, but tickets expire and are
 * valid for one incarnation of a worker only.
 *
 * Used on the event loop only.
 */
class TicketCache {
public:
    /** The references must outlive the cache. */
    TicketCache(EventLoop& loop, Advisor& advisor, TicketCacheSettings settings = {})
            : m_loop(loop), m_advisor(advisor), m_settings(settings) {}
    TicketCache(const TicketCache&) = delete;
    TicketCache& operator=(const TicketCache&) = delete;

    /** Sets the callback that is invoked after each successful query. */
    void onTicketsChanged(std::function<void()> callback) {
        m_onTicketsChanged = std::move(callback);
    }

    /** Replaces all requests. The tickets of steps that are no longer requested are discarded. */
    void setRequests(const std::vector<TicketRequest>& requests);
    /** Returns the workers with usable tickets, for each step of a job. */
    AdvisedWorkers getAdvisedWorkers(const std::string& job) const;
    /**
     * Returns the ticket for a start on a worker; empty if there is none that is valid for long
     * enough.
     */
    std::string getTicket(const StepKey& step, const std::string& incarnation) const;
    /**
     * Discards a ticket that a worker refused. The ticket is queried again if the step is still
     * requested.
     */
    void dropTicket(const StepKey& step, const std::string& incarnation);
    /** Discards all requests and tickets, and ignores pending answers. */
    void clear();

private:
    /** Answer of the advisor for one worker. */
    struct Answer {
        /** Empty if the worker may not run the step. */
        std::string m_ticket;
        /** Expiry time of the ticket on the clock of the loop. */
        Millis m_until{0};
    };
    struct Step {
        TicketRequest m_request;
        /** Number of queries that were sent for the step. */
        std::uint32_t m_queryCount = 0;
        /** Answers by incarnation of the worker. */
        std::map<std::string, Answer> m_answers;
    };

    bool mustQuery(const Step& step, const std::string& incarnation) const;
    std::vector<std::string> listToQuery(const Step& step) const;
    void sendNextQuery();
    void sendQuery(const StepKey& key, Step& step, std::vector<std::string> incarnations);
    void handleReply(const StepKey& key, const std::vector<std::string>& incarnations,
                     Millis sentAt, const AdviceReply& reply);

    EventLoop& m_loop;
    Advisor& m_advisor;
    const TicketCacheSettings m_settings;
    std::function<void()> m_onTicketsChanged = [] {
    };
    std::map<StepKey, Step> m_steps;
    bool m_isQuerying = false;
    /** Replaced by clear(), so that answers to earlier queries are ignored. */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TICKETCACHE_H
