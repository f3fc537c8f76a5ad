// SPDX-License-Identifier: Apache-2.0
// pierbank-gateway: the process on each entry host.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/base/Log.h"
#include "pierbank/gateway/Gateway.h"
#include "pierbank/platform/HttpHostList.h"
#include "pierbank/platform/HttpKeyValueService.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

int runGateway(const GatewaySettings& settings) {
    GlibEventLoop loop;
    Random random = Random::fromSystem();
    SocketTransport transport;
    HttpClient client;
    HttpKeyValueService service(client, settings.m_keyValueService, settings.m_platformTimeout);
    HttpHostList hostList(client, settings.m_hostList, settings.m_platformTimeout);
    Gateway gateway(loop, random, transport, client, service, hostList, settings);
    Reason reason;
    if (!gateway.start(reason)) {
        std::cerr << "pierbank-gateway: " << reason << "\n";
        return EXIT_USAGE;
    }
    const auto leave = [&] {
        gateway.leave([&loop] { loop.quit(); });
    };
    loop.onSignal(SIGTERM, leave);
    loop.onSignal(SIGINT, leave);
    loop.run();
    logEvent(Severity::INFO, "gateway", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-gateway", &readGatewaySettings, &runGateway);
}
