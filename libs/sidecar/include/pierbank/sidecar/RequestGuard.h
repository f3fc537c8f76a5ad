// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SIDECAR_REQUESTGUARD_H
#define PIERBANK_SIDECAR_REQUESTGUARD_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/EndpointPort.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** What an endpoint can take (brief: 8 slots and 64 connections). */
struct RequestGuardSettings {
    std::uint32_t m_slots = 8;
    /** Requests in slots and in the queue together. */
    std::uint32_t m_connections = 64;
};

/**
 * Guards an endpoint's slots, and knows what became of each request. A request's id is run at most
 * once. An id that was asked for before it came is tombstoned: it will never run.
 *
 * Finished requests are remembered with their answers for a while, so that a gateway whose link
 * was cut can still get them. Ids older than what is remembered get the fate UNKNOWN.
 */
class RequestGuard {
public:
    using SendCallback = std::function<void(const std::string& gateway, const Frame& frame)>;

    /**
     * The references must outlive the guard.
     * @param send sends a frame to a gateway by its instance, if it is linked.
     */
    RequestGuard(EventLoop& loop, EndpointPort& endpoint, RequestGuardSettings settings,
                 SendCallback send);
    ~RequestGuard();
    RequestGuard(const RequestGuard&) = delete;
    RequestGuard& operator=(const RequestGuard&) = delete;

    void handle(const ForwardRequest& request);
    void handle(const FateQuery& query);
    void handle(const CancelRequest& cancel);

    /** From now on new requests get NOT_RUN; those that wait or run are finished. */
    void leave();
    bool isLeaving() const noexcept { return m_isLeaving; }

    /** A gateway instance that is gone for good; its requests are forgotten. */
    void forgetGateway(const std::string& gateway);

    LoadReport getLoad() const;
    bool isIdle() const noexcept { return m_running == 0 && m_waiting.empty(); }

    /** Told after each change of the load. */
    void onLoadChanged(std::function<void()> callback) { m_onLoadChanged = std::move(callback); }

    /** Finished requests of one gateway that are remembered, and bytes of all their answers. */
    static constexpr std::size_t MAX_FINISHED = 1024;
    static constexpr std::size_t MAX_ANSWER_BYTES = 32U << 20U;

private:
    enum class Stage { WAITING, RUNNING, FINISHED };
    struct Entry {
        Stage m_stage = Stage::WAITING;
        ForwardRequest m_request;
        Millis m_deadline{0};
        /** When finished: the answer or the fate. */
        Frame m_result;
    };
    struct Gateway {
        std::map<std::uint64_t, Entry> m_entries;
        std::deque<std::uint64_t> m_finished;
        /** The highest id that was forgotten. */
        std::uint64_t m_floor = 0;
    };

    Entry* find(const RequestId& id);
    bool isForgotten(const RequestId& id);
    void finish(const RequestId& id, Frame result);
    void finishAs(const RequestId& id, RequestFate fate, std::string_view reason);
    void forgetOldest(Gateway& gateway);
    void expireLater(const RequestId& id, const Entry& entry);
    void dropWaiting(const RequestId& id, std::string_view reason);
    void run(const RequestId& id, Entry& entry);
    void handleReply(const RequestId& id, const EndpointReply& reply);
    void runNext();
    void notifyLoad();

    EventLoop& m_loop;
    EndpointPort& m_endpoint;
    const RequestGuardSettings m_settings;
    SendCallback m_send;
    std::function<void()> m_onLoadChanged;
    std::map<std::string, Gateway> m_gateways;
    std::deque<RequestId> m_waiting;
    std::uint32_t m_running = 0;
    std::size_t m_answerBytes = 0;
    bool m_isLeaving = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SIDECAR_REQUESTGUARD_H
