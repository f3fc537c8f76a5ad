// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WORKERPOOL_H
#define PIERBANK_CONTROL_WORKERPOOL_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "pierbank/base/EventLoop.h"
#include "pierbank/wire/Transport.h"

namespace pierbank {

/** Settings of the WorkerPool. */
struct WorkerPoolSettings {
    /** Name of the gateway that leads. */
    std::string m_node;
    /**
     * Length of the lease that is granted with each renewal, counted from the request of the
     * sidecar.
     */
    Millis m_leaseDuration{4500};
    /** Fraction by which the steady clock of a worker may be slow, which prolongs its lease. */
    double m_maxClockDrift = 0.03;
    /**
     * Longest lease that a worker accepts, whatever length is requested. Guaranteed by the
     * platform's contract.
     */
    Millis m_maxWorkerLease{6000};
    /**
     * How long a leader that cannot reach the store continues to grant leases after its leadership
     * was last confirmed.
     */
    Millis m_outageGrace{10'000};
    /** Delay before connecting again to an unreachable sidecar. */
    Millis m_reconnectDelay{250};
    /** Shortest interval between the lease requests of a host. */
    Millis m_minRequestInterval{500};
    /**
     * Maximum rate of lease requests from all hosts together, as far as the length of the lease
     * permits.
     */
    double m_requestsPerSecond = 650;
    /**
     * Longest interval between the lease requests of a host, as a share of the lease length. With
     * one third, two consecutive requests may be lost.
     */
    double m_requestIntervalShare = 1.0 / 3;
    /**
     * A link that has been idle for longer than the request interval plus this time is assumed to
     * belong to a previous process, if its host registers again.
     */
    Millis m_idleSlack{200};
    /** A link that has been idle for longer than the request interval plus this time is closed. */
    Millis m_linkTimeout{1500};
    /**
     * Maximum number of links that are opened concurrently. A leader that opens all links at once
     * is blocked until all are open, and cannot even renew the lease of its leadership.
     */
    std::size_t m_maxOpeningLinks = 32;
    /**
     * Time after which a host that is still opening its link no longer delays the opening of other
     * links.
     */
    Millis m_linkOpenTimeout{100};
    /**
     * Time after which an unreachable host is removed; a host that is still alive registers again.
     * About a third of the hosts may be replaced each day, and their addresses would accumulate.
     */
    Millis m_hostExpiry{600'000};
};

/**
 * The link over which a request came. Another process may be behind the next link to the same
 * address, and it numbers its requests like the previous process. An answer is therefore sent over
 * the link of its request or not at all; see WorkerPool::answer().
 */
struct RequestOrigin {
    /** Address of the host. */
    std::string m_host;
    /** Number of the link, for the log. */
    std::uint64_t m_linkNumber = 0;
    std::weak_ptr<Link> m_link;
};

/** Receives the reports of the sidecars. Hosts are named by the address of the sidecar. */
class WorkerPoolListener {
public:
    virtual ~WorkerPoolListener() = default;
    /**
     * The capacity, the attributes or the incarnation of the worker changed, or the link to its
     * host was opened or closed.
     */
    virtual void handleWorkerChanged(const std::string& host) = 0;
    /** The sidecar reported the running and the finished runs of its worker. */
    virtual void handleRunReport(const std::string& host, const RunReport& report) = 0;
    /** The sidecar reported that a run is not on its worker and can no longer start there. */
    virtual void handleRunAbsent(const std::string& host, const RunAbsent& absent) = 0;
    /** A gateway has written this record under input/. */
    virtual void handleInputNotice(const InputNotice& notice) = 0;
    /** A gateway that cannot reach the store forwards the request of a caller. */
    virtual void handleRelayedRequest(const RequestOrigin& origin,
                                      const RelayedRequest& request) = 0;
    /** A gateway queries the age of the configuration. */
    virtual void handleGatewayQuery(const RequestOrigin& origin, const GatewayQuery& query) = 0;
    /** The sidecar gave back what a leader told it to keep; precedes its first report. */
    virtual void handleKeptRecord(const std::string& host, const KeptRecord& kept) = 0;
    /**
     * The lease of the host lapsed: all runs that were started there under earlier leases have
     * certainly ended.
     */
    virtual void handleHostLost(const std::string& host) = 0;
    /** The host was unreachable for so long that the pool removed it. */
    virtual void handleHostExpired(const std::string& host) = 0;
};

/**
 * Maintains the links from the leader to all hosts, both sidecars and gateways, and grants the
 * leases under which workers run tasks.
 *
 * Owned by the controller of the leader; used on the event loop only.
 */
class WorkerPool {
public:
    /** State of one host. */
    struct Host {
        std::string m_address;
        std::shared_ptr<Link> m_link;
        /** Number of the last link to this host in this term, from 1. */
        std::uint64_t m_linkNumber = 0;
        std::optional<WorkerNotice> m_notice;
        /**
         * The last incarnation that announced its shutdown or has shut down. The end of this
         * incarnation is not a crash.
         */
        std::string m_leavingIncarnation;
        /**
         * When the notice arrived. The remaining time of a draining worker is counted from this
         * moment.
         */
        Millis m_noticeAt{0};
        /** Whether a run report arrived over the present link. */
        bool m_hasReport = false;
        /** Fitness of the gateway on this host for leadership; empty for a sidecar. */
        std::optional<std::uint32_t> m_fitness;
        bool m_isConnecting = false;
        /** Whether the lease lapsed and no new lease was granted since. */
        bool m_isLost = false;
        /** Whether the sidecar is running but its worker does not answer. */
        bool m_isWorkerUnresponsive = false;
        Millis m_lastReceivedAt{0};
        /** Time after which no task can be running on the host. */
        Millis m_leaseEnd{0};
        /**
         * Lower bound of m_leaseEnd. A call to the previous process of the worker that was
         * executed by the present process contains a time on the clock of the previous process,
         * which may be far ahead of the restarted clock.
         */
        Millis m_minLeaseEnd{0};
        /**
         * Orders that no report has listed yet, each with the time when it was sent. The worker may
         * restart while an order is in transit, without the leader being informed. The lease of a
         * run that the new process then starts is based on the clock of the previous process.
         */
        std::map<std::pair<std::string, std::uint32_t>, Millis> m_unreportedOrders;

        /** Returns whether a link to the host is open. */
        bool isLinked() const noexcept { return m_link != nullptr; }
    };

    /** The references must outlive the pool. */
    WorkerPool(Transport& transport, EventLoop& loop, WorkerPoolListener& listener,
               WorkerPoolSettings settings);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /**
     * Begins a term of leadership.
     *
     * @param epoch epoch of the leadership.
     * @param getConfirmedAt returns when the leadership was last confirmed.
     */
    void start(std::uint64_t epoch, std::function<Millis()> getConfirmedAt);
    /** Ends the term: closes all links and removes all hosts. */
    void stop();

    /** Adds a host and connects to it. For a known host, connects again if needed. */
    void addHost(const std::string& address);
    /**
     * Sets the hosts to which links are opened first. Must be called before these hosts are added.
     */
    void setPriorityHosts(std::set<std::string, std::less<>> hosts);
    /**
     * Returns whether some hosts that were known at the start of the term are neither linked nor
     * timed out.
     */
    bool isOpeningInitialLinks() const noexcept { return m_isOpeningInitialLinks; }

    /** Linked gateways, as counted at the last periodic check. */
    struct Gateways {
        std::uint32_t m_count = 0;
        std::uint32_t m_bestFitness = 0;
    };
    /** Returns the number of linked gateways and their best fitness for leadership. */
    const Gateways& getGateways() const noexcept { return m_gateways; }
    /** Returns the interval at which hosts must request their lease. */
    Millis getRequestInterval() const;
    /** Returns all hosts by address. */
    const std::map<std::string, Host>& getHosts() const noexcept { return m_hosts; }
    /** Returns the host, or null if it is unknown. */
    const Host* findHost(const std::string& address) const;

    /**
     * Sends a frame to a host.
     *
     * @return false if the host has no link.
     */
    bool send(const std::string& host, const Frame& frame);
    /**
     * Sends the answer to a request over the link of the request.
     *
     * @return false if that link has ended; the answer is then dropped.
     */
    bool answer(const RequestOrigin& origin, const Frame& frame);

private:
    void enqueueConnect(const std::string& address);
    void openQueuedLinks();
    void finishOpening(const std::string& address);
    void connect(const std::string& address);
    void handleConnected(const std::string& address, std::shared_ptr<Link> link);
    void scheduleReconnect(const std::string& address);
    void handleLink(const std::string& address, std::shared_ptr<Link> link);
    void handleFrame(const std::string& address, const std::shared_ptr<Link>& link,
                     const Frame& frame);
    void reconnect(Host& host);
    void answerLeaseRequest(Host& host, const LeaseRequest& leaseRequest);
    void dropLink(const std::string& address, std::string_view reason);
    void tick();
    void countGateways();
    void removeExpiredHosts();
    Millis getMaxLease() const;
    Millis addClockDrift(Millis lease) const;
    void applyNotice(Host& host, const WorkerNotice& notice);
    void applyReport(Host& host, const RunReport& report);
    void recordOrder(Host& host, const RunOrder& order);
    Millis getMinLeaseEnd(const Host& host) const;

    Transport& m_transport;
    EventLoop& m_loop;
    WorkerPoolListener& m_listener;
    const WorkerPoolSettings m_settings;
    std::function<Millis()> m_getConfirmedAt;
    std::uint64_t m_epoch = 0;
    std::map<std::string, Host> m_hosts;
    Gateways m_gateways;
    std::set<std::string, std::less<>> m_priorityHosts;
    /** Hosts whose links wait to be opened; priority hosts are at the front. */
    std::deque<std::string> m_openQueue;
    bool m_isOpeningInitialLinks = false;
    /**
     * Hosts whose links are being opened, with the timer after which they no longer delay others.
     */
    std::map<std::string, TimerId> m_opening;
    /**
     * Number of links to each host in this term. Counts of removed hosts are retained, since their
     * workers may still be running.
     */
    std::map<std::string, std::uint64_t> m_linkCounts;
    /** Replaced by start() and stop(), so that callbacks of earlier terms are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERPOOL_H
