// SPDX-License-Identifier: Apache-2.0
#include "pierbank/store/CountingStore.h"

#include <gtest/gtest.h>

#include "FakeRecordStore.h"
#include "ManualEventLoop.h"
#include "pierbank/base/Metrics.h"

namespace pierbank::testing {

class CountingStoreTest : public ::testing::Test {
protected:
    ManualEventLoop m_loop;
    FakeStoreState m_state{m_loop};
    FakeRecordStore m_store{m_state, m_loop, "gateway"};
    CountingStore m_counted{m_store};
};

TEST_F(CountingStoreTest, ForwardsCallsAndCountsThemByKindAndFamily) {
    StoreTransaction transaction;
    transaction.m_puts = {{"input/job/1", "v", 0}};
    bool isCommitted = false;
    m_counted.commit(transaction, Millis(1000), [&](const StoreCommit& commit) {
        isCommitted = commit.m_status == StoreStatus::OK;
    });
    m_loop.advance(Millis(10));
    std::string value;
    m_counted.read("input/job/1", [&](const StoreRead& read) { value = read.m_item.m_value; });
    m_counted.read("leader", [](const StoreRead&) {});
    m_counted.list("input/", [](const StoreList&) {});
    m_loop.advance(Millis(10));
    EXPECT_TRUE(isCommitted);
    EXPECT_EQ(value, "v");
    const CountingStore::Counts expected = {{{"commit", "input"}, 1},
                                            {{"list", "input"}, 1},
                                            {{"read", "input"}, 1},
                                            {{"read", "leader"}, 1}};
    EXPECT_EQ(m_counted.getCounts(), expected);
}

/**
 * Guards against a dangling view of the key: for a transaction that only removes, the family of a
 * long key was once read from freed memory.
 */
TEST_F(CountingStoreTest, CountsATransactionThatOnlyRemovesByTheRemovedKey) {
    StoreTransaction transaction;
    transaction.m_removals = {"input/gateway/127.0.0.1:7001/and-longer-than-a-short-string"};
    m_counted.commit(transaction, Millis(1000), [](const StoreCommit&) {});
    m_counted.commit(StoreTransaction(), Millis(1000), [](const StoreCommit&) {});
    const CountingStore::Counts expected = {{{"commit", ""}, 1}, {{"commit", "input"}, 1}};
    EXPECT_EQ(m_counted.getCounts(), expected);
}

TEST_F(CountingStoreTest, CountsAreExportedAsOneMetricWithLabels) {
    MetricsPage page;
    page.addCounters("calls_total", "calls", {{"kind=\"read\"", 3}, {"kind=\"list\"", 1}});
    EXPECT_NE(page.getText().find("calls_total{kind=\"read\"} 3\n"), std::string::npos);
    EXPECT_NE(page.getText().find("calls_total{kind=\"list\"} 1\n"), std::string::npos);
}

}  // namespace pierbank::testing
