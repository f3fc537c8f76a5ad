// SPDX-License-Identifier: Apache-2.0
#include "Soak.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace pierbank::testing {

namespace {

/** Groups of ports; a process's is the group's first and its place. */
enum PortGroup : std::size_t {
    STORE,
    FRONT,
    READY,
    OPERATORS,
    GATEWAY_LINKS,
    GATEWAY_TO_STORE,
    WORKER,
    BEATS,
    SIDE_LINKS,
    SIDE_LINKS_PROXY,
    SIDE_TO_STORE,
};

constexpr std::size_t GROUP_SIZE = 100;
/** After everything healed, jobs have so long to end: leases and graces lapse, runs begin again. */
constexpr Millis SETTLE_TIME{60'000};

}  // namespace

Soak::Soak(SoakOptions options)
        : m_options(std::move(options)),
          m_store(m_loop, m_options.m_seed),
          m_gateways(m_options.m_gateways),
          m_sides(m_options.m_workers) {}

Address Soak::getAddress(std::size_t group, std::size_t place) const {
    return {"127.0.0.1",
            static_cast<std::uint16_t>(m_options.m_basePort + group * GROUP_SIZE + place)};
}

void Soak::write(const std::string& name, const std::string& text) const {
    std::ofstream(m_options.m_folder + "/" + name) << text;
}

void Soak::say(const std::string& line) const {
    if (!m_options.m_isQuiet) {
        std::cout << line << std::endl;
    }
}

bool Soak::prepareGateway(std::size_t place, Reason& reason) {
    Gateway& gateway = m_gateways[place];
    gateway.m_toStore = std::make_unique<LoopbackProxy>(m_loop, getAddress(STORE, 0));
    const Address proxy = getAddress(GATEWAY_TO_STORE, place);
    if (!gateway.m_toStore->listen(proxy, reason)) {
        return false;
    }
    const std::string name = "gateway-" + std::to_string(place + 1);
    write(name + ".ini",
          "[gateway]\nname=" + name + "\nfront=" + getAddress(FRONT, place).toText() +
                  "\nready=" + getAddress(READY, place).toText() +
                  "\noperators=" + getAddress(OPERATORS, place).toText() +
                  "\nlinks=" + getAddress(GATEWAY_LINKS, place).toText() +
                  "\n[store]\naddress=" + proxy.toText() + "\n[operators]\nsoak=token-of-soak\n");
    gateway.m_process = std::make_unique<ChildProcess>(
            m_loop, name,
            std::vector<std::string>{m_options.m_tools + "/pierbank-gateway", "--settings",
                                     m_options.m_folder + "/" + name + ".ini"},
            m_options.m_folder + "/" + name + ".log");
    return true;
}

bool Soak::prepareSide(std::size_t place, Reason& reason) {
    Side& side = m_sides[place];
    const std::string number = std::to_string(place + 1);
    side.m_toStore = std::make_unique<LoopbackProxy>(m_loop, getAddress(STORE, 0));
    side.m_link = std::make_unique<LoopbackProxy>(m_loop, getAddress(SIDE_LINKS, place));
    const Address store = getAddress(SIDE_TO_STORE, place);
    const Address link = getAddress(SIDE_LINKS_PROXY, place);
    StandinWorkerPlan plan;
    plan.m_name = "w" + number;
    plan.m_rack = "r" + std::to_string(place / 2);
    plan.m_failureDomain = getDomain(place);
    plan.m_sidecar = getAddress(BEATS, place);
    side.m_worker = std::make_unique<StandinWorker>(m_loop, m_client, m_witness, plan);
    if (!side.m_toStore->listen(store, reason) || !side.m_link->listen(link, reason) ||
        !side.m_worker->listen(getAddress(WORKER, place), reason)) {
        return false;
    }
    const std::string name = "side-" + number;
    write(name + ".ini", "[sidecar]\nname=" + name + "\nbeats=" + plan.m_sidecar.toText() +
                                 "\nlinks=" + getAddress(SIDE_LINKS, place).toText() +
                                 "\nreached-at=" + link.toText() +
                                 "\nworker=" + getAddress(WORKER, place).toText() +
                                 "\n[store]\naddress=" + store.toText() + "\n");
    side.m_process = std::make_unique<ChildProcess>(
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
    for (std::size_t i = 0; i < m_sides.size(); ++i) {
        if (!prepareSide(i, reason)) {
            return false;
        }
    }
    m_callers = std::make_unique<Callers>(m_loop, m_client, m_promises, std::move(fronts),
                                          m_options.m_seed);
    configure();
    for (const Gateway& gateway : m_gateways) {
        gateway.m_process->start();
    }
    for (const Side& side : m_sides) {
        side.m_process->start();
    }
    return true;
}

/** A new version, with another key; the former is taken away. */
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
    if (m_options.m_evacuates) {
        const auto requests = drawEvacuations(m_options.m_seed, m_options.m_length);
        m_faults.insert(m_faults.end(), requests.begin(), requests.end());
    }
    m_callers->start();
    schedule();
    look();
    m_loop.run();
    m_promises.checkEvacuations(m_evacuations, listStarts());
    m_promises.finish();
    return m_promises.getBreaches();
}

void Soak::schedule() {
    std::erase_if(m_faults, [this](const Fault& f) { return f.m_at >= m_options.m_length; });
    for (const Fault& fault : m_faults) {
        m_loop.callLater(fault.m_at, [this, fault] { strike(fault); });
        m_loop.callLater(std::min(fault.m_at + fault.m_for, m_options.m_length),
                         [this, fault] { heal(fault); });
    }
    m_loop.callLater(m_options.m_length, [this] {
        healAll();
        m_callers->stop();
        waitForEnd(m_loop.now());
    });
}

void Soak::look() {
    constexpr Millis INTERVAL{50};
    m_promises.look(m_loop.now());
    for (const Gateway& gateway : m_gateways) {
        if (gateway.m_process->countOwnEnds() > 0) {
            m_promises.noteOwnEnd(gateway.m_process->getName());
        }
    }
    for (const Side& side : m_sides) {
        if (side.m_process->countOwnEnds() > 0) {
            m_promises.noteOwnEnd(side.m_process->getName());
        }
    }
    m_loop.callLater(INTERVAL, [this] { look(); });
}

void Soak::waitForEnd(Millis since) {
    constexpr Millis INTERVAL{100};
    const bool isLate = m_loop.now() - since > SETTLE_TIME;
    if (m_promises.isSettled() || isLate) {
        m_loop.quit();
        return;
    }
    m_loop.callLater(INTERVAL, [this, since] { waitForEnd(since); });
}

std::string Soak::getDomain(std::size_t place) const {
    const std::size_t workers = m_options.m_evacuates ? 2 : 4;
    return "d" + std::to_string(place / workers);
}

std::vector<Promises::Start> Soak::listStarts() const {
    std::vector<Promises::Start> starts;
    for (std::size_t i = 0; i < m_sides.size(); ++i) {
        const std::string journal = m_sides[i].m_worker->getTasks().getJournalText();
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
    constexpr std::size_t MOST = 24;
    std::vector<std::string> lines;
    const auto search = [&](const ChildProcess& process) {
        std::ifstream log(process.getLogPath());
        for (std::string line; std::getline(log, line);) {
            if (line.find(name) != std::string::npos) {
                lines.push_back(line + "  [" + process.getName() + "]");
            }
        }
    };
    for (const Gateway& gateway : m_gateways) {
        search(*gateway.m_process);
    }
    for (const Side& side : m_sides) {
        search(*side.m_process);
    }
    // They begin with their time.
    std::sort(lines.begin(), lines.end());
    if (lines.size() > MOST) {
        lines.erase(lines.begin(), lines.end() - MOST);
    }
    return lines;
}

}  // namespace pierbank::testing
