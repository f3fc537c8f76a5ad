// SPDX-License-Identifier: Apache-2.0
// pierbank-standin: plays the platform's parts at their interfaces, for the demo and the tests
// with real processes. One process can play several parts, each on an address of its own.
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pierbank/base/GlibEventLoop.h"
#include "StandinServers.h"

namespace {

using namespace pierbank;
namespace po = boost::program_options;

struct Options {
    std::string m_keyValue;
    std::string m_hosts;
    std::vector<std::string> m_workers;
    std::vector<std::string> m_endpoints;
};

bool listen(standin::StandinServer& server, const std::string& text) {
    const auto address = Address::parse(text);
    Reason reason = "not IP:PORT";
    if (address.has_value() && server.listen(*address, reason)) {
        return true;
    }
    std::cerr << "pierbank-standin: " << text << ": " << reason << "\n";
    return false;
}

std::vector<std::unique_ptr<standin::StandinServer>> makeServers(EventLoop& loop,
                                                                 const Options& options) {
    std::vector<std::unique_ptr<standin::StandinServer>> servers;
    const auto add = [&](std::unique_ptr<standin::StandinServer> server,
                         const std::string& address) {
        if (listen(*server, address)) {
            servers.push_back(std::move(server));
        }
    };
    if (!options.m_keyValue.empty()) {
        add(std::make_unique<standin::KeyValueServer>(loop), options.m_keyValue);
    }
    if (!options.m_hosts.empty()) {
        add(std::make_unique<standin::HostListServer>(loop), options.m_hosts);
    }
    for (const std::string& address : options.m_workers) {
        add(std::make_unique<standin::WorkerServer>(loop), address);
    }
    for (const std::string& address : options.m_endpoints) {
        add(std::make_unique<standin::EndpointServer>(loop), address);
    }
    return servers;
}

}  // namespace

int main(int argc, char** argv) {
    Options options;
    po::options_description description("pierbank-standin");
    description.add_options()("key-value", po::value(&options.m_keyValue), "IP:PORT")(
            "hosts", po::value(&options.m_hosts), "IP:PORT")(
            "worker", po::value(&options.m_workers), "IP:PORT; may be given several times")(
            "endpoint", po::value(&options.m_endpoints), "IP:PORT; may be given several times");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    GlibEventLoop loop;
    const auto servers = makeServers(loop, options);
    const std::size_t wanted = options.m_workers.size() + options.m_endpoints.size() +
                               (options.m_keyValue.empty() ? 0 : 1) +
                               (options.m_hosts.empty() ? 0 : 1);
    if (servers.size() != wanted) {
        return 2;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.quit(); });
    loop.run();
    return 0;
}
