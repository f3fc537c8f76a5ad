// SPDX-License-Identifier: Apache-2.0
#include "Soak.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace pierbank::testing {

namespace {

/** Groups of ports. The port of a process is the first of the group plus the process's index. */
enum PortGroup : std::size_t {
    STORE,
    FRONT,
    READY,
    OPERATORS,
    GATEWAY_LINKS,
    GATEWAY_TO_STORE,
    WORKER,
    HEARTBEATS,
    SIDECAR_LINKS,
    SIDECAR_LINKS_PROXY,
    SIDECAR_TO_STORE,
};

constexpr std::size_t GROUP_SIZE = 100;
/**
 * Longest time for jobs to finish after all faults have healed. It covers leases and grace periods
 * that have to expire before lost runs are started again.
 */
constexpr Millis SETTLE_TIMEOUT{60'000};

}  // namespace

Soak::Soak(SoakOptions options)
        : m_options(std::move(options)),
          m_store(m_loop, m_options.m_seed),
          m_gateways(m_options.m_gateways),
          m_workerNodes(m_options.m_workers) {}

Address Soak::getAddress(std::size_t group, std::size_t index) const {
    return {"127.0.0.1",
            static_cast<std::uint16_t>(m_options.m_basePort + group * GROUP_SIZE + index)};
}

void Soak::write(const std::string& name, const std::string& text) const {
    std::ofstream(m_options.m_folder + "/" + name) << text;
}

void Soak::print(const std::string& line) const {
    if (!m_options.m_isQuiet) {
        std::cout << line << std::endl;
    }
}

bool Soak::prepareGateway(std::size_t index, Reason& reason) {
    Gateway& gateway = m_gateways[index];
    gateway.m_storeProxy = std::make_unique<LoopbackProxy>(m_loop, getAddress(STORE, 0));
    const Address proxy = getAddress(GATEWAY_TO_STORE, index);
    if (!gateway.m_storeProxy->listen(proxy, reason)) {
        return false;
    }
    const std::string name = "gateway-" + std::to_string(index + 1);
    write(name + ".ini",
          "[gateway]\nname=" + name + "\nfront=" + getAddress(FRONT, index).toText() +
                  "\nready=" + getAddress(READY, index).toText() +
                  "\noperators=" + getAddress(OPERATORS, index).toText() +
                  "\nlinks=" + getAddress(GATEWAY_LINKS, index).toText() +
                  "\n[store]\naddress=" + proxy.toText() + "\n[operators]\nsoak=token-of-soak\n");
    gateway.m_process = std::make_unique<ChildProcess>(
            m_loop, name,
            std::vector<std::string>{m_options.m_tools + "/pierbank-gateway", "--settings",
                                     m_options.m_folder + "/" + name + ".ini"},
            m_options.m_folder + "/" + name + ".log");
    return true;
}

bool Soak::prepareWorkerNode(std::size_t index, Reason& reason) {
    WorkerNode& node = m_workerNodes[index];
    const std::string number = std::to_string(index + 1);
    node.m_storeProxy = std::make_unique<LoopbackProxy>(m_loop, getAddress(STORE, 0));
    node.m_linksProxy = std::make_unique<LoopbackProxy>(m_loop, getAddress(SIDECAR_LINKS, index));
    const Address store = getAddress(SIDECAR_TO_STORE, index);
    const Address link = getAddress(SIDECAR_LINKS_PROXY, index);
    StandinWorkerPlan plan;
    plan.m_name = "w" + number;
    plan.m_rack = "r" + std::to_string(index / 2);
    plan.m_failureDomain = getDomain(index);
    plan.m_sidecar = getAddress(HEARTBEATS, index);
    node.m_worker = std::make_unique<StandinWorker>(m_loop, m_client, m_witness, plan);
    node.m_worker->getTasks().m_maxListedEnds = m_options.m_maxListedEnds;
    if (!node.m_storeProxy->listen(store, reason) || !node.m_linksProxy->listen(link, reason) ||
        !node.m_worker->listen(getAddress(WORKER, index), reason)) {
        return false;
    }
    const std::string name = "side-" + number;
    write(name + ".ini", "[sidecar]\nname=" + name + "\nbeats=" + plan.m_sidecar.toText() +
                                 "\nlinks=" + getAddress(SIDECAR_LINKS, index).toText() +
                                 "\nreached-at=" + link.toText() +
                                 "\nworker=" + getAddress(WORKER, index).toText() +
                                 "\nlisted-ends=" + std::to_string(m_options.m_maxListedEnds) +
                                 "\n[store]\naddress=" + store.toText() + "\n");
    node.m_process = std::make_unique<ChildProcess>(
            m_loop, name,
            std::vector<std::string>{m_options.m_tools + "/pierbank-sidecar", "--settings",
                                     m_options.m_folder + "/" + name + ".ini"},
            m_options.m_folder + "/" + name + ".log");
    return true;
}

bool Soak::prepare(Reason& reason) {
    if (!m_store.listen(getAddress(STORE, 0), reason)) {
        return false;
    }
    std::vector<Address> fronts;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        fronts.push_back(getAddress(FRONT, i));
        if (!prepareGateway(i, reason)) {
            return false;
        }
    }
    for (std::size_t i = 0; i < m_workerNodes.size(); ++i) {
        if (!prepareWorkerNode(i, reason)) {
            return false;
        }
    }
    m_callers = std::make_unique<Callers>(m_loop, m_client, m_promises, std::move(fronts),
                                          m_options.m_seed);
    configure();
    for (const Gateway& gateway : m_gateways) {
        gateway.m_process->start();
    }
    for (const WorkerNode& node : m_workerNodes) {
        node.m_process->start();
    }
    return true;
}

/** The new configuration does not list the previous key, which is thereby revoked. */
void Soak::configure() {
    const std::string key = "key-" + std::to_string(++m_version);
    const auto route = [](const char* name, int priority) {
        return nlohmann::json{{"name", name},
                              {"host", "jobs"},
                              {"path_prefix", std::string("/") + name + "/"},
                              {"service", "tasks"},
                              {"priority", priority},
                              {"attempts", 2},
                              {"stretch", 3.0},
                              {"slo_ms", 1000}};
    };
    const nlohmann::json configuration = {
            {"version", m_version},
            {"routes", {route("urgent", 0), route("batch", 1), route("poison", 2)}},
            {"tenants",
             nlohmann::json::array(
                     {{{"name", "a"}, {"api_keys", {key}}, {"guaranteed", {{"gpu", 8}}}}})}};
    m_store.getState().put("op/config", configuration.dump());
    m_callers->setKey(key);
}

std::vector<Breach> Soak::run() {
    Reason reason;
    if (!prepare(reason)) {
        return {{"the soak begins", "soak", reason}};
    }
    m_faults = drawFaults(m_options.m_seed, m_options.m_length, m_options.m_faults);
    const auto refusals = drawRefusals(m_options.m_seed, m_options.m_length, m_options.m_faults);
    m_faults.insert(m_faults.end(), refusals.begin(), refusals.end());
    if (m_options.m_evacuates) {
        const auto requests = drawEvacuations(m_options.m_seed, m_options.m_length);
        m_faults.insert(m_faults.end(), requests.begin(), requests.end());
    }
    m_callers->start();
    schedule();
    checkInvariants();
    m_loop.run();
    m_promises.checkEvacuations(m_evacuations, listStarts());
    m_promises.finish();
    return m_promises.getBreaches();
}

void Soak::schedule() {
    std::erase_if(m_faults, [this](const Fault& f) { return f.m_at >= m_options.m_length; });
    for (const Fault& fault : m_faults) {
        m_loop.callLater(fault.m_at, [this, fault] { inject(fault); });
        m_loop.callLater(std::min(fault.m_at + fault.m_duration, m_options.m_length),
                         [this, fault] { heal(fault); });
    }
    m_loop.callLater(m_options.m_length, [this] {
        healAll();
        m_callers->stop();
        waitForEnd(m_loop.now());
    });
}

void Soak::checkInvariants() {
    constexpr Millis INTERVAL{50};
    m_promises.checkInvariants(m_loop.now());
    for (const Gateway& gateway : m_gateways) {
        if (gateway.m_process->countUnexpectedExits() > 0) {
            m_promises.recordUnexpectedExit(gateway.m_process->getName());
        }
    }
    for (const WorkerNode& node : m_workerNodes) {
        if (node.m_process->countUnexpectedExits() > 0) {
            m_promises.recordUnexpectedExit(node.m_process->getName());
        }
    }
    m_loop.callLater(INTERVAL, [this] { checkInvariants(); });
}

void Soak::waitForEnd(Millis since) {
    constexpr Millis INTERVAL{100};
    const bool hasTimedOut = m_loop.now() - since > SETTLE_TIMEOUT;
    if (m_promises.isSettled() || hasTimedOut) {
        m_loop.quit();
        return;
    }
    m_loop.callLater(INTERVAL, [this, since] { waitForEnd(since); });
}

std::string Soak::getDomain(std::size_t index) const {
    const std::size_t workers = m_options.m_evacuates ? 2 : 4;
    return "d" + std::to_string(index / workers);
}

std::vector<Promises::Start> Soak::listStarts() const {
    std::vector<Promises::Start> starts;
    for (std::size_t i = 0; i < m_workerNodes.size(); ++i) {
        const std::string journal = m_workerNodes[i].m_worker->getTasks().getJournalText();
        for (const auto& row : nlohmann::json::parse(journal)) {
            if (row[0] == "start") {
                starts.push_back({getDomain(i), row[1].get<std::string>(),
                                  Millis(row[3].get<std::int64_t>())});
            }
        }
    }
    return starts;
}

std::vector<std::string> Soak::findLogLines(const std::string& name) const {
    constexpr std::size_t MAX_LINES = 24;
    std::vector<std::string> lines;
    const auto search = [&](const std::unique_ptr<ChildProcess>& process) {
        if (process == nullptr) {
            // The soak ended before it had prepared this process.
            return;
        }
        std::ifstream log(process->getLogPath());
        for (std::string line; std::getline(log, line);) {
            if (line.find(name) != std::string::npos) {
                lines.push_back(line + "  [" + process->getName() + "]");
            }
        }
    };
    for (const Gateway& gateway : m_gateways) {
        search(gateway.m_process);
    }
    for (const WorkerNode& node : m_workerNodes) {
        search(node.m_process);
    }
    // Log lines begin with their timestamp.
    std::sort(lines.begin(), lines.end());
    if (lines.size() > MAX_LINES) {
        lines.erase(lines.begin(), lines.end() - MAX_LINES);
    }
    return lines;
}

}  // namespace pierbank::testing
