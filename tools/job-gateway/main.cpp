// SPDX-License-Identifier: Apache-2.0
// pierbank-job-gateway: on each entry host of the platform.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/adapter/Documents.h"
#include "pierbank/adapter/PlatformStore.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/control/JobGateway.h"
#include "pierbank/gateway/GatewaySettings.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

JobGatewaySettings readSettings(SettingsFile& file) {
    JobGatewaySettings settings;
    settings.m_name = file.getText({"gateway", "name"});
    settings.m_logLevel = file.getText({"gateway", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"gateway", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_front = file.getListenAddress({"gateway", "front"});
    settings.m_ready = file.getListenAddress({"gateway", "ready"});
    settings.m_operators = file.getListenAddress({"gateway", "operators"});
    settings.m_core.m_links = file.getListenAddress({"gateway", "links"});
    settings.m_store = file.getAddress({"store", "address"});
    settings.m_core.m_leader.m_node = settings.m_name;
    settings.m_core.m_leader.m_operators = settings.m_operators;
    settings.m_tokens = readOperatorTokens(file);
    settings.m_core.m_workers.m_node = settings.m_name;
    constexpr Millis LEAST{100};
    constexpr Millis MOST{600'000};
    auto& leader = settings.m_core.m_leader;
    leader.m_timeToLive =
            file.getDuration({"store", "leader-lease"}, leader.m_timeToLive, LEAST, MOST);
    auto& workers = settings.m_core.m_workers;
    workers.m_grant = file.getDuration({"workers", "grant"}, workers.m_grant, LEAST, MOST);
    workers.m_outageGrace =
            file.getDuration({"workers", "outage-grace"}, workers.m_outageGrace, Millis(0), MOST);
    file.reportUnknownKeys();
    return settings;
}

int runGateway(const JobGatewaySettings& settings) {
    GlibEventLoop loop;
    SocketTransport transport;
    HttpClient client;
    adapter::PlatformStore store(client, settings.m_store);
    const adapter::PlatformDocuments documents;
    JobGateway gateway(store, loop, transport, client, documents, adapter::getCallerHeaders(),
                       settings);
    Reason reason;
    if (!gateway.start(reason)) {
        std::cerr << "pierbank-job-gateway: " << reason << "\n";
        return EXIT_USAGE;
    }
    const auto leave = [&] {
        gateway.leave([&loop] { loop.quit(); });
    };
    loop.onSignal(SIGTERM, leave);
    loop.onSignal(SIGINT, leave);
    loop.onSignal(SIGHUP, [] { logEvent(Severity::INFO, "gateway", "reload", {}); });
    loop.run();
    logEvent(Severity::INFO, "gateway", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-job-gateway", &readSettings, &runGateway);
}
