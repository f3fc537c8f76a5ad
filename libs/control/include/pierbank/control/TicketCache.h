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

    std::string toText() const;
    auto operator<=>(const StepKey&) const = default;
};

/** A step that needs advice, as the last plan saw it. */
struct TicketRequest {
    StepKey m_step;
    std::uint32_t m_priority = 0;
    AdvicePolicy m_policy;
    /** Lives of the workers that could run it. */
    std::vector<std::string> m_incarnations;
};

struct TicketCacheSettings {
    /** Workers of one question: each costs time, and a step seldom needs more (users' rule). */
    std::size_t m_batch = 30;
    /** A ticket that is over sooner than this is not used any more. */
    Millis m_margin{500};
    /** Pause after a question that failed. */
    Millis m_pause{300};
    /** An answer is waited for this much longer than the policy says that it takes. */
    Millis m_patience{1000};
};

/**
 * The leader's advice: asks before room is free, one question at a time, urgent steps first and
 * of these the ones that were asked about least. Which workers may run a step never changes, but
 * tickets run out and hold for one life of a worker.
 */
class TicketCache {
public:
    /** The references must outlive the book. */
    TicketCache(EventLoop& loop, Advisor& advisor, TicketCacheSettings settings = {})
            : m_loop(loop), m_advisor(advisor), m_settings(settings) {}
    TicketCache(const TicketCache&) = delete;
    TicketCache& operator=(const TicketCache&) = delete;

    /** Called when an answer came. */
    void onTicketsChanged(std::function<void()> callback) {
        m_onTicketsChanged = std::move(callback);
    }

    /** Replaces all wishes; steps that are not named any more are forgotten. */
    void setRequests(const std::vector<TicketRequest>& wishes);
    /** The workers that hold good tickets for a job's steps. */
    AdvisedWorkers getAdvised(const std::string& job) const;
    /** The ticket for a start; empty when there is none. */
    std::string getTicket(const StepKey& step, const std::string& incarnation) const;
    /** A worker refused the ticket: it is asked for again. */
    void dropTicket(const StepKey& step, const std::string& incarnation);
    void clear();

private:
    struct Verdict {
        /** Empty: this worker may not run the step. */
        std::string m_ticket;
        Millis m_until{0};
    };
    struct Step {
        TicketRequest m_wish;
        std::uint32_t m_questions = 0;
        std::map<std::string, Verdict> m_verdicts;
    };

    bool isOpen(const Step& step, const std::string& incarnation) const;
    std::vector<std::string> listOpen(const Step& step) const;
    void pump();
    void ask(const StepKey& key, Step& step, std::vector<std::string> incarnations);
    void handleReply(const StepKey& key, const std::vector<std::string>& incarnations,
                     Millis askedAt, const AdviceReply& reply);

    EventLoop& m_loop;
    Advisor& m_advisor;
    const TicketCacheSettings m_settings;
    std::function<void()> m_onTicketsChanged = [] {
    };
    std::map<StepKey, Step> m_steps;
    bool m_isAsking = false;
    /** Replaced by clear(): answers of before are ignored. */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_TICKETCACHE_H
