// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_DAEMON_SIDECAR_H
#define PIERBANK_DAEMON_SIDECAR_H

#include <cstddef>
#include <optional>
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
    /** Listen address for the heartbeats of the worker. */
    Address m_heartbeatAddress;
    /** Listen address for the links of leaders. */
    Address m_links;
    /** Address to which leaders connect; differs from m_links if connections are forwarded. */
    Address m_advertisedAddress;
    /** Address of the worker beside this sidecar. */
    Address m_worker;
    /** Number of ends that the worker lists at once; empty for that of the platform's contract. */
    std::optional<std::size_t> m_maxListedEnds;
    /** Address of the platform's key-value store. */
    Address m_store;
    WorkerAgentSettings m_agent;
};

/** Reads and checks all settings. Errors are added to the findings of the file. */
SidecarSettings readSidecarSettings(SettingsFile& file);

/**
 * Sidecar process beside a worker. Receives the heartbeats of the worker, registers itself in the
 * store, and executes the orders of the leader. Owned by main(); runs on the event loop.
 */
class Sidecar {
public:
    /** The references must outlive the sidecar. */
    Sidecar(RecordStore& store, EventLoop& loop, Transport& transport, TaskWorker& worker,
            const DocumentCodec& codec, SidecarSettings settings);
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /**
     * Starts to listen at all addresses and registers the sidecar.
     * @return false with `reason` when an address cannot be used.
     */
    bool start(Reason& reason);

private:
    void handleHeartbeat(const HttpServerRequest& request,
                         const std::shared_ptr<HttpServerCall>& call);

    Transport& m_transport;
    const DocumentCodec& m_codec;
    const SidecarSettings m_settings;
    WorkerAgent m_agent;
    Registration m_registration;
    HttpServer m_heartbeatServer;
};

}  // namespace pierbank

#endif  // PIERBANK_DAEMON_SIDECAR_H
