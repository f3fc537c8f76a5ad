// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/CertainWriter.h"

#include <algorithm>
#include <utility>

namespace pierbank {

CertainWriter::CertainWriter(KeyValueService& service, EventLoop& loop, std::string key)
        : m_service(service), m_loop(loop), m_key(std::move(key)) {}

CertainWriter::~CertainWriter() {
    abandon();
}

void CertainWriter::abandon() {
    ++*m_generation;
    m_isBusy = false;
    m_isUncertain = false;
}

CertainWriter::ReadCallback CertainWriter::guard(ReadCallback callback) const {
    return [generation = m_generation, mine = *m_generation,
            callback = std::move(callback)](const KeyValueReply& reply) {
        if (*generation == mine) {
            callback(reply);
        }
    };
}

void CertainWriter::read(ReadCallback done) {
    m_service.get(m_key, guard([this, done = std::move(done)](const KeyValueReply& reply) {
                      if (reply.m_status == KeyValueStatus::OK) {
                          m_revision = reply.m_revision;
                          m_size = reply.m_value.size();
                      } else if (reply.m_status == KeyValueStatus::NOT_FOUND) {
                          m_revision = 0;
                          m_size = 0;
                      }
                      done(reply);
                  }));
}

void CertainWriter::write(std::string bytes, IsMine isMine, WriteCallback done) {
    m_isBusy = true;
    const auto write = std::make_shared<Write>();
    write->m_bytes = std::move(bytes);
    write->m_isMine = std::move(isMine);
    write->m_done = std::move(done);
    if (write->m_bytes.size() <= KeyValueService::MAX_VALUE_BYTES) {
        send(write);
        return;
    }
    m_loop.post([this, generation = m_generation, mine = *m_generation, write] {
        if (*generation == mine) {
            finish(write, WriteResult::TOO_LARGE);
        }
    });
}

void CertainWriter::send(const WritePtr& write) {
    m_service.compareAndSwap(
            m_key, m_revision, write->m_bytes, KeyValueLease::NONE,
            guard([this, write](const KeyValueReply& reply) { handleWritten(write, reply); }));
}

void CertainWriter::handleWritten(const WritePtr& write, const KeyValueReply& reply) {
    if (reply.m_status == KeyValueStatus::OK) {
        m_revision = reply.m_revision;
        m_size = write->m_bytes.size();
        finish(write, WriteResult::COMMITTED);
        return;
    }
    // Once an answer was lost, a later "unavailable" says nothing about the earlier try.
    if (!m_isUncertain && reply.m_status == KeyValueStatus::UNAVAILABLE) {
        finish(write, WriteResult::UNAVAILABLE);
        return;
    }
    if (!m_isUncertain && reply.m_status == KeyValueStatus::TOO_LARGE) {
        finish(write, WriteResult::TOO_LARGE);
        return;
    }
    // Also after a conflict: the conflict may be with an earlier try of this very write.
    m_isUncertain = true;
    resolveLater(write);
}

void CertainWriter::resolveLater(const WritePtr& write) {
    const Millis delay = write->m_nextRetry;
    write->m_nextRetry = std::min(delay * 2, LAST_RETRY);
    m_loop.callLater(delay, [this, generation = m_generation, mine = *m_generation, write] {
        if (*generation != mine) {
            return;
        }
        m_service.get(m_key, guard([this, write](const KeyValueReply& reply) {
                          handleRead(write, reply);
                      }));
    });
}

void CertainWriter::handleRead(const WritePtr& write, const KeyValueReply& reply) {
    const bool isAbsent = reply.m_status == KeyValueStatus::NOT_FOUND;
    if (reply.m_status != KeyValueStatus::OK && !isAbsent) {
        resolveLater(write);
        return;
    }
    const Revision revision = isAbsent ? 0 : reply.m_revision;
    if (revision == m_revision) {
        send(write);
        return;
    }
    if (write->m_isMine(reply.m_value)) {
        m_revision = revision;
        m_size = reply.m_value.size();
        finish(write, WriteResult::COMMITTED);
        return;
    }
    finish(write, WriteResult::SUPERSEDED);
}

void CertainWriter::finish(const WritePtr& write, WriteResult result) {
    m_isBusy = false;
    m_isUncertain = false;
    write->m_done(result);
}

}  // namespace pierbank
