// SPDX-License-Identifier: Apache-2.0
#include "pierbank/request/Forwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pierbank/platform/HttpStatus.h"

namespace pierbank {

namespace {

constexpr Millis COME_BACK{1000};
/** The sidecar gives a request up this much before the caller's deadline, to say so in time. */
constexpr Millis DEADLINE_MARGIN{20};
/** Weight of the newest request in the average service time. */
constexpr double SERVICE_TIME_GAIN = 0.05;

}  // namespace

Forwarder::Forwarder(EventLoop& loop, EndpointTable& endpoints, EndpointChannel& channel,
                     ForwarderSettings settings)
        : m_loop(loop),
          m_endpoints(endpoints),
          m_channel(channel),
          m_settings(std::move(settings)),
          m_budget(m_settings.m_retryShare, m_settings.m_retryReserve) {}

Forwarder::~Forwarder() {
    *m_isAlive = false;
}

RequestId Forwarder::getId(const Flight& flight) const {
    return {m_settings.m_instance, flight.m_number};
}

void Forwarder::handle(const CallerExchangePtr& exchange, Next) {
    m_budget.noteRequest();
    const auto flight = std::make_shared<Flight>();
    flight->m_exchange = exchange;
    flight->m_deadlineTimer = m_loop.callLater(exchange->getDeadline() - m_loop.now(),
                                               [this, alive = m_isAlive, flight] {
                                                   if (*alive) {
                                                       flight->m_deadlineTimer = TimerId::NONE;
                                                       handleDeadline(flight);
                                                   }
                                               });
    // Weak: the flight owns the exchange, and both would keep each other.
    exchange->onDone(
            [this, alive = m_isAlive, weak = std::weak_ptr<Flight>(flight)](const CallerAnswer*) {
                const FlightPtr done = weak.lock();
                if (*alive && done != nullptr) {
                    handleDone(done);
                }
            });
    dispatch(flight);
}

void Forwarder::dispatch(const FlightPtr& flight) {
    const CallerExchangePtr exchange = flight->m_exchange;
    const std::string& service = exchange->getRequest().m_service;
    if (!m_endpoints.hasService(service)) {
        exchange->answer(makeNotRun(HTTP_NOT_FOUND, "there is no such service", Millis(0)));
        return;
    }
    if (!m_endpoints.hasUsable(service, flight->m_tried)) {
        giveUp(flight, "no endpoint of the service is in reach", COME_BACK);
        return;
    }
    const auto room = m_waiting.find(service);
    const bool othersWait = room != m_waiting.end() && room->second.m_count > 0;
    if (othersWait || !trySend(flight)) {
        wait(flight);
    }
}

bool Forwarder::trySend(const FlightPtr& flight) {
    const CallerRequest& request = flight->m_exchange->getRequest();
    const Millis now = m_loop.now();
    const Millis remaining = flight->m_exchange->getDeadline() - now;
    const auto name = m_endpoints.choose(request.m_service, flight->m_tried, now);
    if (!name.has_value()) {
        return false;
    }
    ForwardRequest frame;
    frame.m_id = {m_settings.m_instance, m_nextNumber++};
    frame.m_method = request.m_method;
    frame.m_path = request.m_path;
    frame.m_headers = request.m_headers;
    frame.m_body = request.m_body;
    frame.m_neverRepeat = !request.m_isRepeatable;
    frame.m_remainingMs =
            static_cast<std::uint64_t>(std::max(remaining - DEADLINE_MARGIN, Millis(1)).count());
    Endpoint& endpoint = m_endpoints.get(*name);
    flight->m_tried.insert(*name);
    ++flight->m_attempts;
    if (!m_channel.sendToEndpoint(*name, frame)) {
        return trySend(flight);
    }
    flight->m_number = frame.m_id.m_number;
    flight->m_endpoint = *name;
    flight->m_instance = endpoint.m_instance;
    flight->m_sentAt = now;
    ++endpoint.m_inFlight;
    m_flights[flight->m_number] = flight;
    ++m_counts.m_sent;
    return true;
}

Millis Forwarder::estimateWait(const std::string& service) const {
    const auto room = m_waiting.find(service);
    const std::size_t ahead = room == m_waiting.end() ? 0 : room->second.m_count;
    const double slots = std::max(1U, m_endpoints.countSlots(service));
    const double waves = static_cast<double>(ahead) / slots + 1.0;
    return Millis(static_cast<std::int64_t>(waves * m_serviceMillis));
}

void Forwarder::wait(const FlightPtr& flight) {
    const CallerRequest& request = flight->m_exchange->getRequest();
    WaitingRoom& room = m_waiting[request.m_service];
    const Millis expected = estimateWait(request.m_service);
    const bool isTooLate = m_loop.now() + expected > flight->m_exchange->getDeadline();
    if (room.m_count >= m_settings.m_maxWaiting || isTooLate) {
        ++m_counts.m_shed;
        giveUp(flight, "the service's endpoints are busy", std::max(expected, COME_BACK));
        return;
    }
    room.m_lanes[request.m_organisation].push_back(flight);
    ++room.m_count;
}

Forwarder::FlightPtr Forwarder::takeNext(WaitingRoom& room) {
    auto lane = room.m_lanes.upper_bound(room.m_lastServed);
    if (lane == room.m_lanes.end()) {
        lane = room.m_lanes.begin();
    }
    room.m_lastServed = lane->first;
    const FlightPtr flight = lane->second.front();
    lane->second.pop_front();
    --room.m_count;
    if (lane->second.empty()) {
        room.m_lanes.erase(lane);
    }
    return flight;
}

void Forwarder::dispatchWaiting() {
    for (auto& [service, room] : m_waiting) {
        while (room.m_count > 0 && m_endpoints.choose(service, {}, m_loop.now()).has_value()) {
            const FlightPtr flight = takeNext(room);
            if (!trySend(flight)) {
                const std::string& organisation = flight->m_exchange->getRequest().m_organisation;
                room.m_lanes[organisation].push_front(flight);
                ++room.m_count;
                break;
            }
        }
    }
}

std::size_t Forwarder::countWaiting() const {
    std::size_t count = 0;
    for (const auto& [service, room] : m_waiting) {
        count += room.m_count;
    }
    return count;
}

void Forwarder::detach(const FlightPtr& flight) {
    if (flight->m_number == 0) {
        return;
    }
    m_flights.erase(flight->m_number);
    flight->m_number = 0;
    m_loop.cancel(flight->m_fateTimer);
    flight->m_fateTimer = TimerId::NONE;
    Endpoint* const endpoint = m_endpoints.find(flight->m_endpoint);
    if (endpoint != nullptr && endpoint->m_inFlight > 0) {
        --endpoint->m_inFlight;
    }
}

Forwarder::FlightPtr Forwarder::endAttempt(const RequestId& id, std::string_view endpoint) {
    const auto found = m_flights.find(id.m_number);
    const bool isOurs = id.m_gateway == m_settings.m_instance && found != m_flights.end() &&
                        found->second->m_endpoint == endpoint;
    if (!isOurs) {
        ++m_counts.m_late;
        return nullptr;
    }
    const FlightPtr flight = found->second;
    detach(flight);
    return flight;
}

void Forwarder::handleFrame(std::string_view endpoint, const Frame& frame) {
    if (const auto* const answer = std::get_if<ForwardAnswer>(&frame)) {
        handleAnswer(endpoint, *answer);
    } else if (const auto* const report = std::get_if<FateReport>(&frame)) {
        handleFate(endpoint, *report);
    } else if (const auto* const load = std::get_if<LoadReport>(&frame)) {
        Endpoint* const known = m_endpoints.find(endpoint);
        if (known != nullptr) {
            known->m_load = *load;
        }
    } else {
        return;
    }
    dispatchWaiting();
}

void Forwarder::handleAnswer(std::string_view endpoint, const ForwardAnswer& answer) {
    const FlightPtr flight = endAttempt(answer.m_id, endpoint);
    if (flight == nullptr) {
        return;
    }
    m_endpoints.noteSuccess(endpoint);
    const auto took = static_cast<double>((m_loop.now() - flight->m_sentAt).count());
    m_serviceMillis += SERVICE_TIME_GAIN * (took - m_serviceMillis);
    CallerAnswer final;
    final.m_status = answer.m_status;
    final.m_outcome = CallerOutcome::RAN;
    final.m_headers = answer.m_headers;
    final.m_body = answer.m_body;
    flight->m_exchange->answer(final);
}

void Forwarder::handleFate(std::string_view endpoint, const FateReport& report) {
    if (report.m_fate == RequestFate::RUNNING) {
        const auto found = m_flights.find(report.m_id.m_number);
        if (found != m_flights.end()) {
            // The sidecar has it and will answer.
            m_loop.cancel(found->second->m_fateTimer);
            found->second->m_fateTimer = TimerId::NONE;
        }
        return;
    }
    const FlightPtr flight = endAttempt(report.m_id, endpoint);
    if (flight == nullptr) {
        return;
    }
    if (report.m_isEndpointFailure) {
        m_endpoints.noteFailure(endpoint, m_loop.now());
    }
    const bool isRepeatable = flight->m_exchange->getRequest().m_isRepeatable;
    flight->m_mayHaveRun = flight->m_mayHaveRun || report.m_fate != RequestFate::NOT_RUN;
    if (report.m_fate == RequestFate::NOT_RUN || isRepeatable) {
        retryElsewhere(flight, report.m_reason);
        return;
    }
    CallerAnswer answer = makeUnknown(HTTP_BAD_GATEWAY, report.m_reason);
    if (report.m_fate == RequestFate::FAILED) {
        answer.m_outcome = CallerOutcome::FAILED;
    }
    flight->m_exchange->answer(answer);
}

void Forwarder::retryElsewhere(const FlightPtr& flight, std::string_view reason) {
    const CallerExchangePtr exchange = flight->m_exchange;
    const bool isAllowed = flight->m_attempts < m_settings.m_maxAttempts && m_budget.take() &&
                           m_endpoints.hasUsable(exchange->getRequest().m_service, flight->m_tried);
    if (!isAllowed) {
        giveUp(flight, reason, COME_BACK);
        return;
    }
    ++m_counts.m_retried;
    dispatch(flight);
}

void Forwarder::giveUp(const FlightPtr& flight, std::string_view reason, Millis retryAfter) {
    flight->m_exchange->answer(flight->m_mayHaveRun
                                       ? makeUnknown(HTTP_BAD_GATEWAY, reason)
                                       : makeNotRun(HTTP_UNAVAILABLE, reason, retryAfter));
}

void Forwarder::leaveWaitingRoom(const FlightPtr& flight) {
    const CallerRequest& request = flight->m_exchange->getRequest();
    const auto room = m_waiting.find(request.m_service);
    if (room == m_waiting.end()) {
        return;
    }
    const auto lane = room->second.m_lanes.find(request.m_organisation);
    if (lane == room->second.m_lanes.end()) {
        return;
    }
    room->second.m_count -= std::erase(lane->second, flight);
    if (lane->second.empty()) {
        room->second.m_lanes.erase(lane);
    }
}

void Forwarder::handleLinked(std::string_view endpoint, std::string_view instance) {
    std::vector<FlightPtr> there;
    for (const auto& [number, flight] : m_flights) {
        if (flight->m_endpoint == endpoint) {
            there.push_back(flight);
        }
    }
    for (const FlightPtr& flight : there) {
        if (flight->m_instance == instance) {
            ++m_counts.m_fateQueries;
            m_channel.sendToEndpoint(endpoint, FateQuery{getId(*flight)});
            continue;
        }
        detach(flight);
        flight->m_exchange->answer(makeUnknown(
                HTTP_BAD_GATEWAY, "the process beside the endpoint was replaced meanwhile"));
    }
    dispatchWaiting();
}

void Forwarder::handleUnlinked(std::string_view endpoint) {
    m_endpoints.noteFailure(endpoint, m_loop.now());
    std::vector<FlightPtr> there;
    for (const auto& [number, flight] : m_flights) {
        if (flight->m_endpoint == endpoint) {
            there.push_back(flight);
        }
    }
    for (const FlightPtr& flight : there) {
        handleCut(flight);
    }
}

void Forwarder::handleCut(const FlightPtr& flight) {
    if (flight->m_exchange->getRequest().m_isRepeatable) {
        detach(flight);
        flight->m_mayHaveRun = true;
        retryElsewhere(flight, "the link to the endpoint was cut");
        return;
    }
    m_loop.cancel(flight->m_fateTimer);
    flight->m_fateTimer =
            m_loop.callLater(m_settings.m_fateWait, [this, alive = m_isAlive, flight] {
                if (!*alive) {
                    return;
                }
                flight->m_fateTimer = TimerId::NONE;
                detach(flight);
                flight->m_exchange->answer(
                        makeUnknown(HTTP_BAD_GATEWAY, "the link to the endpoint was cut"));
            });
}

void Forwarder::handleDeadline(const FlightPtr& flight) {
    if (flight->m_exchange->isDone()) {
        return;
    }
    if (flight->m_number == 0) {
        giveUp(flight, "no slot came free before the deadline", COME_BACK);
        return;
    }
    CallerAnswer answer = makeUnknown(HTTP_TIMEOUT, "the endpoint did not answer in time");
    flight->m_exchange->answer(answer);
}

void Forwarder::handleDone(const FlightPtr& flight) {
    m_loop.cancel(flight->m_deadlineTimer);
    flight->m_deadlineTimer = TimerId::NONE;
    if (flight->m_number == 0) {
        leaveWaitingRoom(flight);
        return;
    }
    // Given up by the caller or the deadline: what has not started there must not start.
    ++m_counts.m_cancelled;
    m_channel.sendToEndpoint(flight->m_endpoint, CancelRequest{getId(*flight)});
    detach(flight);
}

}  // namespace pierbank
