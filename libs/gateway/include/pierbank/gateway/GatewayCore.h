// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_GATEWAY_GATEWAYCORE_H
#define PIERBANK_GATEWAY_GATEWAYCORE_H

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pierbank/gateway/GatewaySettings.h"
#include "pierbank/gateway/Metrics.h"
#include "pierbank/gateway/SidecarPool.h"
#include "pierbank/request/RepeatFilter.h"

namespace pierbank {

/**
 * A gateway without its HTTP servers. It puts the parts together: controllers own the state (host
 * list, configuration, endpoints, schedule), and filters take callers' requests through it.
 */
class GatewayCore final : public OperatorBackend {
public:
    /** The references must outlive the core. */
    GatewayCore(EventLoop& loop, Random& random, Transport& transport, KeyValueService& service,
                HostList& hostList, const GatewaySettings& settings);
    ~GatewayCore() override;
    GatewayCore(const GatewayCore&) = delete;
    GatewayCore& operator=(const GatewayCore&) = delete;

    void start();

    /** A caller's request: it is answered through the exchange. */
    void handleRequest(const CallerExchangePtr& exchange);

    /**
     * A planned stop: gives the leadership up, takes no new requests, finishes those in progress.
     * `done` is called when none is left or the drain time is over.
     */
    void leave(std::function<void()> done);

    bool isLeading() const override { return m_schedule.isLeading(); }
    std::optional<Address> getLeader() const override;
    void execute(StatementRequest request, StatementCallback done) override;
    std::string getHealth() const override;
    std::string getMetrics() const override;

private:
    void pollHosts();
    void setHosts(const std::vector<Host>& hosts);
    void applyDrains();
    void handleConfiguration();
    void handleLinked(const Host& host, const Hello& hello);
    void handleUnlinked(const Host& host);
    void handleFrame(const Host& host, const Frame& frame);
    void setUpLinks();
    void setUpFilters();
    bool isKnownOrganisation(std::string_view name) const;
    Table makeEndpointTable() const;
    Table makeConfigurationTable() const;
    ConfigurationPush makePush() const;
    bool isConfirmed() const;

    EventLoop& m_loop;
    HostList& m_hostList;
    const GatewaySettings m_settings;
    const std::string m_instance;
    ConfigurationController m_configuration;
    SidecarPool m_pool;
    EndpointTable m_endpoints;
    Forwarder m_forwarder;
    LimitsFilter m_limitsFilter;
    OrganisationFilter m_organisationFilter;
    DeadlineFilter m_deadlineFilter;
    AdmissionFilter m_admissionFilter;
    RepeatFilter m_repeatFilter;
    FilterChain m_filters;
    LeaderElection m_election;
    ScheduleController m_schedule;
    std::uint64_t m_nextRequest = 1;
    LatencySummary m_latency;
    std::array<std::uint64_t, 4> m_outcomes{};
    std::vector<Host> m_hosts;
    /** Configuration versions that sidecars reported, by host. */
    std::map<std::string, std::uint64_t> m_versions;
    bool m_isLeaving = false;
    std::function<void()> m_onLeft;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_GATEWAY_GATEWAYCORE_H
