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

/** How often a gateway confirms its configuration. */
struct ConfigurationFeedSettings {
    /** Time between two confirming reads. */
    Millis m_interval{500};
    /** Time of one waiting watch. */
    Millis m_watchWait{10'000};
    /**
     * A store that refuses within this time costs a request little to ask again. It answers in 4 ms
     * (users' page); one that takes longer is silent. Without asking, gateways refused for up to
     * 0.34 s after the store was back.
     */
    Millis m_quickRefusal{100};
    /** Pause before a silent store is asked again; a read that waits finds out when it is back. */
    Millis m_probePause{50};
    /** Led gateways read for themselves only when what the leader tells is older than this. */
    Millis m_maxNoticeAge{2500};
    /** Of this gateway's host, in megabits a second. */
    double m_linkMbps = 1000.0;
    /** A value that the link carries no faster is heavy: it is fetched once, and not by accident.
     */
    Millis m_slowTransfer{200};
};

/** What another gateway says of the configuration. */
struct ConfigurationNotice {
    StoreRevision m_revision = 0;
    /** When the read was sent that confirmed it, or before; on the own clock. */
    Millis m_confirmedAt{0};
};

/** A gateway that confirms configurations all the time, and can be asked. */
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    /** It answers; then this gateway need not ask the store itself. */
    virtual bool isUsable() const = 0;
    /** `done` is called once; with nothing when no answer came in time. */
    virtual void ask(std::function<void(const std::optional<ConfigurationNotice>&)> done) = 0;
};

/**
 * A gateway's view of the operators' configuration. A watch brings changes quickly, but its
 * silence proves nothing: how old the view is counts from the sending of the last read that
 * confirmed it. The version never goes back.
 *
 * A value that is large for the gateway's link is not watched but confirmed at intervals, since a
 * watch would bring it beside a read.
 *
 * With a source that is usable it neither reads nor watches: hundreds of gateways that each read
 * the same value twice a second are most of what the store sends. The source's notice that the
 * revision at hand is the newest confirms it; for a newer one the value is read once.
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

    /** Asked from then on; it must outlive the feed. */
    void setSource(ConfigurationSource& source) { m_source = &source; }

    void start();
    /** Called after each change. */
    void onChange(Callback callback) { m_onChange = std::move(callback); }

    /** Null before the first configuration was read. */
    const QueueConfiguration* get() const noexcept {
        return m_configuration.has_value() ? &*m_configuration : nullptr;
    }
    /** The store's revision of it. */
    StoreRevision getRevision() const noexcept { return m_revision; }

    /** Called when the store is lost to this gateway (false) or back (true). */
    void onReachabilityChange(std::function<void(bool)> callback) {
        m_onReachabilityChange = std::move(callback);
    }

    /** The last confirming read failed. */
    bool isLost() const noexcept { return m_isLost; }
    /** It failed without a quick answer: one more read would keep a request waiting for nothing. */
    bool isSilent() const noexcept { return m_isLost && m_isSilent; }

    /** A source is there that answers. */
    bool hasUsableSource() const { return m_source != nullptr && m_source->isUsable(); }

    /** Time since the last confirming read was sent; empty before the first. */
    std::optional<Millis> getAge() const;

    /**
     * A newer one is known to be there, and not read yet. What the leader answers in this gateway's
     * place is answered by that one; by the view at hand nothing may be answered beside it.
     */
    bool isOutdated() const noexcept { return m_newest > m_revision; }

    /**
     * Calls `done` once with whether the view was confirmed by a read sent after this call. Calls
     * during a read that is under way share the next one.
     */
    void confirm(std::function<void(bool)> done);

    /** The same with what the source says, or else a read; the view may then be a little old. */
    void refresh(std::function<void()> done);

    /** Takes what the source said, asked or not. */
    void applyNotice(const ConfigurationNotice& notice);

    /**
     * The value keeps this gateway's link busy for so long that no more than one may be under way:
     * what is decided by the view at hand has it confirmed first, since a transaction that meets a
     * newer configuration is answered with its value, each of them.
     */
    bool isSlowToTransfer() const;

    /** Takes an item that came along with another answer, and was read at `sentAt` or later. */
    void learn(const StoreItem& item, Millis sentAt);

private:
    void poll();
    void keepWatching();
    void watch();
    void read();
    void handleRead(const StoreRead& read, Millis sentAt);
    void probeLater();
    void takeChanges(const StoreChanges& changes);

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
    /** The newest that was heard of. */
    StoreRevision m_newest = 0;
    StoreRevision m_watchedTo = 0;
    /** The store's revision at the last good read. */
    StoreRevision m_readAt = 0;
    std::optional<Millis> m_confirmedAt;
    ConfigurationSource* m_source = nullptr;
    bool m_isWatching = false;
    bool m_isReading = false;
    bool m_isLost = false;
    bool m_isSilent = false;
    std::vector<std::function<void(bool)>> m_waiting;
    std::vector<std::function<void(bool)>> m_reading;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_CONFIGURATIONFEED_H
