// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKEADVISOR_H
#define PIERBANK_TEST_SUPPORT_FAKEADVISOR_H

#include <set>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Advisor.h"
#include "pierbank/job/WorkerIncarnation.h"

namespace pierbank::testing {

/** Allows the workers that a test names, with the ticket `ticket-ID`. */
class FakeAdvisor final : public Advisor {
public:
    explicit FakeAdvisor(EventLoop& loop) : m_loop(loop) {}

    void advise(const std::string& step, const std::vector<std::string>& incarnations,
                Millis timeout, std::function<void(const AdviceReply&)> done) override {
        constexpr Millis LATENCY{50};
        ++m_questions;
        m_mostAtOnce = std::max(m_mostAtOnce, ++m_open);
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
            --m_open;
            done(reply);
        });
    }

    std::set<std::string> m_allowed;
    bool m_isDown = false;
    std::size_t m_questions = 0;
    std::size_t m_mostAtOnce = 0;

private:
    EventLoop& m_loop;
    std::size_t m_open = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKEADVISOR_H
