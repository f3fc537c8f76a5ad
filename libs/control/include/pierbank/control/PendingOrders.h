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

/** Access of PendingOrders to its worker. Implemented by the owner of the PendingOrders. */
class OrderContext {
public:
    virtual ~OrderContext() = default;
    /** Returns the target worker and the present fence. */
    virtual WorkerCall getCall() const = 0;
    /**
     * Returns the end of the lease on the steady clock of the worker; empty if there is no lease
     * under which a run may be started.
     */
    virtual std::optional<Millis> getStartLease() const = 0;
    /** Returns whether the last poll listed the run as running. */
    virtual bool isListed(const TaskKey& task, std::uint32_t run) const = 0;
    /** Returns whether the last poll listed the run as finished. */
    virtual bool isEnded(const TaskKey& task, std::uint32_t run) const = 0;
    /**
     * Returns whether the last poll listed all runs, so that a run that it does not list is surely
     * not on the worker.
     */
    virtual bool areAllRunsListed() const = 0;
    /**
     * Polls the worker once more.
     *
     * @return number of this poll; the numbers increase.
     */
    virtual std::uint64_t pollAgain() = 0;
    /** Records that a start is being sent. */
    virtual void recordSent(const TaskKey& task, std::uint32_t run) = 0;
    /** Records that the worker confirmed the run as running. */
    virtual void recordStarted(const TaskKey& task, std::uint32_t run) = 0;
    /** Records that the worker has certainly not started the run. */
    virtual void recordRefused(const TaskKey& task, std::uint32_t run) = 0;
    /** Reports that the run is not on the worker and can no longer start there. */
    virtual void reportAbsent(const TaskKey& task, std::uint32_t run, std::string_view reason) = 0;
};

/** Settings of PendingOrders. */
struct PendingOrdersSettings {
    /** Number of unanswered attempts to start a run after which the start is prevented. */
    std::uint32_t m_maxStartTries = 3;
    /** Delay before a failed stop is sent again. */
    Millis m_retryDelay{150};
    /**
     * Maximum age of an order at the beginning of an attempt. The state of the failure domain on
     * which the leader based the order may have changed since. Three attempts of 0.7 s each begin
     * within 1.4 s. Without this limit, an order could wait for a lease indefinitely.
     */
    Millis m_maxOrderAge{1500};
};

/**
 * Executes the leader's orders to a worker, and tracks each order until its outcome is known. A
 * start whose answer is lost may take effect seconds later. Such a start is repeated. After the
 * last attempt, a stop prevents it from taking effect, and a poll that is sent after this stop
 * shows whether the run had started.
 *
 * Owned by the sidecar's agent; used on the event loop only.
 */
class PendingOrders {
public:
    /** The references must outlive the object. */
    PendingOrders(EventLoop& loop, TaskWorker& worker, OrderContext& context,
                  const PendingOrdersSettings& settings)
            : m_loop(loop), m_worker(worker), m_context(context), m_settings(settings) {}
    PendingOrders(const PendingOrders&) = delete;
    PendingOrders& operator=(const PendingOrders&) = delete;

    /**
     * Starts a run as soon as there is a lease. Has no effect for a run that has a pending order.
     */
    void start(const TaskKey& task, const RunOrder& order);
    /**
     * Stops a run, or prevents it from ever starting.
     *
     * @param reason reason that is reported with the absence of the run.
     */
    void preventStart(const TaskKey& task, std::uint32_t run, std::string_view reason);
    /** Sends the starts that were waiting for a lease. */
    void sendWaitingStarts();
    /**
     * Resolves orders by the result of a poll. A poll resolves the stops that were answered before
     * the poll was sent, as its number shows. The absence of a run is concluded only from a poll
     * that listed all runs; until then the order stays pending.
     */
    void handlePoll(std::uint64_t number);
    /**
     * Discards all orders and ignores pending answers, because the leader or the incarnation
     * changed.
     */
    void clear();

private:
    using RunKey = std::pair<TaskKey, std::uint32_t>;

    struct Order {
        RunOrder m_start;
        Millis m_receivedAt{0};
        /** Whether a stop is sent instead of a start. */
        bool m_isPreventingStart = false;
        bool m_isSent = false;
        std::uint32_t m_tries = 0;
        /** Fence of the last call for this order. */
        std::uint64_t m_fence = 0;
        /** Number of the poll that was requested after the stop succeeded; zero before that. */
        std::uint64_t m_checkPoll = 0;
        std::string m_reason;
    };

    std::uint64_t getFence() const { return m_context.getCall().m_fence; }
    void removeStarted();
    void sendStart(const RunKey& key, Order& order, Millis until);
    void handleStarted(const RunKey& key, const RunReply& reply);
    void sendStop(const RunKey& key);
    void handleStopped(const RunKey& key, const RunReply& reply);

    EventLoop& m_loop;
    TaskWorker& m_worker;
    OrderContext& m_context;
    const PendingOrdersSettings m_settings;
    std::map<RunKey, Order> m_orders;
    /** Replaced by clear(), so that answers to earlier calls are ignored. */
    std::shared_ptr<bool> m_term = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_PENDINGORDERS_H
