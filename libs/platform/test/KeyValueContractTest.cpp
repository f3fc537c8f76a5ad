// SPDX-License-Identifier: Apache-2.0
// What every KeyValueService must do: the HTTP adapter against the stand-in, over real sockets.
#include <gtest/gtest.h>

#include "GlibFixture.h"
#include "pierbank/platform/HttpKeyValueService.h"
#include "StandinServers.h"

namespace pierbank::testing {
namespace {

class KeyValueContractTest : public GlibFixture {
protected:
    void SetUp() override {
        m_address = listen(m_server);
        m_service = std::make_unique<HttpKeyValueService>(m_client, m_address, Millis(500));
    }

    KeyValueReply swap(const std::string& key, Revision expected, const std::string& value,
                       KeyValueLease lease = KeyValueLease::NONE) {
        return wait(
                [&](auto done) { m_service->compareAndSwap(key, expected, value, lease, done); });
    }

    KeyValueReply get(const std::string& key) {
        return wait([&](auto done) { m_service->get(key, done); });
    }

    KeyValueReply wait(const std::function<void(KeyValueService::ReplyCallback)>& call) {
        KeyValueReply reply;
        call([&](const KeyValueReply& r) {
            reply = r;
            m_loop.quit();
        });
        run();
        return reply;
    }

    void setFault(const std::string& mode) {
        HttpCall call;
        call.m_method = "POST";
        call.m_address = m_address;
        call.m_target = "/fault?mode=" + mode;
        m_client.send(call, [this](const HttpResult&) { m_loop.quit(); });
        run();
    }

    HttpClient m_client;
    standin::KeyValueServer m_server{m_loop};
    Address m_address;
    std::unique_ptr<HttpKeyValueService> m_service;
};

TEST_F(KeyValueContractTest, OnlyTheExpectedRevisionIsReplaced) {
    EXPECT_EQ(get("a").m_status, KeyValueStatus::NOT_FOUND);
    const KeyValueReply first = swap("a", 0, "one");
    EXPECT_EQ(first.m_status, KeyValueStatus::OK);
    EXPECT_EQ(swap("a", 0, "two").m_status, KeyValueStatus::CONFLICT);
    EXPECT_EQ(swap("a", first.m_revision, "two").m_status, KeyValueStatus::OK);
    EXPECT_EQ(get("a").m_value, "two");
}

TEST_F(KeyValueContractTest, ValuesAreBytes) {
    std::string bytes;
    for (int i = 0; i < 1024; ++i) {
        bytes += static_cast<char>(i % 256);
    }
    ASSERT_EQ(swap("config/current", 0, bytes).m_status, KeyValueStatus::OK);
    EXPECT_EQ(get("config/current").m_value, bytes);
}

TEST_F(KeyValueContractTest, ValuesOverTheLimitAreRefused) {
    const std::string large(KeyValueService::MAX_VALUE_BYTES + 1, 'x');
    EXPECT_EQ(swap("a", 0, large).m_status, KeyValueStatus::TOO_LARGE);
    EXPECT_EQ(get("a").m_status, KeyValueStatus::NOT_FOUND);
}

TEST_F(KeyValueContractTest, KeysGoWithTheirLease) {
    KeyValueLeaseReply lease;
    m_service->grantLease(Millis(50), [&](const KeyValueLeaseReply& r) {
        lease = r;
        m_loop.quit();
    });
    run();
    ASSERT_EQ(swap("leader/north", 0, "me", lease.m_lease).m_status, KeyValueStatus::OK);
    // The watch answers when the key has gone.
    const Revision revision = get("leader/north").m_revision;
    m_loop.callLater(Millis(60), [this] { m_service->get("x", [](const KeyValueReply&) {}); });
    const KeyValueReply gone = wait(
            [&](auto done) { m_service->watch("leader/north", revision, Millis(5000), done); });
    EXPECT_EQ(gone.m_status, KeyValueStatus::NOT_FOUND);
    m_service->renewLease(lease.m_lease, [&](const KeyValueLeaseReply& r) {
        lease = r;
        m_loop.quit();
    });
    run();
    EXPECT_EQ(lease.m_status, KeyValueStatus::NOT_FOUND);
}

TEST_F(KeyValueContractTest, AWatchTellsOfAChange) {
    const Revision revision = swap("a", 0, "one").m_revision;
    m_loop.post([this, revision] {
        m_service->compareAndSwap("a", revision, "two", KeyValueLease::NONE,
                                  [](const KeyValueReply&) {});
    });
    const KeyValueReply changed =
            wait([&](auto done) { m_service->watch("a", revision, Millis(5000), done); });
    EXPECT_EQ(changed.m_value, "two");
}

TEST_F(KeyValueContractTest, DownIsSurelyNothingAndSilenceIsUnknown) {
    setFault("down");
    EXPECT_EQ(swap("a", 0, "one").m_status, KeyValueStatus::UNAVAILABLE);
    setFault("silent");
    EXPECT_EQ(swap("a", 0, "one").m_status, KeyValueStatus::UNKNOWN);
    setFault("up");
    EXPECT_EQ(get("a").m_value, "one");
    HttpKeyValueService nowhere(m_client, Address{"127.0.0.1", 1}, Millis(500));
    EXPECT_EQ(wait([&](auto done) { nowhere.get("a", done); }).m_status,
              KeyValueStatus::UNAVAILABLE);
}

}  // namespace
}  // namespace pierbank::testing
