// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_PLATFORM_CERTAINWRITER_H
#define PIERBANK_PLATFORM_CERTAINWRITER_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/KeyValueService.h"

namespace pierbank {

/** How a write ended. Each of them is certain. */
enum class WriteResult {
    COMMITTED,
    /** Someone else has written since; nothing of this write took effect, nor ever will. */
    SUPERSEDED,
    /** The service was down; nothing took effect, and the same base may be tried again. */
    UNAVAILABLE,
    /** The value is over the service's limit; nothing took effect. */
    TOO_LARGE,
};

/**
 * Writes one key by compare-and-swap, one write at a time, until the outcome is certain. After a
 * lost answer it reads the key: the write's mark in the value means committed; a changed revision
 * without it means superseded, for the write then can never take effect. An unchanged revision
 * means that the write may still be on its way: the same bytes are written again over the same
 * revision, of which exactly one can take effect. Nobody is told anything before it is known.
 */
class CertainWriter {
public:
    using WriteCallback = std::function<void(WriteResult)>;
    using ReadCallback = KeyValueService::ReplyCallback;
    /** Whether a value contains the write: its own, or a later one that builds on it. */
    using IsMine = std::function<bool(std::string_view value)>;

    /** The references must outlive the writer. */
    CertainWriter(KeyValueService& service, EventLoop& loop, std::string key);
    ~CertainWriter();
    CertainWriter(const CertainWriter&) = delete;
    CertainWriter& operator=(const CertainWriter&) = delete;

    /** Reads the key; the next write builds on the revision that was read. */
    void read(ReadCallback done);

    /** Writes over what was last read or written. Not while isBusy(). */
    void write(std::string bytes, IsMine isMine, WriteCallback done);

    /** Whether a write's fate is not yet known. */
    bool isBusy() const noexcept { return m_isBusy; }
    /** Whether an answer was lost and the key is being read to find out. */
    bool isUncertain() const noexcept { return m_isUncertain; }

    /** Forgets calls in flight: their callbacks are not called. */
    void abandon();

    /** Revision and size, in bytes, of the value last read or written. */
    Revision getRevision() const noexcept { return m_revision; }
    std::size_t getSize() const noexcept { return m_size; }

private:
    /** One write on its way. */
    struct Write {
        std::string m_bytes;
        IsMine m_isMine;
        WriteCallback m_done;
        Millis m_nextRetry{FIRST_RETRY};
    };
    using WritePtr = std::shared_ptr<Write>;

    void send(const WritePtr& write);
    void handleWritten(const WritePtr& write, const KeyValueReply& reply);
    void resolveLater(const WritePtr& write);
    void handleRead(const WritePtr& write, const KeyValueReply& reply);
    void finish(const WritePtr& write, WriteResult result);
    /** Wraps a callback so that it does nothing after abandon() or the writer's end. */
    ReadCallback guard(ReadCallback callback) const;

    static constexpr Millis FIRST_RETRY{50};
    static constexpr Millis LAST_RETRY{2000};

    KeyValueService& m_service;
    EventLoop& m_loop;
    const std::string m_key;
    Revision m_revision = 0;
    std::size_t m_size = 0;
    bool m_isBusy = false;
    bool m_isUncertain = false;
    /** Raised by abandon() and the destructor: older answers are not for us any more. */
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

}  // namespace pierbank

#endif  // PIERBANK_PLATFORM_CERTAINWRITER_H
