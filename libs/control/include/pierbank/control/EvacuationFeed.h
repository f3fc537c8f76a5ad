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
    /** So long after an evacuation was acknowledged nothing begins in its failure domain any more
     * (users' bound). */
    Millis m_bound{5000};
    /** Time between two readings. They are about 125 calls of the store on a day of 64 machines
     * (62 s), which make 4,200 to 7,200 in all. */
    Millis m_interval{500};
};

/**
 * The failure domains under evacuation, as the platform's operators have them in the store: a key
 * each, there from the request until it is withdrawn. Whatever the key's value, it counts.
 *
 * The whole list is read again and again. Weighed against a watch: a watch may hear nothing for a
 * second, hang, or lose its history, and its silence would look like an empty list; a reading
 * either answers or fails, and is linearizable, so that its sending time bounds what it can have
 * missed. The bound leaves ten times the interval.
 */
class EvacuationFeed {
public:
    /** Evacuations by failure domain, with the revision at which each was asked for. */
    using Domains = std::map<std::string, StoreRevision, std::less<>>;

    /** The references must outlive the feed. */
    EvacuationFeed(RecordStore& store, EventLoop& loop, EvacuationFeedSettings settings)
            : m_store(store), m_loop(loop), m_settings(settings) {}
    EvacuationFeed(const EvacuationFeed&) = delete;
    EvacuationFeed& operator=(const EvacuationFeed&) = delete;

    /** Called when the list has changed, and when it becomes certain again. */
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /** Begins to read; nothing is known before the first answer. */
    void start();
    void stop();

    /**
     * What is known is recent enough to place work by. Three fifths of the bound are for knowing;
     * the rest is for a decision on its way: its commit, and its order to the worker.
     */
    bool isCertain() const;
    /** As the last reading that was answered has it. */
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
    /** When the last reading that was answered had been sent; empty: none was. */
    std::optional<Millis> m_confirmedAt;
    /** Replaced with each start() and stop(), so that answers of before are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_EVACUATIONFEED_H
