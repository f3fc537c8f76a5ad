// SPDX-License-Identifier: Apache-2.0
#include "pierbank/sidecar/SidecarProcessSettings.h"

#include "pierbank/base/Log.h"

namespace pierbank {

SidecarProcessSettings readSidecarSettings(SettingsFile& file) {
    constexpr Millis MINUTE{60'000};
    constexpr std::int64_t MAX_SLOTS = 10'000;
    SidecarProcessSettings settings;
    settings.m_server.m_name = file.getText({"sidecar", "name"});
    settings.m_server.m_listen = file.getListenAddress({"sidecar", "listen"});
    settings.m_logLevel = file.getText({"sidecar", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"sidecar", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_drainTime = file.getDuration({"sidecar", "drain-time"}, settings.m_drainTime,
                                            Millis(0), 60 * MINUTE);
    settings.m_server.m_askInterval = file.getDuration(
            {"sidecar", "ask-interval"}, settings.m_server.m_askInterval, Millis(100), MINUTE);
    if (file.has({"endpoint", "address"})) {
        settings.m_endpoint = file.getAddress({"endpoint", "address"});
    }
    RequestGuardSettings& requests = settings.m_server.m_requests;
    requests.m_slots = static_cast<std::uint32_t>(
            file.getNumber({"endpoint", "slots"}, requests.m_slots, 1, MAX_SLOTS));
    requests.m_connections = static_cast<std::uint32_t>(
            file.getNumber({"endpoint", "connections"}, requests.m_connections, 1, MAX_SLOTS));
    if (file.has({"worker", "address"})) {
        settings.m_worker = file.getAddress({"worker", "address"});
    }
    settings.m_workerTimeout =
            file.getDuration({"worker", "timeout"}, settings.m_workerTimeout, Millis(10), MINUTE);
    if (!settings.m_endpoint.has_value() && !settings.m_worker.has_value()) {
        file.report({"endpoint", "address"}, "neither an endpoint nor a worker is named");
    }
    if (requests.m_connections < requests.m_slots) {
        file.report({"endpoint", "connections"}, "is less than the slots");
    }
    file.reportUnknownKeys();
    return settings;
}

}  // namespace pierbank
