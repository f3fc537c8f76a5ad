// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/PendingOrders.h"

#include <gtest/gtest.h>

#include "FakeTaskWorker.h"
#include "ManualEventLoop.h"

namespace pierbank {
namespace {

using testing::FakeTaskWorker;
using testing::ManualEventLoop;
using testing::RunWitness;

const TaskKey TASK{"00000000000000a1", 0, 0, 0};

/** A context with a lease that tests can withhold. */
class FakeOrderContext final : public OrderContext {
public:
    explicit FakeOrderContext(const FakeTaskWorker& worker) : m_worker(worker) {}

    WorkerCall getCall() const override { return {m_worker.getId(), 1}; }
    std::optional<Millis> getStartLease() const override {
        return m_hasLease ? std::optional(m_worker.getClock() + Millis(4000)) : std::nullopt;
    }
    bool isListed(const TaskKey& task, std::uint32_t) const override {
        return m_worker.isRunning(task);
    }
    bool isEnded(const TaskKey&, std::uint32_t) const override { return m_isEnded; }
    bool areAllRunsListed() const override { return m_areAllRunsListed; }
    std::uint64_t pollAgain() override { return ++m_polls; }
    void recordSent(const TaskKey&, std::uint32_t) override { ++m_sent; }
    void recordStarted(const TaskKey&, std::uint32_t) override {}
    void recordRefused(const TaskKey&, std::uint32_t) override {}
    void reportAbsent(const TaskKey&, std::uint32_t, std::string_view reason) override {
        m_absent = reason;
    }

    bool m_hasLease = true;
    bool m_isEnded = false;
    bool m_areAllRunsListed = true;
    std::uint64_t m_polls = 0;
    std::size_t m_sent = 0;
    std::string m_absent;

private:
    const FakeTaskWorker& m_worker;
};

class PendingOrdersTest : public ::testing::Test {
protected:
    void start() {
        RunOrder order;
        order.m_incarnation = m_worker.getId();
        order.m_task = TASK.toText();
        order.m_run = 1;
        order.m_payload = "1000";
        m_pendingOrders.start(TASK, order);
        m_loop.advance(Millis(20));
    }

    void pollAfterStop() {
        m_loop.advance(Millis(100));
        m_pendingOrders.handlePoll(m_context.m_polls);
    }

    ManualEventLoop m_loop;
    RunWitness m_witness;
    FakeTaskWorker m_worker{m_loop, m_witness, "w"};
    FakeOrderContext m_context{m_worker};
    PendingOrders m_pendingOrders{m_loop, m_worker, m_context, PendingOrdersSettings()};
};

class AnOrderWithoutALease : public PendingOrdersTest {
protected:
    AnOrderWithoutALease() {
        m_context.m_hasLease = false;
        start();
    }
};

TEST_F(AnOrderWithoutALease, WaitsForALease) {
    m_loop.advance(Millis(1000));
    EXPECT_EQ(m_context.m_sent, 0U);
    m_context.m_hasLease = true;
    m_pendingOrders.sendWaitingStarts();
    m_loop.advance(Millis(20));
    EXPECT_TRUE(m_worker.isRunning(TASK));
}

/**
 * Guards against a fault in which an order waited without limit and was executed with the next
 * lease, however long after the decision of the leader. An order older than the limit must be
 * rejected.
 */
TEST_F(AnOrderWithoutALease, IsPreventedWhenTheLeaseComesTooLate) {
    m_loop.advance(Millis(2000));
    m_context.m_hasLease = true;
    m_pendingOrders.sendWaitingStarts();
    pollAfterStop();
    EXPECT_FALSE(m_worker.isRunning(TASK));
    EXPECT_EQ(m_context.m_sent, 0U);
    EXPECT_EQ(m_context.m_absent, "the order is too old");
}

/**
 * Guards against a fault in which the third attempt started the run a second time, in the next
 * process of the worker.
 */
TEST_F(PendingOrdersTest, AStartWhoseRunIsListedIsNotTriedAgain) {
    m_worker.m_startsToDelay = 2;
    m_worker.m_startDelay = Millis(100);
    start();
    m_loop.advance(Millis(200));
    ASSERT_TRUE(m_worker.isRunning(TASK));
    m_pendingOrders.handlePoll(++m_context.m_polls);
    m_loop.advance(Millis(3000));
    EXPECT_EQ(m_context.m_sent, 1U);
}

namespace {

/** A run that the worker neither starts nor lists, while its list of ends goes on. */
class ARefusedStartBesideACutList : public PendingOrdersTest {
protected:
    ARefusedStartBesideACutList() {
        m_worker.m_refusal = "old";
        m_context.m_areAllRunsListed = false;
        start();
        pollAfterStop();
    }
};

}  // namespace

/** Guards against a run that has ended and is taken for one that never started. */
TEST_F(ARefusedStartBesideACutList, IsNotReportedAsAbsent) {
    EXPECT_EQ(m_context.m_absent, "");
    m_context.m_isEnded = true;
    pollAfterStop();
    m_context.m_isEnded = false;
    m_context.m_areAllRunsListed = true;
    pollAfterStop();
    EXPECT_EQ(m_context.m_absent, "") << "its end was listed before";
}

TEST_F(ARefusedStartBesideACutList, IsReportedAsAbsentOnceAllRunsAreListed) {
    m_context.m_areAllRunsListed = true;
    pollAfterStop();
    EXPECT_EQ(m_context.m_absent, "old");
}

TEST_F(PendingOrdersTest, AStartWithoutAnAnswerIsTriedThreeTimesWithinTheMaximumAgeOfItsOrder) {
    m_worker.m_isSilent = true;
    start();
    for (int i = 0; i < 50; ++i) {
        m_loop.advance(Millis(100));
    }
    EXPECT_LE(m_context.m_sent, 3U);
    EXPECT_GE(m_context.m_sent, 1U);
}

}  // namespace
}  // namespace pierbank
