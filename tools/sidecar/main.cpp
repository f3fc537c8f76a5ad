// SPDX-License-Identifier: Apache-2.0
// pierbank-sidecar: the small process beside each endpoint and on each worker.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/base/Log.h"
#include "pierbank/platform/HttpEndpoint.h"
#include "pierbank/platform/HttpWorker.h"
#include "pierbank/sidecar/SidecarProcessSettings.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

int runSidecar(const SidecarProcessSettings& settings) {
    GlibEventLoop loop;
    Random random = Random::fromSystem();
    SocketTransport transport;
    HttpClient client;
    std::optional<HttpEndpoint> endpoint;
    std::optional<HttpWorker> worker;
    if (settings.m_endpoint.has_value()) {
        endpoint.emplace(client, *settings.m_endpoint);
    }
    if (settings.m_worker.has_value()) {
        worker.emplace(client, *settings.m_worker, settings.m_workerTimeout);
    }
    SidecarServer server(loop, random, transport, endpoint.has_value() ? &*endpoint : nullptr,
                         worker.has_value() ? &*worker : nullptr, settings.m_server);
    Reason reason;
    if (!server.start(reason)) {
        std::cerr << "pierbank-sidecar: " << settings.m_server.m_listen.toText() << ": " << reason
                  << "\n";
        return EXIT_USAGE;
    }
    const auto leave = [&] {
        server.leave([&loop] { loop.quit(); });
        loop.callLater(settings.m_drainTime, [&loop] { loop.quit(); });
    };
    loop.onSignal(SIGTERM, leave);
    loop.onSignal(SIGINT, leave);
    loop.run();
    logEvent(Severity::INFO, "sidecar", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-sidecar", &readSidecarSettings, &runSidecar);
}
