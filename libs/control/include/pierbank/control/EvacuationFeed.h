// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_EVACUATIONFEED_H
#define PIERBANK_CONTROL_EVACUATIONFEED_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

struct EvacuationFeedSettings {
    /**
     * Maximum time from the acknowledgement of an evacuation until nothing starts in the failure
     * domain any more. Required by the platform's contract.
     */
    Millis m_maxEnforcementDelay{5000};
    /** Time between two polls. The polls make up 2 to 3 percent of all calls of the store. */
    Millis m_interval{500};
};

/**
 * Polls the failure domains under evacuation, which the platform's operators keep in the store: one
 * key for each domain, from the request of the evacuation until the request is withdrawn. The value
 * of a key is ignored. Runs on the event loop.
 *
 * The feed polls the whole list instead of watching it. A watch may deliver nothing for a second,
 * hang, or lose its history, and a watch without events looks like an empty list. A poll either
 * succeeds or fails, and is linearizable, so that the time at which the poll was sent bounds the
 * age of the result. The required time limit is ten times the polling interval.
 */
class EvacuationFeed {
public:
    /** Evacuations by failure domain, with the store revision of each request. */
    using Domains = std::map<std::string, StoreRevision, std::less<>>;

    /** The references must outlive the feed. */
    EvacuationFeed(RecordStore& store, EventLoop& loop, EvacuationFeedSettings settings)
            : m_store(store), m_loop(loop), m_settings(settings) {}
    EvacuationFeed(const EvacuationFeed&) = delete;
    EvacuationFeed& operator=(const EvacuationFeed&) = delete;

    /** Sets the callback for a changed list, and for isUpToDate() becoming true again. */
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /** Starts polling; the list is empty and not up to date until the first poll succeeds. */
    void start();
    /** Stops polling and clears the list. */
    void stop();

    /**
     * Returns whether the list is recent enough for placing work. The list may be as old as three
     * fifths of m_maxEnforcementDelay. The remaining time is reserved for a decision under way,
     * that is, for its commit and for the order to the worker.
     */
    bool isUpToDate() const;
    /** Returns the result of the last successful poll. */
    const Domains& getDomains() const noexcept { return m_domains; }

private:
    void read();
    void handleRead(const StoreList& list, Millis sentAt);
    static Domains readDomains(const StoreList& list);
    void logChanges(const Domains& before) const;

    RecordStore& m_store;
    EventLoop& m_loop;
    const EvacuationFeedSettings m_settings;
    std::function<void()> m_onChange;
    Domains m_domains;
    /** Time at which the last successful poll was sent; empty before the first. */
    std::optional<Millis> m_confirmedAt;
    /** Replaced by start() and reset by stop(), so that answers of earlier polls are dropped. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_EVACUATIONFEED_H
