// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeaderLink.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "ManualEventLoop.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr Millis TIMEOUT{3000};

/** The gateway's end of a link; the test plays the leader at the other end. */
class LeaderEnd final : public Link {
public:
    void setCallbacks(FrameCallback onFrame, CloseCallback onClose) override {
        m_onFrame = std::move(onFrame);
        m_onClose = std::move(onClose);
    }
    bool send(const Frame& frame) override {
        m_sent.push_back(frame);
        return true;
    }
    void close() override {}

    /** Returns the number of the last request that the gateway relayed. */
    std::uint64_t getLastRelay() const {
        std::uint64_t number = 0;
        for (const Frame& frame : m_sent) {
            if (const auto* const request = std::get_if<RelayedRequest>(&frame)) {
                number = request->m_number;
            }
        }
        return number;
    }

    FrameCallback m_onFrame;
    CloseCallback m_onClose;
    std::vector<Frame> m_sent;
};

/** One process of a gateway. */
class GatewayProcess {
public:
    explicit GatewayProcess(EventLoop& loop)
            : m_candidacy(LeadershipCandidacySettings(), Random(1)), m_link(loop, m_candidacy) {}

    std::shared_ptr<LeaderEnd> linkWith(std::uint64_t epoch, std::uint64_t number) {
        auto end = std::make_shared<LeaderEnd>();
        m_link.handleLink(end);
        end->m_onFrame(LeaderHello{epoch, "leader", number});
        return end;
    }

    /** Relays a request; its answers are added to `answers`. */
    void relay(std::vector<std::uint32_t>& answers) {
        m_link.relay(RelayedRequest(), TIMEOUT, [&answers](const RelayedAnswer& answer) {
            answers.push_back(answer.m_status);
        });
    }

    LeadershipCandidacy m_candidacy;
    LeaderLink m_link;
};

class GatewayBehindALeaderLink : public ::testing::Test {
protected:
    ManualEventLoop m_loop;
    GatewayProcess m_former{m_loop};
    GatewayProcess m_present{m_loop};
    std::vector<std::uint32_t> m_formerAnswers;
    std::vector<std::uint32_t> m_answers;
};

}  // namespace

/**
 * Guards against a caller being told the answer to another caller of the gateway's former process:
 * leaders of earlier versions send an answer over whatever link to the address is open.
 */
TEST_F(GatewayBehindALeaderLink, PassesOnNoAnswerToARequestOfTheFormerProcess) {
    const auto formerLink = m_former.linkWith(9, 2);
    m_former.relay(m_formerAnswers);
    const auto link = m_present.linkWith(9, 3);
    m_present.relay(m_answers);
    link->m_onFrame(RelayedAnswer{formerLink->getLastRelay(), 200, "of the former process"});
    EXPECT_TRUE(m_answers.empty());
    EXPECT_EQ(m_present.m_link.getStatistics().m_unmatchedAnswers, 1U);
    link->m_onFrame(RelayedAnswer{link->getLastRelay(), 410, ""});
    EXPECT_EQ(m_answers, std::vector<std::uint32_t>{410});
}

/** Two processes never use the same number, however many requests and links each of them had. */
TEST_F(GatewayBehindALeaderLink, NumbersNoRequestLikeOneOfAnEarlierLink) {
    std::set<std::uint64_t> numbers;
    std::size_t requests = 0;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        GatewayProcess process(m_loop);
        const auto link = process.linkWith(9, number);
        for (std::uint64_t i = 0; i < 1 + number % 5; ++i) {
            process.relay(m_answers);
            numbers.insert(link->getLastRelay());
            ++requests;
        }
    }
    EXPECT_EQ(numbers.size(), requests);
}

TEST_F(GatewayBehindALeaderLink, GivesUpARequestWhoseLinkIsReplacedOrEnds) {
    m_present.linkWith(9, 1);
    m_present.relay(m_answers);
    const auto next = m_present.linkWith(10, 1);
    EXPECT_EQ(m_answers, std::vector<std::uint32_t>{0});
    m_present.relay(m_answers);
    next->m_onClose();
    EXPECT_EQ(m_answers, (std::vector<std::uint32_t>{0, 0}));
    EXPECT_EQ(m_present.m_link.getStatistics().m_lostWithLink, 2U);
}

/** Without a number of the link, an answer can't be told from one to the former process. */
TEST_F(GatewayBehindALeaderLink, RelaysNothingOverALinkWithoutANumber) {
    const auto link = m_present.linkWith(9, 0);
    m_present.relay(m_answers);
    EXPECT_EQ(link->getLastRelay(), 0U);
    m_loop.advance(Millis(1));
    EXPECT_EQ(m_answers, std::vector<std::uint32_t>{0});
}

}  // namespace pierbank::testing
