// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_DAEMON_SIDECAR_H
#define PIERBANK_DAEMON_SIDECAR_H

#include <string>

#include "pierbank/base/SettingsFile.h"
#include "pierbank/control/Documents.h"
#include "pierbank/control/Registration.h"
#include "pierbank/control/WorkerAgent.h"
#include "pierbank/http/HttpServer.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Settings of a sidecar process. */
struct SidecarSettings {
    std::string m_logLevel = "info";
    std::string m_name;
    /** Where the worker sends its beats. */
    Address m_beats;
    /** Where leaders connect. */
    Address m_links;
    /** Where leaders find that address; the same unless something forwards to it. */
    Address m_reachedAt;
    Address m_worker;
    Address m_store;
    WorkerAgentSettings m_agent;
};

/** Reads and checks all settings; what is wrong is in the file's findings. */
SidecarSettings readSidecarSettings(SettingsFile& file);

/** A sidecar: takes the worker's beats, makes itself known in the store, and serves the leader. */
class Sidecar {
public:
    /** The references must outlive the sidecar. */
    Sidecar(RecordStore& store, EventLoop& loop, Transport& transport, TaskWorker& worker,
            const DocumentCodec& codec, SidecarSettings settings);
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /** @return false with `reason` when an address is not free. */
    bool start(Reason& reason);

private:
    void handleHeartbeat(const HttpServerRequest& request,
                         const std::shared_ptr<HttpServerCall>& call);

    Transport& m_transport;
    const DocumentCodec& m_codec;
    const SidecarSettings m_settings;
    WorkerAgent m_agent;
    Registration m_registration;
    HttpServer m_beats;
};

}  // namespace pierbank

#endif  // PIERBANK_DAEMON_SIDECAR_H
