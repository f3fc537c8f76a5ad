// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_REQUEST_FORWARDER_H
#define PIERBANK_REQUEST_FORWARDER_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "pierbank/base/EventLoop.h"
#include "pierbank/request/EndpointTable.h"
#include "pierbank/request/RequestFilter.h"
#include "pierbank/request/RetryBudget.h"

namespace pierbank {

/** How the gateway reaches the sidecar of an endpoint. */
class EndpointChannel {
public:
    virtual ~EndpointChannel() = default;

    /** @return false when there is no link now: the frame was surely not sent. */
    virtual bool sendToEndpoint(std::string_view endpoint, const Frame& frame) = 0;
};

/** Bounds of forwarding. */
struct ForwarderSettings {
    /** This gateway's instance, in every request id. */
    std::string m_instance;
    /** Requests of one service that may wait for a slot. */
    std::size_t m_maxWaiting = 512;
    /** Endpoints that one request is sent to at most. */
    std::uint32_t m_maxAttempts = 3;
    /** How long a link that was cut may take to come back before the fate is called unknown. */
    Millis m_fateWait{1500};
    /** Retries as a share of the requests, and the most that are saved up. */
    double m_retryShare = 0.1;
    double m_retryReserve = 20;
};

/** Counts since the start, for the metrics. */
struct ForwarderCounts {
    std::uint64_t m_sent = 0;
    std::uint64_t m_retried = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_fateQueries = 0;
    std::uint64_t m_cancelled = 0;
};

/**
 * The last filter: sends a request to an endpoint's sidecar, matches the answer by its id, and
 * retries elsewhere where that is safe. A request that must not be repeated is sent elsewhere only
 * when it is proved that it did not run; after a cut, the sidecar that had it is asked. Requests
 * wait for a slot in order of arrival, in turn of the organisations. What will not make it before
 * its deadline is refused when it comes.
 */
class Forwarder final : public RequestFilter {
public:
    /** The references must outlive the forwarder. */
    Forwarder(EventLoop& loop, EndpointTable& endpoints, EndpointChannel& channel,
              ForwarderSettings settings);
    ~Forwarder() override;

    void handle(const CallerExchangePtr& exchange, Next next) override;

    void handleLinked(std::string_view endpoint, std::string_view instance);
    void handleUnlinked(std::string_view endpoint);
    /** Takes ForwardAnswer, FateReport and LoadReport; others are none of its business. */
    void handleFrame(std::string_view endpoint, const Frame& frame);
    /** Endpoints were added, drained or released. */
    void handleEndpointsChanged() { dispatchWaiting(); }

    const ForwarderCounts& getCounts() const noexcept { return m_counts; }
    std::size_t countWaiting() const;

private:
    /** A request on its way, over all its attempts. */
    struct Flight {
        CallerExchangePtr m_exchange;
        std::set<std::string> m_tried;
        std::uint32_t m_attempts = 0;
        TimerId m_deadlineTimer = TimerId::NONE;
        TimerId m_fateTimer = TimerId::NONE;
        /** The running attempt; zero while it waits. */
        std::uint64_t m_number = 0;
        std::string m_endpoint;
        std::string m_instance;
        Millis m_sentAt{0};
        /** An earlier attempt may have run; only repeatable requests go on after that. */
        bool m_mayHaveRun = false;
    };
    using FlightPtr = std::shared_ptr<Flight>;
    using Lane = std::deque<FlightPtr>;
    /** Waiting requests of one service: a lane for each organisation. */
    struct WaitingRoom {
        std::map<std::string, Lane> m_lanes;
        std::string m_lastServed;
        std::size_t m_count = 0;
    };

    void dispatch(const FlightPtr& flight);
    bool trySend(const FlightPtr& flight);
    void wait(const FlightPtr& flight);
    void dispatchWaiting();
    FlightPtr takeNext(WaitingRoom& room);
    Millis estimateWait(const std::string& service) const;
    void retryElsewhere(const FlightPtr& flight, std::string_view reason);
    void giveUp(const FlightPtr& flight, std::string_view reason, Millis retryAfter);
    void leaveWaitingRoom(const FlightPtr& flight);
    FlightPtr endAttempt(const RequestId& id, std::string_view endpoint);
    void detach(const FlightPtr& flight);
    void handleAnswer(std::string_view endpoint, const ForwardAnswer& answer);
    void handleFate(std::string_view endpoint, const FateReport& report);
    void handleCut(const FlightPtr& flight);
    void handleDeadline(const FlightPtr& flight);
    void handleDone(const FlightPtr& flight);
    RequestId getId(const Flight& flight) const;

    EventLoop& m_loop;
    EndpointTable& m_endpoints;
    EndpointChannel& m_channel;
    const ForwarderSettings m_settings;
    RetryBudget m_budget;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, FlightPtr> m_flights;
    std::map<std::string, WaitingRoom> m_waiting;
    /** Moving average of the time at an endpoint; for shedding early. */
    double m_serviceMillis = 10.0;
    ForwarderCounts m_counts;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_REQUEST_FORWARDER_H
