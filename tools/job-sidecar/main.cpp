// SPDX-License-Identifier: Apache-2.0
// pierbank-job-sidecar: on each worker's host of the platform.
#include <csignal>

#include "DaemonMain.h"
#include "pierbank/adapter/Documents.h"
#include "pierbank/adapter/PlatformStore.h"
#include "pierbank/adapter/PlatformWorker.h"
#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/control/JobSidecar.h"
#include "pierbank/wire/SocketTransport.h"

namespace {

using namespace pierbank;

JobSidecarSettings readSettings(SettingsFile& file) {
    JobSidecarSettings settings;
    settings.m_name = file.getText({"sidecar", "name"});
    settings.m_logLevel = file.getText({"sidecar", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"sidecar", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_beats = file.getListenAddress({"sidecar", "beats"});
    settings.m_links = file.getListenAddress({"sidecar", "links"});
    settings.m_worker = file.getAddress({"sidecar", "worker"});
    settings.m_store = file.getAddress({"store", "address"});
    file.reportUnknownKeys();
    return settings;
}

int runSidecar(const JobSidecarSettings& settings) {
    GlibEventLoop loop;
    SocketTransport transport;
    HttpClient client;
    adapter::PlatformStore store(client, settings.m_store);
    adapter::PlatformWorker worker(client, settings.m_worker);
    const adapter::PlatformDocuments documents;
    JobSidecar sidecar(store, loop, transport, worker, documents, settings);
    Reason reason;
    if (!sidecar.start(reason)) {
        std::cerr << "pierbank-job-sidecar: " << reason << "\n";
        return EXIT_USAGE;
    }
    // The worker's runs go on without the sidecar until the next one comes.
    const auto leave = [&loop] {
        loop.quit();
    };
    loop.onSignal(SIGTERM, leave);
    loop.onSignal(SIGINT, leave);
    loop.onSignal(SIGHUP, [] { logEvent(Severity::INFO, "sidecar", "reload", {}); });
    loop.run();
    logEvent(Severity::INFO, "sidecar", "stopped", {});
    return EXIT_DONE;
}

}  // namespace

int main(int argc, char** argv) {
    return runDaemon(argc, argv, "pierbank-job-sidecar", &readSettings, &runSidecar);
}
