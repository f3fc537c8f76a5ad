// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_PENDINGORDERS_H
#define PIERBANK_CONTROL_PENDINGORDERS_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/TaskWorker.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** What a PendingOrders needs to know of its worker. */
class OrderContext {
public:
    virtual ~OrderContext() = default;
    virtual WorkerCall getCall() const = 0;
    /** The end of the worker's lease on its own clock; empty when there is no lease to start on. */
    virtual std::optional<Millis> getStartLease() const = 0;
    virtual bool isListed(const TaskKey& task, std::uint32_t run) const = 0;
    virtual bool isEnded(const TaskKey& task, std::uint32_t run) const = 0;
    /** Looks at the worker once more. @return number of that look; looks count up. */
    virtual std::uint64_t pollAgain() = 0;
    /** A start goes out. */
    virtual void recordSent(const TaskKey& task, std::uint32_t run) = 0;
    /** The worker said that the run is there. */
    virtual void recordStarted(const TaskKey& task, std::uint32_t run) = 0;
    /** The worker surely did not begin it. */
    virtual void recordRefused(const TaskKey& task, std::uint32_t run) = 0;
    /** The run is not there and never will be. */
    virtual void reportAbsent(const TaskKey& task, std::uint32_t run, std::string_view reason) = 0;
};

struct PendingOrdersSettings {
    /** Tries of a start without an answer before the run is barred. */
    std::uint32_t m_startTries = 3;
    /** Pause before a stop that failed is sent again. */
    Millis m_pause{150};
    /**
     * No try begins so long after the order came: what the leader knew of the failure domain then
     * may hold no more. Three tries of 0.7 s begin within 1.4 s; an order that waits for a lease
     * would wait for as long as that takes.
     */
    Millis m_orderLife{1500};
};

/**
 * The leader's orders to a worker, each until it is known how it went. A start whose answer is
 * lost may take effect seconds later: it is tried again, and then barred by a stop; a look that was
 * sent after the bar shows whether the run was there at all.
 */
class PendingOrders {
public:
    /** The references must outlive the book. */
    PendingOrders(EventLoop& loop, TaskWorker& worker, OrderContext& context,
                  const PendingOrdersSettings& settings)
            : m_loop(loop), m_worker(worker), m_context(context), m_settings(settings) {}
    PendingOrders(const PendingOrders&) = delete;
    PendingOrders& operator=(const PendingOrders&) = delete;

    /** Does nothing for a run that has an order. */
    void start(const TaskKey& task, const RunOrder& order);
    /** Stops a run, or sees to it that it never begins. */
    void preventStart(const TaskKey& task, std::uint32_t run, std::string_view reason);
    /** Sends what waits for a lease. */
    void pump();
    /** A look has been taken; its number tells which bars it shows. */
    void handlePoll(std::uint64_t number);
    /** Another leader or life: answers to what was sent before are ignored. */
    void clear();

private:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    struct Order {
        RunOrder m_start;
        Millis m_cameAt{0};
        bool m_isBarring = false;
        bool m_isSent = false;
        std::uint32_t m_tries = 0;
        /** Under which its last call went out. */
        std::uint64_t m_fence = 0;
        /** The look that was taken after the run was barred; zero before. */
        std::uint64_t m_checkPoll = 0;
        std::string m_reason;
    };

    std::uint64_t getFence() const { return m_context.getCall().m_fence; }
    void forgetBegun();
    void sendStart(const RunKey& key, Order& order, Millis until);
    void handleStarted(const RunKey& key, const RunReply& reply);
    void sendBar(const RunKey& key);
    void handleBarred(const RunKey& key, const RunReply& reply);

    EventLoop& m_loop;
    TaskWorker& m_worker;
    OrderContext& m_context;
    const PendingOrdersSettings m_settings;
    std::map<RunKey, Order> m_orders;
    /** Replaced by clear(). */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PENDINGORDERS_H
