// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/ConfigurationController.h"

#include <algorithm>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Pause after a failed watch; the poll goes on meanwhile. */
constexpr Millis WATCH_RETRY{1000};

bool hasChange(const Configuration& configuration, std::string_view id) {
    const auto& changes = configuration.m_changes;
    return std::any_of(changes.begin(), changes.end(),
                       [id](const ConfigurationChange& change) { return change.m_id == id; });
}

}  // namespace

ConfigurationController::ConfigurationController(KeyValueService& service, EventLoop& loop,
                                                 Random& random)
        : m_service(service),
          m_loop(loop),
          m_random(random),
          m_writer(service, loop, std::string(CONFIGURATION_KEY)) {}

ConfigurationController::~ConfigurationController() {
    *m_isAlive = false;
}

void ConfigurationController::start(ChangedCallback onChanged) {
    m_onChanged = std::move(onChanged);
    watch();
    poll();
}

Millis ConfigurationController::addJitter(Millis interval) {
    const auto half = static_cast<std::uint64_t>(interval.count()) / 2;
    return interval - Millis(half / 2) + Millis(m_random.below(half + 1));
}

void ConfigurationController::watch() {
    const auto onReply = [this, alive = m_isAlive](const KeyValueReply& reply) {
        if (!*alive) {
            return;
        }
        handleValue(reply);
        const bool isAnswered =
                reply.m_status == KeyValueStatus::OK || reply.m_status == KeyValueStatus::NOT_FOUND;
        m_loop.callLater(isAnswered ? Millis(0) : addJitter(WATCH_RETRY), [this, alive] {
            if (*alive) {
                watch();
            }
        });
    };
    m_service.watch(CONFIGURATION_KEY, m_seenRevision, WATCH_WAIT, onReply);
}

void ConfigurationController::poll() {
    const auto onReply = [this, alive = m_isAlive](const KeyValueReply& reply) {
        if (!*alive) {
            return;
        }
        handleValue(reply);
        m_loop.callLater(addJitter(POLL_INTERVAL), [this, alive] {
            if (*alive) {
                poll();
            }
        });
    };
    if (m_writer.isBusy()) {
        // A write in flight reads the key itself, and must not have its base changed.
        m_service.get(CONFIGURATION_KEY, onReply);
    } else {
        m_writer.read(onReply);
    }
}

void ConfigurationController::handleValue(const KeyValueReply& reply) {
    if (reply.m_status == KeyValueStatus::NOT_FOUND) {
        m_confirmedAt = m_loop.now();
        if (!m_isKnown) {
            adopt(Configuration(), encodeConfiguration(Configuration()));
        }
        return;
    }
    if (reply.m_status != KeyValueStatus::OK) {
        return;
    }
    m_confirmedAt = m_loop.now();
    m_seenRevision = std::max(m_seenRevision, reply.m_revision);
    offer(reply.m_value);
}

void ConfigurationController::offer(std::string_view bytes) {
    auto configuration = decodeConfiguration(bytes);
    if (!configuration.has_value()) {
        logEvent(Severity::ERROR, "configuration", "unreadable", {});
        return;
    }
    const bool isNews = !m_isKnown || configuration->m_version > m_configuration.m_version;
    if (isNews) {
        adopt(*std::move(configuration), std::string(bytes));
    }
}

void ConfigurationController::adopt(Configuration configuration, std::string bytes) {
    m_configuration = std::move(configuration);
    m_bytes = std::move(bytes);
    m_isKnown = true;
    logEvent(Severity::INFO, "configuration", "in-force",
             {{"version", std::to_string(m_configuration.m_version)}});
    m_onChanged(m_configuration);
}

void ConfigurationController::write(Configuration next, WriteCallback done) {
    std::string bytes = encodeConfiguration(next);
    const std::string id = next.m_changes.back().m_id;
    const auto isMine = [id](std::string_view value) {
        const auto found = decodeConfiguration(value);
        return found.has_value() && hasChange(*found, id);
    };
    const auto onWritten = [this, next = std::move(next), bytes,
                            done = std::move(done)](WriteResult result) {
        const bool isNews = next.m_version > m_configuration.m_version;
        if (result == WriteResult::COMMITTED && isNews) {
            m_confirmedAt = m_loop.now();
            adopt(next, bytes);
        }
        done(result);
    };
    m_writer.write(bytes, isMine, onWritten);
}

}  // namespace pierbank
