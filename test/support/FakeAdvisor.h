// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKEADVISOR_H
#define PIERBANK_TEST_SUPPORT_FAKEADVISOR_H

#include <set>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Advisor.h"
#include "pierbank/job/WorkerIncarnation.h"

namespace pierbank::testing {

/**
 * Placement advice of a test: grants the ticket `ticket-ID` to each worker whose id is in
 * m_allowed, after a fixed latency.
 */
class FakeAdvisor final : public Advisor {
public:
    explicit FakeAdvisor(EventLoop& loop) : m_loop(loop) {}

    void advise(const std::string& step, const std::vector<std::string>& incarnations,
                Millis timeout, std::function<void(const AdviceReply&)> done) override {
        constexpr Millis LATENCY{50};
        ++m_requestCount;
        m_maxPendingRequests = std::max(m_maxPendingRequests, ++m_pendingCount);
        AdviceReply reply;
        reply.m_isComplete = !m_isDown;
        for (const std::string& incarnation : incarnations) {
            const std::string id(parseWorkerId(incarnation));
            if (m_allowed.count(id) != 0) {
                reply.m_workers.push_back({incarnation, "ticket-" + id});
            }
        }
        static_cast<void>(step);
        m_loop.callLater(m_isDown ? timeout : LATENCY, [this, reply, done = std::move(done)] {
            --m_pendingCount;
            done(reply);
        });
    }

    /** Ids of the workers that get a ticket. */
    std::set<std::string> m_allowed;
    /** Whether the service is down: each call fails when its timeout ends. */
    bool m_isDown = false;
    /** Number of calls so far. */
    std::size_t m_requestCount = 0;
    /** Largest number of calls that were unanswered at the same time. */
    std::size_t m_maxPendingRequests = 0;

private:
    EventLoop& m_loop;
    std::size_t m_pendingCount = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKEADVISOR_H
