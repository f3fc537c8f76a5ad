// SPDX-License-Identifier: Apache-2.0
// pierbank-gateway: runs on each host of the platform that receives callers' requests.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/adapter/Documents.h"
#include "pierbank/adapter/PlatformAdvisor.h"
#include "pierbank/adapter/PlatformFleet.h"
#include "pierbank/adapter/PlatformStore.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/daemon/Gateway.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

int runGateway(const GatewaySettings& settings, const DaemonOptions& options) {
    GlibEventLoop loop;
    SocketTransport transport;
    HttpClient client;
    adapter::PlatformStore store(client, settings.m_store);
    adapter::PlatformAdvisor advisor(client, settings.m_advice);
    adapter::PlatformFleet fleet(client, settings.m_machines);
    const adapter::PlatformDocuments documents;
    Gateway gateway({store, advisor, fleet, documents}, loop, transport, client,
                    adapter::getCallerHeaders(), settings);
    Reason reason;
    if (!gateway.start(reason)) {
        std::cerr << "pierbank-gateway: " << reason << "\n";
        return EXIT_USAGE;
    }
    const auto stop = [&] {
        gateway.shutDown([&loop] { loop.quit(); });
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.onSignal(SIGHUP, [&options] { reloadSettings(options, &readGatewaySettings); });
    loop.run();
    logEvent(Severity::INFO, "gateway", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-gateway", &readGatewaySettings, &runGateway);
}
