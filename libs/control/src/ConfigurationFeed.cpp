// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/ConfigurationFeed.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

/** Delay before a failed watch is started again. */
constexpr Millis WATCH_RETRY_DELAY{300};

}  // namespace

ConfigurationFeed::ConfigurationFeed(RecordStore& store, EventLoop& loop,
                                     const DocumentCodec& codec, ConfigurationFeedSettings settings)
        : m_store(store), m_loop(loop), m_codec(codec), m_settings(settings) {}

ConfigurationFeed::~ConfigurationFeed() = default;

void ConfigurationFeed::start() {
    poll();
}

std::optional<Millis> ConfigurationFeed::getAge() const {
    if (!m_confirmedAt.has_value() || !m_configuration.has_value()) {
        return std::nullopt;
    }
    return m_loop.now() - *m_confirmedAt;
}

/**
 * With a usable source, reads the store only while the store is lost, in order to detect its
 * return, or when the copy is too old.
 */
void ConfigurationFeed::poll() {
    const auto age = getAge();
    const bool isOld = m_configuration.has_value() && *age > m_settings.m_maxNoticeAge;
    if (!hasUsableSource() || m_isLost || isOld) {
        confirm([](bool) {});
    }
    keepWatching();
    m_loop.callLater(m_settings.m_interval, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            poll();
        }
    });
}

void ConfigurationFeed::confirm(std::function<void(bool)> done) {
    m_queuedCallbacks.push_back(std::move(done));
    if (!m_isReading) {
        read();
    }
}

void ConfigurationFeed::refresh(std::function<void()> done) {
    if (!hasUsableSource()) {
        confirm([done = std::move(done)](bool) { done(); });
        return;
    }
    m_source->requestNotice([this, done = std::move(done), alive = std::weak_ptr(m_isAlive)](
                                    const std::optional<ConfigurationNotice>& notice) {
        if (alive.expired()) {
            return;
        }
        // A source with an older revision must not confirm this copy.
        if (!notice.has_value() || notice->m_revision < m_revision) {
            confirm([done](bool) { done(); });
            return;
        }
        // Reading a newer revision may take seconds; until then requests can be relayed to the
        // source.
        applyNotice(*notice);
        done();
    });
}

void ConfigurationFeed::applyNotice(const ConfigurationNotice& notice) {
    m_newestRevision = std::max(m_newestRevision, notice.m_revision);
    if (isOutdated()) {
        confirm([](bool) {});
    } else if (notice.m_revision == m_revision && m_configuration.has_value()) {
        m_confirmedAt =
                std::max(m_confirmedAt.value_or(notice.m_confirmedAt), notice.m_confirmedAt);
    }
}

void ConfigurationFeed::read() {
    m_isReading = true;
    m_activeCallbacks = std::exchange(m_queuedCallbacks, {});
    const Millis sentAt = m_loop.now();
    const auto done = [this, sentAt, alive = std::weak_ptr(m_isAlive)](const StoreRead& read) {
        if (!alive.expired()) {
            handleRead(read, sentAt);
        }
    };
    if (m_revision == 0) {
        m_store.read(CONFIGURATION_KEY, done);
    } else {
        m_store.readNewer(CONFIGURATION_KEY, m_revision, done);
    }
}

void ConfigurationFeed::handleRead(const StoreRead& read, Millis sentAt) {
    const bool isGood = read.m_status == StoreStatus::OK;
    if (isGood) {
        applyItem(read.m_item, sentAt);
        m_lastReadRevision = std::max(m_lastReadRevision, read.m_at);
    }
    m_isUnresponsive = !isGood && m_loop.now() - sentAt > m_settings.m_maxQuickRefusal;
    if (isGood == m_isLost) {
        m_isLost = !isGood;
        m_onReachabilityChange(isGood);
        logEvent(isGood ? Severity::INFO : Severity::WARNING, "configuration",
                 isGood ? "store-regained" : "store-lost",
                 {{"status", std::string(toText(read.m_status))}, {"reason", read.m_reason}});
    }
    m_isReading = false;
    for (const auto& done : std::exchange(m_activeCallbacks, {})) {
        done(isGood);
    }
    if (isStoreUnresponsive()) {
        scheduleProbe();
    }
    if (!m_queuedCallbacks.empty() && !m_isReading) {
        this->read();
    }
}

/**
 * Requests do not trigger reads of an unresponsive store, so the feed itself keeps a read under
 * way.
 */
void ConfigurationFeed::scheduleProbe() {
    m_loop.callLater(m_settings.m_probeDelay, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired() && !m_isReading) {
            confirm([](bool) {});
        }
    });
}

void ConfigurationFeed::applyItem(const StoreItem& item, Millis sentAt) {
    if (item.m_revision < m_revision) {
        return;
    }
    if (item.m_revision > m_revision) {
        Findings findings;
        auto configuration = m_codec.readConfiguration(item.m_value, findings);
        if (!configuration.has_value()) {
            reportUnreadable("configuration", "unreadable",
                             {{"revision", std::to_string(item.m_revision)},
                              {"findings", findings.toText()}});
            return;
        }
        if (!findings.isEmpty()) {
            reportUnreadable("configuration", "rows-left-out",
                             {{"revision", std::to_string(item.m_revision)},
                              {"findings", findings.toText()}});
        }
        if (m_configuration.has_value() && configuration->m_version < m_configuration->m_version) {
            return;
        }
        m_configuration = std::move(configuration);
        m_revision = item.m_revision;
        m_valueBytes = item.m_value.size();
        logEvent(Severity::INFO, "configuration", "in-force",
                 {{"version", std::to_string(m_configuration->m_version)},
                  {"revision", std::to_string(m_revision)},
                  {"routes", std::to_string(m_configuration->m_routes.size())},
                  {"bytes", std::to_string(m_valueBytes)},
                  {"heavy", isSlowToTransfer() ? "yes" : "no"}});
        if (m_onChange) {
            m_onChange();
        }
    }
    if (!m_confirmedAt.has_value() || sentAt > *m_confirmedAt) {
        m_confirmedAt = sentAt;
    }
}

bool ConfigurationFeed::isSlowToTransfer() const {
    constexpr double BITS_PER_BYTE = 8.0;
    constexpr double BITS_PER_MS_PER_MBPS = 1000.0;
    const double transferMs = static_cast<double>(m_valueBytes) * BITS_PER_BYTE /
                              (m_settings.m_linkMbps * BITS_PER_MS_PER_MBPS);
    return transferMs > static_cast<double>(m_settings.m_slowTransfer.count());
}

void ConfigurationFeed::keepWatching() {
    if (!m_isWatching && !hasUsableSource() && !isSlowToTransfer()) {
        watch();
    }
}

void ConfigurationFeed::watch() {
    m_isWatching = true;
    const auto onChanges = [this, alive = std::weak_ptr(m_isAlive)](const StoreChanges& changes) {
        if (alive.expired()) {
            return;
        }
        const bool isGood = changes.m_status == StoreStatus::OK;
        // After an error, continue from the last successful read, which the copy surely includes.
        m_watchedRevision = isGood ? changes.m_at : m_lastReadRevision;
        if (isGood && !changes.m_events.empty()) {
            applyChanges(changes);
            confirm([](bool) {});
        }
        m_loop.callLater(isGood ? Millis(0) : WATCH_RETRY_DELAY,
                         [this, alive = std::weak_ptr(m_isAlive)] {
                             if (!alive.expired()) {
                                 m_isWatching = false;
                                 keepWatching();
                             }
                         });
    };
    m_store.watch(CONFIGURATION_KEY, m_watchedRevision, m_settings.m_watchTimeout, onChanges);
}

/** Applies values from a watch, which need not be read again, without renewing the copy's age. */
void ConfigurationFeed::applyChanges(const StoreChanges& changes) {
    for (const StoreEvent& event : changes.m_events) {
        if (m_confirmedAt.has_value() && !event.m_isDeleted &&
            event.m_item.m_key == CONFIGURATION_KEY) {
            applyItem(event.m_item, *m_confirmedAt);
        }
    }
}

}  // namespace pierbank
