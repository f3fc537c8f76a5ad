// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_KEYVALUESERVICE_H
#define PIERBANK_PLATFORM_KEYVALUESERVICE_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** How a call of the key-value service ended. */
enum class KeyValueStatus {
    OK,
    /** The expected revision or lease is not the current one; surely nothing was changed. */
    CONFLICT,
    NOT_FOUND,
    /** The service was not reached or refused the call; surely nothing was changed. */
    UNAVAILABLE,
    /** The answer was lost: a write may or may not have taken effect. */
    UNKNOWN,
    /** The value is over the service's limit; nothing was changed. */
    TOO_LARGE,
};

/** The service's counter of changes of one key; zero means that the key is absent. */
using Revision = std::uint64_t;

/** Names a lease of the service. A key written under a lease goes when the lease lapses. */
enum class KeyValueLease : std::uint64_t { NONE = 0 };

/** Outcome of a call. Revision and value are set by reads that found the key. */
struct KeyValueReply {
    KeyValueStatus m_status = KeyValueStatus::UNKNOWN;
    Revision m_revision = 0;
    std::string m_value;
};

/** Outcome of granting or renewing a lease. */
struct KeyValueLeaseReply {
    KeyValueStatus m_status = KeyValueStatus::UNKNOWN;
    KeyValueLease m_lease = KeyValueLease::NONE;
};

/** Outcome of listing keys. */
struct KeyValueListReply {
    KeyValueStatus m_status = KeyValueStatus::UNKNOWN;
    std::vector<std::string> m_keys;
};

/**
 * The platform's key-value service, the only place where anything lasts. Each call, and each
 * waiting watch, counts towards its rates. Every callback is called exactly once, on the loop,
 * never from inside the call.
 */
class KeyValueService {
public:
    using ReplyCallback = std::function<void(const KeyValueReply&)>;
    using LeaseCallback = std::function<void(const KeyValueLeaseReply&)>;
    using ListCallback = std::function<void(const KeyValueListReply&)>;

    /** The service's limit for one value, in bytes (brief). */
    static constexpr std::size_t MAX_VALUE_BYTES = 1U << 20U;

    virtual ~KeyValueService() = default;

    virtual void get(std::string_view key, ReplyCallback done) = 0;

    /**
     * Writes `value` if the key's revision is `expected` (zero: if it is absent).
     * On OK the reply holds the new revision.
     */
    virtual void compareAndSwap(std::string_view key, Revision expected, std::string_view value,
                                KeyValueLease lease, ReplyCallback done) = 0;

    /** Deletes the key if its revision is `expected`. */
    virtual void erase(std::string_view key, Revision expected, ReplyCallback done) = 0;

    virtual void list(std::string_view prefix, ListCallback done) = 0;

    virtual void grantLease(Millis timeToLive, LeaseCallback done) = 0;

    /** NOT_FOUND when the lease has lapsed. */
    virtual void renewLease(KeyValueLease lease, LeaseCallback done) = 0;

    /**
     * Waits until the key's revision differs from `known`, or about `wait`; then replies as get()
     * does. Watches may break silently: callers also poll.
     */
    virtual void watch(std::string_view key, Revision known, Millis wait, ReplyCallback done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_KEYVALUESERVICE_H
