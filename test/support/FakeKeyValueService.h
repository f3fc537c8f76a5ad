// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKEKEYVALUESERVICE_H
#define PIERBANK_TEST_SUPPORT_FAKEKEYVALUESERVICE_H

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "KeyValueStore.h"
#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/KeyValueService.h"

namespace pierbank::testing {

/** What happens to a call. */
enum class Fault {
    NONE,
    /** Refused at once; no effect. */
    DOWN,
    /** No effect, and no answer: the caller times out. */
    CALL_LOST,
    /** Takes effect, but the caller times out. */
    ANSWER_LOST,
    /** The caller times out, and only then it takes effect. */
    LATE_EFFECT,
};

/** One process's view of a KeyValueStore, with faults of its own. */
class FakeKeyValueService final : public KeyValueService {
public:
    /** @param loop of the process that calls. @param outside loop of the service itself. */
    FakeKeyValueService(EventLoop& loop, EventLoop& outside, standin::KeyValueStore& store)
            : m_loop(loop), m_outside(outside), m_store(store) {}
    ~FakeKeyValueService() override { *m_isAlive = false; }
    FakeKeyValueService(const FakeKeyValueService&) = delete;
    FakeKeyValueService& operator=(const FakeKeyValueService&) = delete;

    void get(std::string_view key, ReplyCallback done) override;
    void compareAndSwap(std::string_view key, Revision expected, std::string_view value,
                        KeyValueLease lease, ReplyCallback done) override;
    void erase(std::string_view key, Revision expected, ReplyCallback done) override;
    void list(std::string_view prefix, ListCallback done) override;
    void grantLease(Millis timeToLive, LeaseCallback done) override;
    void renewLease(KeyValueLease lease, LeaseCallback done) override;
    void watch(std::string_view key, Revision known, Millis wait, ReplyCallback done) override;

    /** Happens to every call until it is changed. */
    void setFault(Fault fault) { m_fault = fault; }
    /** Happens to the next writes, one after another; then `setFault()` counts again. */
    void failNextWrites(std::deque<Fault> faults) { m_nextWrites = std::move(faults); }
    void setLatency(Millis latency) { m_latency = latency; }
    std::uint64_t getCalls() const { return m_calls; }

    static constexpr Millis TIMEOUT{500};
    /** When the effect of a LATE_EFFECT call comes. */
    static constexpr Millis LATE{1200};

private:
    template <typename Reply>
    void call(Fault fault, std::function<Reply()> effect, std::function<void(const Reply&)> done);
    Fault takeWriteFault();

    EventLoop& m_loop;
    EventLoop& m_outside;
    standin::KeyValueStore& m_store;
    Fault m_fault = Fault::NONE;
    std::deque<Fault> m_nextWrites;
    Millis m_latency{2};
    std::uint64_t m_calls = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKEKEYVALUESERVICE_H
