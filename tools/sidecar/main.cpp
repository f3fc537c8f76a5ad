// SPDX-License-Identifier: Apache-2.0
// pierbank-sidecar: runs beside the worker on each host of the platform.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/adapter/Documents.h"
#include "pierbank/adapter/PlatformStore.h"
#include "pierbank/adapter/PlatformWorker.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/daemon/Sidecar.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

int runSidecar(const SidecarSettings& settings, const DaemonOptions& options) {
    GlibEventLoop loop;
    SocketTransport transport;
    HttpClient client;
    adapter::PlatformStore store(client, settings.m_store);
    adapter::PlatformWorker worker(
            client, settings.m_worker,
            settings.m_maxListedEnds.value_or(adapter::PlatformWorker::MAX_LISTED_ENDS));
    const adapter::PlatformDocuments documents;
    Sidecar sidecar(store, loop, transport, worker, documents, settings);
    Reason reason;
    if (!sidecar.start(reason)) {
        std::cerr << "pierbank-sidecar: " << reason << "\n";
        return EXIT_USAGE;
    }
    // The runs of the worker continue without the sidecar until it is restarted.
    const auto stop = [&loop] {
        loop.quit();
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.onSignal(SIGHUP, [&options] { reloadSettings(options, &readSidecarSettings); });
    loop.run();
    logEvent(Severity::INFO, "sidecar", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-sidecar", &readSidecarSettings, &runSidecar);
}
