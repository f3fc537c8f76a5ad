// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerPool.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Interval of the check for idle links and lapsed leases. */
constexpr Millis TICK_INTERVAL{200};
constexpr double MILLIS_PER_SECOND = 1000.0;

}  // namespace

WorkerPool::WorkerPool(Transport& transport, EventLoop& loop, WorkerPoolListener& listener,
                       WorkerPoolSettings settings)
        : m_transport(transport),
          m_loop(loop),
          m_listener(listener),
          m_settings(std::move(settings)) {}

WorkerPool::~WorkerPool() {
    stop();
}

void WorkerPool::start(std::uint64_t epoch, std::function<Millis()> getConfirmedAt) {
    stop();
    m_epoch = epoch;
    m_getConfirmedAt = std::move(getConfirmedAt);
    m_term = std::make_shared<bool>(true);
    tick();
}

void WorkerPool::stop() {
    m_term.reset();
    for (auto& [address, host] : m_hosts) {
        if (host.m_link != nullptr) {
            host.m_link->close();
        }
    }
    m_hosts.clear();
    m_linkCounts.clear();
    m_priorityHosts.clear();
    m_openQueue.clear();
    for (const auto& [address, timer] : std::exchange(m_opening, {})) {
        m_loop.cancel(timer);
    }
}

void WorkerPool::setPriorityHosts(std::set<std::string, std::less<>> hosts) {
    m_priorityHosts = std::move(hosts);
    m_isOpeningInitialLinks = true;
}

/**
 * Returns the interval between the lease requests of a host. With many hosts, these requests are
 * most of the load of a leader, since each is a message to read and a message to write. A longer
 * interval does not delay the lapse of the lease of a failed host; on average the lease lapses
 * sooner after the failure.
 */
Millis WorkerPool::getRequestInterval() const {
    const double millisPerRequest = MILLIS_PER_SECOND / m_settings.m_requestsPerSecond;
    const Millis intervalAtMaxRate(
            std::llround(millisPerRequest * static_cast<double>(m_hosts.size())));
    const Millis longest(std::llround(m_settings.m_requestIntervalShare *
                                      static_cast<double>(m_settings.m_leaseDuration.count())));
    return std::max(m_settings.m_minRequestInterval, std::min(intervalAtMaxRate, longest));
}

/** Returns the longest time that a lease may last on the slow clock of a worker. */
Millis WorkerPool::addClockDrift(Millis lease) const {
    const double drift = m_settings.m_maxClockDrift * static_cast<double>(lease.count());
    return lease + Millis(static_cast<std::int64_t>(drift));
}

Millis WorkerPool::getMaxLease() const {
    return addClockDrift(m_settings.m_leaseDuration);
}

void WorkerPool::addHost(const std::string& address) {
    if (m_term == nullptr) {
        return;
    }
    const auto known = m_hosts.find(address);
    if (known != m_hosts.end()) {
        reconnect(known->second);
        return;
    }
    Host& host = m_hosts[address];
    host.m_address = address;
    host.m_lastReceivedAt = m_loop.now();
    // A previous leader without access to the store may continue to grant leases until its grace
    // period ends.
    host.m_leaseEnd = m_loop.now() + m_settings.m_outageGrace + getMaxLease();
    enqueueConnect(address);
}

const WorkerPool::Host* WorkerPool::findHost(const std::string& address) const {
    const auto found = m_hosts.find(address);
    return found == m_hosts.end() ? nullptr : &found->second;
}

bool WorkerPool::send(const std::string& host, const Frame& frame) {
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !found->second.isLinked()) {
        return false;
    }
    if (const auto* const order = std::get_if<RunOrder>(&frame)) {
        recordOrder(found->second, *order);
    }
    return found->second.m_link->send(frame);
}

bool WorkerPool::answer(const RequestOrigin& origin, const Frame& frame) {
    const Host* const host = findHost(origin.m_host);
    const auto link = origin.m_link.lock();
    return host != nullptr && link != nullptr && host->m_link == link && link->send(frame);
}

/** Records an order that is being sent, and extends the time until which its run may last. */
void WorkerPool::recordOrder(Host& host, const RunOrder& order) {
    host.m_unreportedOrders[{order.m_task, order.m_run}] = m_loop.now();
    host.m_leaseEnd = std::max(host.m_leaseEnd, getMinLeaseEnd(host));
}

/**
 * Returns the time by which all runs end that an undetected process of the worker may have started.
 */
Millis WorkerPool::getMinLeaseEnd(const Host& host) const {
    Millis until = host.m_minLeaseEnd;
    for (const auto& [run, sentAt] : host.m_unreportedOrders) {
        until = std::max(until, sentAt + addClockDrift(m_settings.m_maxWorkerLease));
    }
    return until;
}

/**
 * Removes the listed runs from the unreported orders, since they were started by the process that
 * the report describes, with a lease on the clock of that process. Also removes orders that are
 * older than the longest lease.
 */
void WorkerPool::applyReport(Host& host, const RunReport& report) {
    for (const RunningEntry& run : report.m_running) {
        host.m_unreportedOrders.erase({run.m_task, run.m_run});
    }
    for (const EndedEntry& end : report.m_ended) {
        host.m_unreportedOrders.erase({end.m_task, end.m_run});
    }
    std::erase_if(host.m_unreportedOrders, [this](const auto& order) {
        return order.second + addClockDrift(m_settings.m_maxWorkerLease) < m_loop.now();
    });
}

/** Handles a frame of a host, unless it came over another link than the present one. */
void WorkerPool::handleFrame(const std::string& address, const std::shared_ptr<Link>& link,
                             const Frame& frame) {
    const auto found = m_hosts.find(address);
    if (found == m_hosts.end() || link == nullptr || found->second.m_link != link) {
        return;
    }
    Host& host = found->second;
    host.m_lastReceivedAt = m_loop.now();
    if (const auto* const leaseRequest = std::get_if<LeaseRequest>(&frame)) {
        answerLeaseRequest(host, *leaseRequest);
    } else if (const auto* const notice = std::get_if<WorkerNotice>(&frame)) {
        applyNotice(host, *notice);
        m_listener.handleWorkerChanged(address);
    } else if (const auto* const report = std::get_if<RunReport>(&frame)) {
        const bool isFirst = !std::exchange(host.m_hasReport, true);
        applyReport(host, *report);
        m_listener.handleRunReport(address, *report);
        if (isFirst) {
            finishOpening(address);
            m_listener.handleWorkerChanged(address);
        }
    } else if (const auto* const absent = std::get_if<RunAbsent>(&frame)) {
        host.m_unreportedOrders.erase({absent->m_task, absent->m_run});
        m_listener.handleRunAbsent(address, *absent);
    } else if (const auto* const input = std::get_if<InputNotice>(&frame)) {
        m_listener.handleInputNotice(*input);
    } else if (const auto* const request = std::get_if<RelayedRequest>(&frame)) {
        m_listener.handleRelayedRequest({address, host.m_linkNumber, link}, *request);
    } else if (const auto* const kept = std::get_if<KeptRecord>(&frame)) {
        m_listener.handleKeptRecord(address, *kept);
    } else if (const auto* const query = std::get_if<GatewayQuery>(&frame)) {
        host.m_fitness = query->m_fitness;
        host.m_isLost = false;
        host.m_leaseEnd = m_loop.now() + getMaxLease();
        finishOpening(address);
        m_listener.handleGatewayQuery({address, host.m_linkNumber, link}, *query);
    }
}

void WorkerPool::applyNotice(Host& host, const WorkerNotice& notice) {
    if (!host.m_notice.has_value() || host.m_notice->m_incarnation != notice.m_incarnation) {
        host.m_minLeaseEnd = m_loop.now() + addClockDrift(m_settings.m_maxWorkerLease);
        host.m_leaseEnd = std::max(host.m_leaseEnd, host.m_minLeaseEnd);
    }
    host.m_notice = notice;
    host.m_noticeAt = m_loop.now();
    if (notice.m_isDraining || notice.m_hasExited) {
        host.m_leavingIncarnation = notice.m_incarnation;
    }
}

/**
 * Renews the lease of a host, unless its worker is unresponsive or the leadership was last
 * confirmed more than m_outageGrace ago.
 */
void WorkerPool::answerLeaseRequest(Host& host, const LeaseRequest& leaseRequest) {
    if (host.m_isWorkerUnresponsive != leaseRequest.m_isWorkerUnresponsive) {
        host.m_isWorkerUnresponsive = leaseRequest.m_isWorkerUnresponsive;
        logEvent(Severity::WARNING, "workers", "worker-silence",
                 {{"host", host.m_address},
                  {"silent", leaseRequest.m_isWorkerUnresponsive ? "yes" : "no"},
                  {"lease_ms", std::to_string((host.m_leaseEnd - m_loop.now()).count())}});
    }
    const Millis sinceConfirmed = m_loop.now() - m_getConfirmedAt();
    if (sinceConfirmed > m_settings.m_outageGrace || leaseRequest.m_isWorkerUnresponsive) {
        return;
    }
    host.m_leaseEnd = std::max(host.m_leaseEnd, m_loop.now() + getMaxLease());
    if (host.m_hasReport) {
        // The runs on the host are now known to this leader, so that leases granted by previous
        // leaders no longer matter.
        host.m_leaseEnd = std::max(m_loop.now() + getMaxLease(), getMinLeaseEnd(host));
    }
    host.m_isLost = false;
    const auto ttl = static_cast<std::uint64_t>(m_settings.m_leaseDuration.count());
    const auto nextRequestMs = static_cast<std::uint64_t>(getRequestInterval().count());
    host.m_link->send(LeaseRenewal{m_epoch, leaseRequest.m_sequence, ttl, nextRequestMs});
}

/** Closes idle links, reports hosts whose leases have lapsed, and removes expired hosts. */
void WorkerPool::tick() {
    std::vector<std::string> unresponsive;
    std::vector<std::string> lost;
    const Millis now = m_loop.now();
    const Millis timeout = getRequestInterval() + m_settings.m_linkTimeout;
    for (auto& [address, host] : m_hosts) {
        if (host.isLinked() && now - host.m_lastReceivedAt > timeout) {
            unresponsive.push_back(address);
        }
        if (!host.m_isLost && now > host.m_leaseEnd) {
            host.m_isLost = true;
            lost.push_back(address);
        }
    }
    for (const std::string& address : unresponsive) {
        dropLink(address, "silent");
    }
    for (const std::string& address : lost) {
        logEvent(Severity::WARNING, "workers", "host-lost", {{"host", address}});
        m_listener.handleHostLost(address);
    }
    countGateways();
    removeExpiredHosts();
    m_loop.callLater(TICK_INTERVAL, [this, term = std::weak_ptr(m_term)] {
        if (!term.expired()) {
            tick();
        }
    });
}

void WorkerPool::countGateways() {
    m_gateways = Gateways();
    for (const auto& [address, host] : m_hosts) {
        if (host.isLinked() && host.m_fitness.has_value()) {
            ++m_gateways.m_count;
            m_gateways.m_bestFitness = std::max(m_gateways.m_bestFitness, *host.m_fitness);
        }
    }
}

void WorkerPool::removeExpiredHosts() {
    std::vector<std::string> expiredHosts;
    for (const auto& [address, host] : m_hosts) {
        const bool isExpired = !host.isLinked() && host.m_isLost &&
                               m_loop.now() - host.m_lastReceivedAt > m_settings.m_hostExpiry;
        if (isExpired) {
            expiredHosts.push_back(address);
        }
    }
    for (const std::string& address : expiredHosts) {
        m_hosts.erase(address);
        logEvent(Severity::WARNING, "workers", "host-forgotten",
                 {{"host", address},
                  {"out_of_reach_s", std::to_string(m_settings.m_hostExpiry.count() / 1000)}});
        m_listener.handleHostExpired(address);
    }
}

}  // namespace pierbank
