// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/GatewayCore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** A gateway that the service has not confirmed for this long says so (letter 1: 11 s). */
constexpr Millis CONFIRM_BOUND{11'000};
/** After the last answer was written, the connections get this long to send it. */
constexpr Millis FLUSH_TIME{200};

GatewaySettings withInstance(GatewaySettings settings, const std::string& instance) {
    settings.m_forwarder.m_instance = instance;
    return settings;
}

}  // namespace

GatewayCore::GatewayCore(EventLoop& loop, Random& random, Transport& transport,
                         KeyValueService& service, HostList& hostList,
                         const GatewaySettings& settings)
        : m_loop(loop),
          m_hostList(hostList),
          m_settings(withInstance(settings, random.token())),
          m_instance(m_settings.m_forwarder.m_instance),
          m_configuration(service, loop, random),
          m_pool(loop, random, transport,
                 [this] {
                     return Hello{m_settings.m_name, m_instance, m_configuration.get().m_version};
                 }),
          m_endpoints(m_settings.m_routing, random),
          m_forwarder(loop, m_endpoints, m_pool, m_settings.m_forwarder),
          m_limitsFilter(m_settings.m_limits),
          m_organisationFilter(m_settings.m_limits,
                               [this](std::string_view name) { return isKnownOrganisation(name); }),
          m_deadlineFilter(m_settings.m_limits),
          m_admissionFilter(m_settings.m_limits),
          m_repeatFilter(loop, service, m_settings.m_repeat),
          m_election(service, loop, m_settings.m_election),
          m_schedule(service, loop, random, m_configuration, m_pool, m_settings.m_schedule) {
    setUpLinks();
    setUpFilters();
}

GatewayCore::~GatewayCore() {
    *m_isAlive = false;
}

void GatewayCore::setUpLinks() {
    SidecarPool::Callbacks callbacks;
    callbacks.m_linked = [this](const Host& host, const Hello& hello) {
        handleLinked(host, hello);
    };
    callbacks.m_unlinked = [this](const Host& host) {
        handleUnlinked(host);
    };
    callbacks.m_frame = [this](const Host& host, const Frame& frame) {
        handleFrame(host, frame);
    };
    m_pool.setCallbacks(std::move(callbacks));
}

void GatewayCore::setUpFilters() {
    m_filters.add(m_limitsFilter);
    m_filters.add(m_organisationFilter);
    m_filters.add(m_deadlineFilter);
    m_filters.add(m_admissionFilter);
    m_filters.add(m_repeatFilter);
    m_filters.add(m_forwarder);
}

void GatewayCore::start() {
    m_configuration.start([this](const Configuration&) { handleConfiguration(); });
    m_schedule.setConfirmedAt([this] { return m_election.getConfirmedAt(); });
    m_schedule.onSuperseded([this] { m_election.resign(); });
    m_election.start([this] { m_schedule.takeOver(); }, [this] { m_schedule.stepDown(); });
    pollHosts();
}

void GatewayCore::handleRequest(const CallerExchangePtr& exchange) {
    exchange->onDone([this, alive = m_isAlive,
                      arrivedAt = exchange->getArrivedAt()](const CallerAnswer* answer) {
        if (*alive && answer != nullptr) {
            ++m_outcomes.at(static_cast<std::size_t>(answer->m_outcome));
            logEvent(Severity::DEBUG, "request", "answered",
                     {{"id", answer->m_requestId},
                      {"outcome", std::string(toText(answer->m_outcome))},
                      {"status", std::to_string(answer->m_status)}});
            m_latency.add(m_loop.now() - arrivedAt);
        }
    });
    exchange->setId(RequestId{m_instance, m_nextRequest++}.toText());
    m_filters.run(exchange);
}

void GatewayCore::leave(std::function<void()> done) {
    if (m_isLeaving) {
        return;
    }
    m_isLeaving = true;
    m_onLeft = std::move(done);
    logEvent(Severity::INFO, "gateway", "leaving",
             {{"requests", std::to_string(m_admissionFilter.getCount())}});
    m_schedule.stepDown();
    const auto finish = [this, alive = m_isAlive] {
        if (*alive && m_onLeft) {
            std::exchange(m_onLeft, nullptr)();
        }
    };
    m_election.stop([this, alive = m_isAlive, finish] {
        if (*alive) {
            m_admissionFilter.leave([this, finish] { m_loop.callLater(FLUSH_TIME, finish); });
        }
    });
    m_loop.callLater(m_settings.m_drainTime, finish);
}

void GatewayCore::pollHosts() {
    m_hostList.fetch([this, alive = m_isAlive](const std::optional<std::vector<Host>>& hosts) {
        if (!*alive) {
            return;
        }
        if (hosts.has_value()) {
            setHosts(*hosts);
        }
        m_loop.callLater(m_settings.m_hostListInterval, [this, alive] {
            if (*alive) {
                pollHosts();
            }
        });
    });
}

void GatewayCore::setHosts(const std::vector<Host>& hosts) {
    if (hosts == m_hosts) {
        return;
    }
    m_hosts = hosts;
    m_pool.setHosts(hosts);
    for (const Host& host : hosts) {
        if (host.m_role != HostRole::ENDPOINT) {
            continue;
        }
        Endpoint& endpoint = m_endpoints.get(host.m_name);
        endpoint.m_service = host.m_service;
        endpoint.m_failureDomain = host.m_failureDomain;
        endpoint.m_isListedLeaving = host.m_isLeaving;
    }
    m_schedule.setHosts(hosts);
    m_forwarder.handleEndpointsChanged();
}

void GatewayCore::applyDrains() {
    const auto& drained = m_configuration.get().m_drainedEndpoints;
    for (const auto& [name, known] : m_endpoints.getAll()) {
        m_endpoints.get(name).m_isDrained = drained.count(name) != 0;
    }
}

ConfigurationPush GatewayCore::makePush() const {
    return {m_configuration.get().m_version, m_configuration.getBytes()};
}

void GatewayCore::handleConfiguration() {
    applyDrains();
    m_pool.broadcast(makePush());
    m_schedule.handleConfiguration();
    m_forwarder.handleEndpointsChanged();
}

void GatewayCore::handleLinked(const Host& host, const Hello& hello) {
    m_versions[host.m_name] = hello.m_configurationVersion;
    const bool isBehind = m_configuration.hasConfiguration() &&
                          hello.m_configurationVersion < m_configuration.get().m_version;
    if (isBehind) {
        m_pool.sendToWorker(host.m_name, makePush());
    }
    if (host.m_role == HostRole::ENDPOINT) {
        m_endpoints.setLinked(host.m_name, hello.m_instance, m_loop.now());
        applyDrains();
        m_forwarder.handleLinked(host.m_name, hello.m_instance);
    } else {
        m_schedule.handleWorkerLinked(host.m_name);
    }
}

void GatewayCore::handleUnlinked(const Host& host) {
    if (host.m_role == HostRole::ENDPOINT) {
        m_endpoints.setUnlinked(host.m_name);
        m_forwarder.handleUnlinked(host.m_name);
    } else {
        m_schedule.handleWorkerUnlinked(host.m_name);
    }
}

void GatewayCore::handleFrame(const Host& host, const Frame& frame) {
    if (const auto* const push = std::get_if<ConfigurationPush>(&frame)) {
        m_configuration.offer(push->m_bytes);
        return;
    }
    if (const auto* const load = std::get_if<LoadReport>(&frame)) {
        m_versions[host.m_name] = load->m_configurationVersion;
        if (m_configuration.hasConfiguration() &&
            load->m_configurationVersion < m_configuration.get().m_version) {
            m_pool.sendToWorker(host.m_name, makePush());
        }
    }
    if (host.m_role == HostRole::ENDPOINT) {
        m_forwarder.handleFrame(host.m_name, frame);
    } else {
        m_schedule.handleWorkerFrame(host.m_name, frame);
    }
}

bool GatewayCore::isKnownOrganisation(std::string_view name) const {
    const auto& organisations = m_configuration.get().m_organisations;
    return std::any_of(organisations.begin(), organisations.end(),
                       [name](const ConfiguredOrganisation& o) { return o.m_name == name; });
}

std::optional<Address> GatewayCore::getLeader() const {
    return m_election.getLeader();
}

bool GatewayCore::isConfirmed() const {
    return m_loop.now() - m_configuration.getConfirmedAt() <= CONFIRM_BOUND;
}

void GatewayCore::execute(StatementRequest request, StatementCallback done) {
    const auto* const show = std::get_if<Show>(&request.m_statement);
    if (show != nullptr && show->m_subject == Subject::ENDPOINTS) {
        done(makeTableAnswer(makeEndpointTable(), *show));
    } else if (show != nullptr && show->m_subject == Subject::CONFIGURATION) {
        done(makeTableAnswer(makeConfigurationTable(), *show));
    } else {
        m_schedule.execute(std::move(request), std::move(done));
    }
}

Table GatewayCore::makeEndpointTable() const {
    Table table;
    table.m_columns = {"name",    "service", "domain",    "state",  "slots",
                       "running", "waiting", "in_flight", "ejected"};
    for (const auto& [name, endpoint] : m_endpoints.getAll()) {
        const std::string_view linked = endpoint.m_isLinked ? "in service" : "cut off";
        table.m_rows.push_back(
                {Cell::ofText(name), Cell::ofText(endpoint.m_service),
                 Cell::ofText(endpoint.m_failureDomain),
                 Cell::ofText(endpoint.isLeaving() ? "leaving" : linked),
                 Cell::ofNumber(endpoint.m_load.m_slots), Cell::ofNumber(endpoint.m_load.m_running),
                 Cell::ofNumber(endpoint.m_load.m_waiting), Cell::ofNumber(endpoint.m_inFlight),
                 Cell::ofText(m_loop.now() < endpoint.m_ejectedUntil ? "yes" : "no")});
    }
    return table;
}

Table GatewayCore::makeConfigurationTable() const {
    Table table;
    table.m_columns = {"node", "version", "confirmed"};
    table.m_rows.push_back({Cell::ofText(m_settings.m_name),
                            Cell::ofNumber(static_cast<double>(m_configuration.get().m_version)),
                            Cell::ofText(isConfirmed() ? "yes" : "no")});
    for (const auto& [host, version] : m_versions) {
        table.m_rows.push_back({Cell::ofText(host), Cell::ofNumber(static_cast<double>(version)),
                                Cell::ofText("-")});
    }
    return table;
}

std::string GatewayCore::getHealth() const {
    nlohmann::json health;
    health["name"] = m_settings.m_name;
    health["leading"] = m_schedule.isLeading();
    health["leaving"] = m_isLeaving;
    health["configuration_version"] = m_configuration.get().m_version;
    health["configuration_confirmed"] = isConfirmed();
    health["sidecars_linked"] = m_pool.countLinked();
    health["ready"] = m_configuration.hasConfiguration() && !m_isLeaving;
    const auto leader = m_election.getLeader();
    health["leader"] = leader.has_value() ? leader->toText() : "";
    return health.dump();
}

std::string GatewayCore::getMetrics() const {
    MetricsPage page;
    const ForwarderCounts& counts = m_forwarder.getCounts();
    page.addCounter("pierbank_requests_ran_total", "Requests whose answer was passed on.",
                    m_outcomes[static_cast<std::size_t>(CallerOutcome::RAN)]);
    page.addCounter("pierbank_requests_not_run_total", "Requests that did not and will not run.",
                    m_outcomes[static_cast<std::size_t>(CallerOutcome::NOT_RUN)]);
    page.addCounter("pierbank_requests_unknown_total", "Requests that may have run.",
                    m_outcomes[static_cast<std::size_t>(CallerOutcome::UNKNOWN)]);
    page.addCounter("pierbank_requests_failed_total", "Requests that ran, their answers lost.",
                    m_outcomes[static_cast<std::size_t>(CallerOutcome::FAILED)]);
    page.addCounter("pierbank_forwards_total", "Attempts sent to endpoints.", counts.m_sent);
    page.addCounter("pierbank_retries_total", "Attempts after the first.", counts.m_retried);
    page.addCounter("pierbank_late_answers_total", "Answers that nobody waited for.",
                    counts.m_late);
    page.addCounter("pierbank_shed_total", "Requests refused because they would be late.",
                    counts.m_shed);
    page.addCounter("pierbank_cancelled_total", "Requests given up by callers or deadlines.",
                    counts.m_cancelled);
    page.addCounter("pierbank_repeat_claims_total", "Repeat keys claimed in the service.",
                    m_repeatFilter.getClaimCount());
    page.addGauge("pierbank_requests_waiting", "Requests that wait for a slot.",
                  static_cast<double>(m_forwarder.countWaiting()));
    page.addGauge("pierbank_leading", "1 on the gateway that schedules its region.",
                  m_schedule.isLeading() ? 1 : 0);
    page.addGauge("pierbank_configuration_version", "Version in force here.",
                  static_cast<double>(m_configuration.get().m_version));
    page.addGauge("pierbank_schedule_record_bytes", "Size of the schedule record.",
                  static_cast<double>(m_schedule.getRecordSize()));
    page.addCounter("pierbank_schedule_commits_total", "Writes of the schedule record.",
                    m_schedule.getCommitCount());
    page.addSummary("pierbank_request_milliseconds", "Time of a request in the gateway.",
                    m_latency);
    return page.getText();
}

}  // namespace pierbank
