// SPDX-License-Identifier: Apache-2.0
#include "JobFleet.h"

#include <nlohmann/json.hpp>

#include "pierbank/control/StoreKeys.h"

namespace pierbank::testing {

namespace {

constexpr Millis HEARTBEAT_INTERVAL{500};
/** Number of ends that a worker lists at once; small, so that most tests meet lists that go on. */
constexpr std::size_t MAX_LISTED_ENDS = 3;

}  // namespace

JobFleet::JobFleet(std::size_t gateways, std::size_t workers, std::int64_t taskCost)
        : m_taskCostMicros(taskCost) {
    configure();
    m_gateways.resize(gateways);
    m_sidecars.resize(workers);
    for (std::size_t i = 0; i < workers; ++i) {
        m_sidecars[i].m_name = "side-" + std::to_string(i);
        // Skips 127.0.2.x, the addresses of the gateways.
        constexpr std::size_t ADDRESSES_PER_NET = 250;
        m_sidecars[i].m_address = "127.0." + std::to_string(1 + i / ADDRESSES_PER_NET * 2) + "." +
                                  std::to_string(i % ADDRESSES_PER_NET + 1) + ":7000";
        m_sidecars[i].m_worker =
                std::make_unique<FakeTaskWorker>(m_loop, m_witness, "w" + std::to_string(i));
        m_sidecars[i].m_worker->m_maxListedEnds = MAX_LISTED_ENDS;
        startSidecar(i);
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        m_gateways[i].m_name = "gateway-" + std::to_string(i);
        startGateway(i);
    }
    keepSendingHeartbeats();
}

void JobFleet::configure(const std::vector<std::string>& keys,
                         const std::vector<std::string>& keysOfSecond) {
    ++m_version;
    m_witness.m_attempts = m_attempts;
    const auto route = [this](const char* name, const char* prefix, int priority) {
        return nlohmann::json{{"name", name},   {"host", HOST},         {"path_prefix", prefix},
                              {"service", "s"}, {"priority", priority}, {"attempts", m_attempts},
                              {"stretch", 3.0}, {"slo_ms", 1000}};
    };
    nlohmann::json batch = route("batch", "/batch/", 1);
    if (m_hasAdvice) {
        batch["advice"] = {{"decide_ms", 50}, {"each_ms", 1}, {"valid_ms", 3000}};
    }
    nlohmann::json tenants = nlohmann::json::array(
            {{{"name", "a"}, {"api_keys", keys}, {"guaranteed", {{"gpu", 8}}}}});
    if (!keysOfSecond.empty()) {
        tenants.push_back({{"name", "b"}, {"api_keys", keysOfSecond}});
    }
    const nlohmann::json configuration = {{"version", m_version},
                                          {"routes", {batch, route("urgent", "/urgent/", 0)}},
                                          {"tenants", tenants}};
    m_storeState.put(std::string(CONFIGURATION_KEY), configuration.dump());
}

void JobFleet::startGateway(std::size_t index) {
    Gateway& gateway = m_gateways[index];
    gateway.m_loop = std::make_unique<ProcessLoop>(m_loop);
    gateway.m_loop->m_taskCostMicros = m_taskCostMicros;
    gateway.m_transport =
            std::make_unique<FakeTransport>(m_network, *gateway.m_loop, gateway.m_name);
    gateway.m_store =
            std::make_unique<FakeRecordStore>(m_storeState, *gateway.m_loop, gateway.m_name);
    JobCoreSettings settings;
    settings.m_leader.m_node = gateway.m_name;
    settings.m_workers.m_node = gateway.m_name;
    settings.m_configuration.m_linkMbps = m_linkMbps;
    settings.m_jobs = m_jobSettings;
    settings.m_links = {"127.0.2." + std::to_string(index + 1), 7001};
    const PlatformPorts platform{*gateway.m_store, m_advisor, m_machineFleet, m_documents};
    gateway.m_core =
            std::make_unique<JobCore>(platform, *gateway.m_loop, *gateway.m_transport, settings);
    gateway.m_backend = std::make_unique<JobBackend>(*gateway.m_store, *gateway.m_loop,
                                                     *gateway.m_core, *gateway.m_callers);
    Reason reason;
    gateway.m_core->start(reason);
}

void JobFleet::killGateway(std::size_t index) {
    Gateway& gateway = m_gateways[index];
    m_network.kill(gateway.m_name);
    gateway.m_backend.reset();
    gateway.m_core.reset();
    gateway.m_loop.reset();
}

void JobFleet::startSidecar(std::size_t index) {
    Sidecar& sidecar = m_sidecars[index];
    sidecar.m_loop = std::make_unique<ProcessLoop>(m_loop);
    sidecar.m_transport =
            std::make_unique<FakeTransport>(m_network, *sidecar.m_loop, sidecar.m_name);
    sidecar.m_store =
            std::make_unique<FakeRecordStore>(m_storeState, *sidecar.m_loop, sidecar.m_name);
    sidecar.m_agent = std::make_unique<WorkerAgent>(*sidecar.m_loop, *sidecar.m_worker,
                                                    WorkerAgentSettings());
    Reason reason;
    sidecar.m_transport->listen(
            *Address::parse(sidecar.m_address),
            [agent = sidecar.m_agent.get()](std::shared_ptr<Link> link) {
                agent->handleLink(std::move(link));
            },
            reason);
    sidecar.m_registration = std::make_unique<Registration>(
            *sidecar.m_store, *sidecar.m_loop,
            [agent = sidecar.m_agent.get()] { return agent->hasLeader(); });
    sidecar.m_registration->start(getHostKey(sidecar.m_address));
    heartbeat(index);
}

void JobFleet::killSidecar(std::size_t index) {
    Sidecar& sidecar = m_sidecars[index];
    m_network.kill(sidecar.m_name);
    sidecar.m_registration.reset();
    sidecar.m_agent.reset();
    sidecar.m_loop.reset();
}

WorkerHeartbeat JobFleet::makeHeartbeat(std::size_t index) {
    Sidecar& sidecar = m_sidecars[index];
    WorkerHeartbeat heartbeat;
    heartbeat.m_incarnation = sidecar.m_worker->getIncarnation();
    heartbeat.m_service = "s";
    heartbeat.m_rack = "r" + std::to_string(index / 2);
    heartbeat.m_labels = {"a", heartbeat.m_rack};
    heartbeat.m_capacity = sidecar.m_capacity;
    heartbeat.m_isDraining = sidecar.m_isDraining;
    heartbeat.m_remaining = sidecar.m_remaining;
    heartbeat.m_warmUpRemaining = sidecar.m_warmUpRemaining;
    heartbeat.m_failureDomain = "d" + std::to_string(index / 4);
    heartbeat.m_sequence = sidecar.m_worker->nextHeartbeatNumber();
    heartbeat.m_clock = sidecar.m_worker->getClock();
    return heartbeat;
}

void JobFleet::heartbeat(std::size_t index) {
    Sidecar& sidecar = m_sidecars[index];
    if (sidecar.m_agent == nullptr || sidecar.m_isHeartbeatSuppressed ||
        sidecar.m_worker->isDown() || sidecar.m_worker->isSuspended()) {
        return;
    }
    deliver(index, makeHeartbeat(index));
}

void JobFleet::deliver(std::size_t index, const WorkerHeartbeat& heartbeat) {
    m_sidecars[index].m_agent->handleHeartbeat(heartbeat);
}

void JobFleet::setRestartForm(RestartForm form) {
    for (Sidecar& sidecar : m_sidecars) {
        sidecar.m_worker->m_restartForm = form;
    }
}

void JobFleet::keepSendingHeartbeats() {
    for (std::size_t i = 0; i < m_sidecars.size(); ++i) {
        heartbeat(i);
    }
    m_loop.callLater(HEARTBEAT_INTERVAL, [this] { keepSendingHeartbeats(); });
}

IntakeAnswer JobFleet::sendRequest(std::size_t gateway, const std::string& method,
                                   const std::string& path, const std::string& body,
                                   const std::string& key) {
    IntakeRequest request;
    request.m_method = method;
    request.m_host = HOST;
    request.m_path = path;
    request.m_body = body;
    request.m_key = key;
    const auto answer = std::make_shared<std::optional<IntakeAnswer>>();
    m_gateways[gateway].m_core->getIntake().handle(
            request, [answer](const IntakeAnswer& got) { *answer = got; });
    constexpr Millis LIMIT{10'000};
    m_loop.advanceUntil(LIMIT, [&] { return answer->has_value(); });
    return answer->value_or(IntakeAnswer{0, "", Millis(0), "no answer"});
}

IntakeAnswer JobFleet::submit(const std::string& id, const std::string& steps,
                              const std::string& payload, const std::string& queue,
                              std::size_t gateway) {
    return sendRequest(gateway, "POST", queue + id,
                       R"({"spec":")" + payload + R"(","steps":[)" + steps + "]}");
}

std::string JobFleet::getState(const std::string& id, const std::string& queue,
                               std::size_t gateway) {
    const IntakeAnswer answer = sendRequest(gateway, "GET", queue + id);
    if (answer.m_status != 200) {
        return std::to_string(answer.m_status);
    }
    return nlohmann::json::parse(answer.m_body)["state"].get<std::string>();
}

bool JobFleet::waitForState(const std::string& id, const std::string& state, Millis limit,
                            const std::string& queue, std::size_t gateway) {
    const Millis end = m_loop.now() + limit;
    while (m_loop.now() < end) {
        if (getState(id, queue, gateway) == state) {
            return true;
        }
        m_loop.advance(Millis(50));
    }
    return false;
}

std::shared_ptr<std::optional<StatementAnswer>> JobFleet::startStatement(std::size_t gateway,
                                                                         const std::string& text) {
    StatementRequest request;
    request.m_statement = parseStatement(text).m_statement.value();
    request.m_text = text;
    request.m_operator = "alice";
    const auto answer = std::make_shared<std::optional<StatementAnswer>>();
    m_gateways[gateway].m_backend->execute(request,
                                           [answer](const StatementAnswer& got) { *answer = got; });
    return answer;
}

StatementAnswer JobFleet::executeStatement(std::size_t gateway, const std::string& text) {
    const auto answer = startStatement(gateway, text);
    constexpr Millis LIMIT{10'000};
    m_loop.advanceUntil(LIMIT, [&] { return answer->has_value(); });
    return answer->value_or(StatementAnswer());
}

std::optional<std::size_t> JobFleet::findLeader() const {
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        if (m_gateways[i].m_core != nullptr && m_gateways[i].m_core->getJobs().isLeading()) {
            return i;
        }
    }
    return std::nullopt;
}

bool JobFleet::waitForLeader(Millis limit) {
    return m_loop.advanceUntil(limit, [this] { return findLeader().has_value(); });
}

}  // namespace pierbank::testing
