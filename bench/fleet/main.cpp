// SPDX-License-Identifier: Apache-2.0
/*
 * pierbank-fleet: runs a store and any number of sidecars with workers in one process on loopback,
 * so that a real gateway that leads them can be measured and profiled at the size of a whole fleet:
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
constexpr Millis HEARTBEAT_INTERVAL{1500};
constexpr std::size_t WORKERS_PER_RACK = 8;
constexpr std::size_t WORKERS_PER_DOMAIN = 160;

/** A worker with its sidecar and the topology domains of both. */
struct Host {
    std::unique_ptr<FakeTaskWorker> m_worker;
    std::unique_ptr<SocketTransport> m_transport;
    std::unique_ptr<WorkerAgent> m_agent;
    std::string m_rack;
    std::string m_domain;
};

/** Returns the loopback address of a sidecar: 127.1.NET.HOST with up to 250 hosts in a net. */
Address makeAddress(std::size_t index) {
    constexpr std::size_t HOSTS_PER_NET = 250;
    constexpr std::uint16_t PORT = 7700;
    const std::string net = std::to_string(10 + index / HOSTS_PER_NET);
    return {"127.1." + net + "." + std::to_string(index % HOSTS_PER_NET + 1), PORT};
}

/** Sends a heartbeat of the worker to its sidecar. */
void heartbeat(Host& host) {
    WorkerHeartbeat heartbeat;
    heartbeat.m_incarnation = host.m_worker->getIncarnation();
    heartbeat.m_service = "tasks";
    heartbeat.m_rack = host.m_rack;
    heartbeat.m_labels = {"a", host.m_rack};
    heartbeat.m_capacity = {128'000, 262'144, 8};
    heartbeat.m_failureDomain = host.m_domain;
    heartbeat.m_sequence = host.m_worker->nextHeartbeatNumber();
    host.m_agent->handleHeartbeat(heartbeat);
}

void keepSendingHeartbeats(EventLoop& loop, std::vector<Host>& hosts) {
    for (Host& host : hosts) {
        heartbeat(host);
    }
    loop.callLater(HEARTBEAT_INTERVAL, [&loop, &hosts] { keepSendingHeartbeats(loop, hosts); });
}

/** Starts a worker with its sidecar. Returns false, and sets `reason`, if its address is in use. */
bool startHost(EventLoop& loop, RunWitness& witness, FakeStoreState& store, std::size_t index,
               Host& host, Reason& reason) {
    const Address address = makeAddress(index);
    host.m_rack = "r" + std::to_string(index / WORKERS_PER_RACK);
    host.m_domain = "d" + std::to_string(index / WORKERS_PER_DOMAIN);
    host.m_worker = std::make_unique<FakeTaskWorker>(loop, witness, "w" + std::to_string(index));
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
    for (std::size_t index = 0; index < workers; ++index) {
        if (!startHost(loop, witness, store.getState(), index, hosts[index], reason)) {
            std::cerr << "worker " << index << ": " << reason << "\n";
            return EXIT_USAGE;
        }
    }
    keepSendingHeartbeats(loop, hosts);
    loop.onSignal(SIGTERM, [&loop] { loop.quit(); });
    loop.run();
    return 0;
}
