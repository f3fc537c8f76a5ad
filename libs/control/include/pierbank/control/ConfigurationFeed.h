// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_CONFIGURATIONFEED_H
#define PIERBANK_CONTROL_CONFIGURATIONFEED_H

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Documents.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Intervals and limits of a ConfigurationFeed. */
struct ConfigurationFeedSettings {
    /** Time between two confirming reads. */
    Millis m_interval{500};
    /** Timeout of one watch. */
    Millis m_watchTimeout{10'000};
    /**
     * Maximum duration of a failed read that counts as a quick refusal. While the store refuses
     * quickly, each request may try another read at little cost; without these reads, gateways
     * refused requests for up to 0.34 s after the store had returned. The platform's store answers
     * in about 4 ms, so a store that takes longer than this limit counts as unresponsive.
     */
    Millis m_maxQuickRefusal{100};
    /**
     * Delay before the next read of an unresponsive store. These repeated reads detect the return
     * of the store.
     */
    Millis m_probeDelay{50};
    /**
     * Maximum age of the configuration as confirmed by the leader. A gateway with a usable leader
     * reads the store itself only if the configuration is older than this.
     */
    Millis m_maxNoticeAge{2500};
    /** Bandwidth of this gateway's host, in megabits per second. */
    double m_linkMbps = 1000.0;
    /**
     * Transfer time above which a configuration value counts as slow to transfer; such a value is
     * read only once, and is not watched.
     */
    Millis m_slowTransfer{200};
};

/** Report of another gateway about the current configuration. */
struct ConfigurationNotice {
    StoreRevision m_revision = 0;
    /**
     * Lower bound, on this gateway's clock, of the time at which the confirming read was sent; zero
     * if unknown.
     */
    Millis m_confirmedAt{0};
};

/** A gateway that confirms the configuration continually and answers queries about it. */
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    /** Returns whether the source is reachable; then this gateway need not read the store. */
    virtual bool isUsable() const = 0;
    /**
     * Requests a notice. `done` is called once, with an empty value if no answer came in time.
     */
    virtual void requestNotice(
            std::function<void(const std::optional<ConfigurationNotice>&)> done) = 0;
};

/**
 * A gateway's copy of the operators' configuration. Runs on the event loop.
 *
 * A watch delivers changes quickly, but a watch without events does not prove that nothing changed.
 * The age of the copy therefore counts from the time at which the last confirming read was sent.
 * The version of the copy never decreases.
 *
 * A value that is slow to transfer over the gateway's link is not watched but confirmed at
 * intervals, since a watch would transfer the value in addition to the read.
 *
 * With a usable source the feed neither reads nor watches: the store would otherwise spend most of
 * its bandwidth on sending the same value twice a second to hundreds of gateways. A notice that the
 * local revision is the newest confirms the copy. After a notice of a newer revision the value is
 * read once.
 */
class ConfigurationFeed {
public:
    using Callback = std::function<void()>;

    /** The references must outlive the feed. */
    ConfigurationFeed(RecordStore& store, EventLoop& loop, const DocumentCodec& codec,
                      ConfigurationFeedSettings settings);
    ~ConfigurationFeed();
    ConfigurationFeed(const ConfigurationFeed&) = delete;
    ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

    /** Sets the source to query from now on; the source must outlive the feed. */
    void setSource(ConfigurationSource& source) { m_source = &source; }

    /** Starts the confirming reads and the watch. */
    void start();
    /** Sets the callback for each change of the configuration. */
    void onChange(Callback callback) { m_onChange = std::move(callback); }

    /** Returns the configuration, or null before the first one was read. */
    const QueueConfiguration* get() const noexcept {
        return m_configuration.has_value() ? &*m_configuration : nullptr;
    }
    /** Returns the store's revision of the configuration. */
    StoreRevision getRevision() const noexcept { return m_revision; }

    /** Sets the callback for the store becoming unreachable (false) or reachable again (true). */
    void onReachabilityChange(std::function<void(bool)> callback) {
        m_onReachabilityChange = std::move(callback);
    }

    /** Returns whether the last confirming read failed. */
    bool isStoreLost() const noexcept { return m_isLost; }
    /**
     * Returns whether the last confirming read failed other than by a quick refusal. A request that
     * waited for one more read would wait in vain.
     */
    bool isStoreUnresponsive() const noexcept { return m_isLost && m_isUnresponsive; }

    /** Returns whether a source is set and reachable. */
    bool hasUsableSource() const { return m_source != nullptr && m_source->isUsable(); }

    /** Returns the time since the last confirming read was sent; empty before the first. */
    std::optional<Millis> getAge() const;

    /**
     * Returns whether a newer configuration is known to exist but has not been read yet. The leader
     * already decides relayed requests by the newer configuration, so this gateway must not decide
     * other requests by its older copy at the same time.
     */
    bool isOutdated() const noexcept { return m_newestRevision > m_revision; }

    /**
     * Calls `done` once, with whether a read sent after this call confirmed the copy. Calls made
     * while a read is under way share the next read.
     */
    void confirm(std::function<void(bool)> done);

    /**
     * Updates the copy's age from the source, or by a read if the source can't answer, and calls
     * `done` once. Unlike after confirm(), the copy may have been confirmed a little before the
     * call.
     */
    void refresh(std::function<void()> done);

    /** Applies a notice of the source, whether requested or not. */
    void applyNotice(const ConfigurationNotice& notice);

    /**
     * Returns whether a transfer of the value occupies this gateway's link for so long that no two
     * transfers should run at the same time. Submissions then confirm the copy before they write:
     * each transaction that conflicts with a newer configuration would transfer the new value.
     */
    bool isSlowToTransfer() const;

    /**
     * Applies an item that was part of another call's answer.
     * @param sentAt a time at or before the read of the item.
     */
    void applyItem(const StoreItem& item, Millis sentAt);

private:
    void poll();
    void keepWatching();
    void watch();
    void read();
    void handleRead(const StoreRead& read, Millis sentAt);
    void scheduleProbe();
    void applyChanges(const StoreChanges& changes);

    RecordStore& m_store;
    EventLoop& m_loop;
    const DocumentCodec& m_codec;
    const ConfigurationFeedSettings m_settings;
    Callback m_onChange;
    std::function<void(bool)> m_onReachabilityChange = [](bool) {
    };
    std::optional<QueueConfiguration> m_configuration;
    StoreRevision m_revision = 0;
    std::size_t m_valueBytes = 0;
    /** Newest revision of the configuration that a notice has reported. */
    StoreRevision m_newestRevision = 0;
    /** Store revision from which the next watch continues. */
    StoreRevision m_watchedRevision = 0;
    /** Store revision of the last successful read. */
    StoreRevision m_lastReadRevision = 0;
    /** Time at which the last confirming read was sent. */
    std::optional<Millis> m_confirmedAt;
    ConfigurationSource* m_source = nullptr;
    bool m_isWatching = false;
    bool m_isReading = false;
    bool m_isLost = false;
    bool m_isUnresponsive = false;
    /** Callbacks of confirm() that wait for the next read. */
    std::vector<std::function<void(bool)>> m_queuedCallbacks;
    /** Callbacks of confirm() that wait for the read under way. */
    std::vector<std::function<void(bool)>> m_activeCallbacks;
    /** Expires with this object; asynchronous callbacks check it. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_CONFIGURATIONFEED_H
