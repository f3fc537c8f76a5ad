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

struct WorkerPoolSettings {
    std::string m_node;
    /** A worker's tasks may run so long after its sidecar last asked. */
    Millis m_grant{4500};
    /** A worker's steady clock may be slow by this much, so its lease lasts longer. */
    double m_clockSlack = 0.03;
    /** The longest lease that a worker takes, whatever it is asked for (users' bound). */
    Millis m_longestHold{6000};
    /** A leader that can't reach the store goes on granting so long after it last did. */
    Millis m_outageGrace{10'000};
    /** Pause before a sidecar that could not be reached is tried again. */
    Millis m_reconnectPause{250};
    /** Hosts ask this often at least, and so many in all at most while their grants allow it. */
    Millis m_minRequestInterval{500};
    double m_requestsPerSecond = 650;
    /** Of a grant, the longest time between two questions: two in a row may be lost. */
    double m_requestIntervalShare = 1.0 / 3;
    /** A link over which nothing came for so much longer than hosts are told to wait between two
     * questions is not that of a host that registers now. */
    Millis m_idleSlack{200};
    /** The same, and it is given up. */
    Millis m_linkTimeout{1500};
    /**
     * Links that are opened at the same time. A leader that opens all at once does nothing else
     * for as long as that takes, not even renew the lease under which it leads.
     */
    std::size_t m_maxOpeningLinks = 32;
    /** A host that does not answer for so long does not keep others waiting. */
    Millis m_linkOpenTimeout{100};
    /** A host out of reach for so long is forgotten; if it lives it registers again. Hosts are
     * replaced every day (240 of 690), and their addresses must not gather. */
    Millis m_hostExpiry{600'000};
};

/** Told of what the sidecars report. Hosts are named by the sidecar's address. */
class WorkerPoolListener {
public:
    virtual ~WorkerPoolListener() = default;
    /** What the host's worker has, or its life, changed; or its link came or went. */
    virtual void handleWorkerChanged(const std::string& host) = 0;
    virtual void handleRunReport(const std::string& host, const RunReport& report) = 0;
    virtual void handleRunAbsent(const std::string& host, const RunAbsent& absent) = 0;
    /** A gateway has written this under input/. */
    virtual void handleInputNotice(const InputNotice& notice) = 0;
    /** A gateway that can't reach the store asks for a caller's request to be answered. */
    virtual void handleRelayed(const std::string& host, const RelayedRequest& request) = 0;
    /** A gateway asks how old the configuration is. */
    virtual void handleGatewayQuery(const std::string& host, const GatewayQuery& ask) = 0;
    /** Whatever ran there under an earlier grant has surely stopped. */
    virtual void handleHostLost(const std::string& host) = 0;
    /** It was out of reach for so long that the pool has forgotten it. */
    virtual void handleHostExpired(const std::string& host) = 0;
};

/** The leader's links to all sidecars, and the grants under which workers run tasks. */
class WorkerPool {
public:
    /** What is known of one host. */
    struct Host {
        std::string m_address;
        std::shared_ptr<Link> m_link;
        std::optional<WorkerNotice> m_notice;
        /** The last life that said that it leaves, or has left: its end is no crash. */
        std::string m_leavingIncarnation;
        /** When the notice came; the time that a draining worker stays counts from then. */
        Millis m_noticeAt{0};
        /** The running tasks were reported over this link. */
        bool m_hasReport = false;
        /** Empty for a sidecar; how well the gateway there could lead. */
        std::optional<std::uint32_t> m_fitness;
        bool m_isConnecting = false;
        bool m_isLost = false;
        /** The sidecar lives, and its worker does not answer it. */
        bool m_isWorkerUnresponsive = false;
        Millis m_lastReceivedAt{0};
        /** Until when tasks may run there at the latest. */
        Millis m_grantedUntil{0};
        /**
         * Not before: a call to the worker's former process that the present one carried out names
         * a time of the former's clock, which may be far ahead of a clock that began anew.
         */
        Millis m_minLeaseEnd{0};
        /**
         * Orders that no report has shown yet, and when each was sent. The worker may start again
         * while one is on its way, without anybody hearing of it: what it begins then is leased by
         * a time of the former process's clock.
         */
        std::map<std::pair<std::string, std::uint32_t>, Millis> m_unreportedOrders;

        bool isLinked() const noexcept { return m_link != nullptr; }
    };

    /** The references must outlive the pool. */
    WorkerPool(Transport& transport, EventLoop& loop, WorkerPoolListener& listener,
               WorkerPoolSettings settings);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /** Begins to lead. @param getConfirmedAt when the leadership was last confirmed. */
    void start(std::uint64_t epoch, std::function<Millis()> getConfirmedAt);
    void stop();

    void addHost(const std::string& address);
    /** These are linked before others; call it before they are added. */
    void setPriorityHosts(std::set<std::string, std::less<>> hosts);
    /** Hosts that were known at the start of the term are not all linked, and have not had their
     * time. */
    bool isOpeningInitialLinks() const noexcept { return m_isOpeningInitialLinks; }

    /** Gateways that are linked, as counted a moment ago. */
    struct Gateways {
        std::uint32_t m_count = 0;
        std::uint32_t m_bestFitness = 0;
    };
    const Gateways& getGateways() const noexcept { return m_gateways; }
    /** How long hosts are told to wait between two questions. */
    Millis getRequestInterval() const;
    const std::map<std::string, Host>& getHosts() const noexcept { return m_hosts; }
    const Host* findHost(const std::string& address) const;

    /** @return false when the host has no link. */
    bool send(const std::string& host, const Frame& frame);

private:
    void connectSoon(const std::string& address);
    void openNext();
    void noteOpened(const std::string& address);
    void connect(const std::string& address);
    void handleConnected(const std::string& address, std::shared_ptr<Link> link);
    void connectLater(const std::string& address);
    void handleLink(const std::string& address, std::shared_ptr<Link> link);
    void handleFrame(const std::string& address, const Frame& frame);
    void reconnect(Host& host);
    void answerLeaseRequest(Host& host, const LeaseRequest& ask);
    void dropLink(const std::string& address, std::string_view why);
    void tick();
    void countGateways();
    void removeExpiredHosts();
    Millis getLongestGrant() const;
    Millis withSlack(Millis lease) const;
    void takeNotice(Host& host, const WorkerNotice& notice);
    void takeReport(Host& host, const RunReport& report);
    void noteOrder(Host& host, const RunOrder& order);
    Millis getLeastUntil(const Host& host) const;

    Transport& m_transport;
    EventLoop& m_loop;
    WorkerPoolListener& m_listener;
    const WorkerPoolSettings m_settings;
    std::function<Millis()> m_getConfirmedAt;
    std::uint64_t m_epoch = 0;
    std::map<std::string, Host> m_hosts;
    Gateways m_gateways;
    std::set<std::string, std::less<>> m_priorityHosts;
    /** Hosts whose links wait to be opened; urgent ones at the front. */
    std::deque<std::string> m_toOpen;
    bool m_isOpeningInitialLinks = false;
    /** Hosts whose links are being opened, and until when others wait for that. */
    std::map<std::string, TimerId> m_opening;
    /** Links to each host in this term; kept when a host is forgotten, since its worker may live.
     */
    std::map<std::string, std::uint64_t> m_linkCounts;
    /** Replaced with each start() and stop(), so that callbacks of before are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WORKERPOOL_H
