// SPDX-License-Identifier: Apache-2.0
#include "FakeKeyValueService.h"

namespace pierbank::testing {

template <typename Reply>
void FakeKeyValueService::call(Fault fault, std::function<Reply()> effect,
                               std::function<void(const Reply&)> done) {
    ++m_calls;
    Reply failed;
    switch (fault) {
        case Fault::NONE:
            // The service acts whether or not its caller is frozen or dead when it does.
            m_outside.callLater(m_latency / 2, [this, alive = m_isAlive, effect, done] {
                const Reply reply = effect();
                if (*alive) {
                    m_loop.callLater(m_latency / 2, [reply, done] { done(reply); });
                }
            });
            return;
        case Fault::DOWN:
            failed.m_status = KeyValueStatus::UNAVAILABLE;
            m_loop.callLater(m_latency, [failed, done] { done(failed); });
            return;
        case Fault::ANSWER_LOST:
            m_outside.callLater(m_latency, [effect] { effect(); });
            break;
        case Fault::LATE_EFFECT:
            m_outside.callLater(LATE, [effect] { effect(); });
            break;
        case Fault::CALL_LOST:
            break;
    }
    failed.m_status = KeyValueStatus::UNKNOWN;
    m_loop.callLater(TIMEOUT, [failed, done] { done(failed); });
}

Fault FakeKeyValueService::takeWriteFault() {
    if (m_nextWrites.empty()) {
        return m_fault;
    }
    const Fault fault = m_nextWrites.front();
    m_nextWrites.pop_front();
    return fault;
}

void FakeKeyValueService::get(std::string_view key, ReplyCallback done) {
    call<KeyValueReply>(
            m_fault, [&store = m_store, key = std::string(key)] { return store.get(key); },
            std::move(done));
}

void FakeKeyValueService::compareAndSwap(std::string_view key, Revision expected,
                                         std::string_view value, KeyValueLease lease,
                                         ReplyCallback done) {
    call<KeyValueReply>(
            takeWriteFault(),
            [&store = m_store, key = std::string(key), expected, value = std::string(value),
             lease] { return store.compareAndSwap(key, expected, value, lease); },
            std::move(done));
}

void FakeKeyValueService::erase(std::string_view key, Revision expected, ReplyCallback done) {
    call<KeyValueReply>(
            m_fault,
            [&store = m_store, key = std::string(key), expected] {
                return store.erase(key, expected);
            },
            std::move(done));
}

void FakeKeyValueService::list(std::string_view prefix, ListCallback done) {
    call<KeyValueListReply>(
            m_fault,
            [&store = m_store, prefix = std::string(prefix)] {
                return KeyValueListReply{KeyValueStatus::OK, store.list(prefix)};
            },
            std::move(done));
}

void FakeKeyValueService::grantLease(Millis timeToLive, LeaseCallback done) {
    call<KeyValueLeaseReply>(
            m_fault, [&store = m_store, timeToLive] { return store.grantLease(timeToLive); },
            std::move(done));
}

void FakeKeyValueService::renewLease(KeyValueLease lease, LeaseCallback done) {
    call<KeyValueLeaseReply>(
            m_fault, [&store = m_store, lease] { return store.renewLease(lease); },
            std::move(done));
}

void FakeKeyValueService::watch(std::string_view key, Revision known, Millis wait,
                                ReplyCallback done) {
    ++m_calls;
    if (m_fault == Fault::DOWN) {
        KeyValueReply failed;
        failed.m_status = KeyValueStatus::UNAVAILABLE;
        m_loop.callLater(m_latency, [failed, done] { done(failed); });
        return;
    }
    const auto onChange = [this, alive = m_isAlive, done](const KeyValueReply& reply) {
        if (*alive) {
            m_loop.callLater(m_latency, [reply, done] { done(reply); });
        }
    };
    m_store.watch(std::string(key), known, wait, onChange);
}

}  // namespace pierbank::testing
