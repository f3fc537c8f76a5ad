// SPDX-License-Identifier: Apache-2.0
/*
 * pierbank-fleet: a store, and sidecars with workers, of any number, in one process on loopback. A
 * real gateway that leads them can be measured and profiled at the size of a whole fleet:
 *
 *     pierbank-fleet --store 127.0.0.1:7001 --workers 800 &
 *     pierbank-gateway --settings gateway.ini &
 *     perf record -g -p $(pidof pierbank-gateway) -- sleep 10
 */
#include <csignal>

#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "FakeTaskWorker.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/control/WorkerAgent.h"
#include "pierbank/wire/SocketTransport.h"
#include "StandinStore.h"

namespace {

using namespace pierbank;
using namespace pierbank::testing;
namespace po = boost::program_options;

constexpr int EXIT_USAGE = 2;
constexpr Millis BEAT_INTERVAL{1500};
constexpr std::size_t WORKERS_A_RACK = 8;
constexpr std::size_t WORKERS_A_DOMAIN = 160;

struct Host {
    std::unique_ptr<FakeTaskWorker> m_worker;
    std::unique_ptr<SocketTransport> m_transport;
    std::unique_ptr<WorkerAgent> m_agent;
    std::string m_rack;
    std::string m_domain;
};

Address makeAddress(std::size_t place) {
    constexpr std::size_t A_NET = 250;
    constexpr std::uint16_t PORT = 7700;
    const std::string net = std::to_string(10 + place / A_NET);
    return {"127.1." + net + "." + std::to_string(place % A_NET + 1), PORT};
}

void heartbeat(Host& host) {
    WorkerHeartbeat heartbeat;
    heartbeat.m_incarnation = host.m_worker->getIncarnation();
    heartbeat.m_service = "tasks";
    heartbeat.m_rack = host.m_rack;
    heartbeat.m_labels = {"a", host.m_rack};
    heartbeat.m_capacity = {128'000, 262'144, 8};
    heartbeat.m_failureDomain = host.m_domain;
    heartbeat.m_sequence = host.m_worker->countHeartbeat();
    host.m_agent->handleHeartbeat(heartbeat);
}

void keepSendingHeartbeats(EventLoop& loop, std::vector<Host>& hosts) {
    for (Host& host : hosts) {
        heartbeat(host);
    }
    loop.callLater(BEAT_INTERVAL, [&loop, &hosts] { keepSendingHeartbeats(loop, hosts); });
}

/** @return false with `reason` when an address is not free. */
bool startHost(EventLoop& loop, RunWitness& witness, FakeStoreState& store, std::size_t place,
               Host& host, Reason& reason) {
    const Address address = makeAddress(place);
    host.m_rack = "r" + std::to_string(place / WORKERS_A_RACK);
    host.m_domain = "d" + std::to_string(place / WORKERS_A_DOMAIN);
    host.m_worker = std::make_unique<FakeTaskWorker>(loop, witness, "w" + std::to_string(place));
    host.m_transport = std::make_unique<SocketTransport>();
    host.m_agent = std::make_unique<WorkerAgent>(loop, *host.m_worker, WorkerAgentSettings());
    const auto onLink = [agent = host.m_agent.get()](std::shared_ptr<Link> link) {
        agent->handleLink(std::move(link));
    };
    store.put(getHostKey(address.toText()), "");
    return host.m_transport->listen(address, onLink, reason);
}

}  // namespace

int main(int argc, char** argv) {
    std::string storeText;
    std::size_t workers = 0;
    po::options_description description("pierbank-fleet");
    description.add_options()("store", po::value(&storeText)->required(), "IP:PORT")(
            "workers", po::value(&workers)->default_value(800), "how many");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return EXIT_USAGE;
    }
    GlibEventLoop loop;
    RunWitness witness;
    StandinStore store(loop, 1);
    Reason reason;
    const auto storeAddress = Address::parse(storeText);
    if (!storeAddress.has_value() || !store.listen(*storeAddress, reason)) {
        std::cerr << "store: " << storeText << " " << reason << "\n";
        return EXIT_USAGE;
    }
    std::vector<Host> hosts(workers);
    for (std::size_t place = 0; place < workers; ++place) {
        if (!startHost(loop, witness, store.getState(), place, hosts[place], reason)) {
            std::cerr << "worker " << place << ": " << reason << "\n";
            return EXIT_USAGE;
        }
    }
    keepSendingHeartbeats(loop, hosts);
    loop.onSignal(SIGTERM, [&loop] { loop.quit(); });
    loop.run();
    return 0;
}
