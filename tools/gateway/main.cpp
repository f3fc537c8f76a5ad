// SPDX-License-Identifier: Apache-2.0
// pierbank-gateway: the process on each entry host.
#include <csignal>

#include "DaemonOptions.h"
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
    int exitStatus = EXIT_DONE;
    const auto options = readDaemonOptions(argc, argv, "pierbank-gateway", exitStatus);
    if (!options.has_value()) {
        return exitStatus;
    }
    Findings findings;
    auto file = SettingsFile::load(options->m_settingsPath, findings);
    GatewaySettings settings;
    if (file.has_value()) {
        settings = readGatewaySettings(*file);
    }
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return EXIT_USAGE;
    }
    if (options->m_isCheck) {
        std::cout << options->m_settingsPath << ": good\n";
        return EXIT_DONE;
    }
    setLogLevel(*parseSeverity(settings.m_logLevel));
    return runGateway(settings);
}
