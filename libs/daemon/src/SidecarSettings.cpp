// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Log.h"
#include "pierbank/daemon/Sidecar.h"

namespace pierbank {

SidecarSettings readSidecarSettings(SettingsFile& file) {
    SidecarSettings settings;
    settings.m_name = file.getText({"sidecar", "name"});
    settings.m_logLevel = file.getText({"sidecar", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"sidecar", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_heartbeatAddress = file.getListenAddress({"sidecar", "beats"});
    settings.m_links = file.getListenAddress({"sidecar", "links"});
    settings.m_advertisedAddress = file.has({"sidecar", "reached-at"})
                                           ? file.getAddress({"sidecar", "reached-at"})
                                           : settings.m_links;
    settings.m_worker = file.getAddress({"sidecar", "worker"});
    if (file.has({"sidecar", "listed-ends"})) {
        constexpr std::int64_t MAX_LISTED_ENDS = 1'000'000;
        settings.m_maxListedEnds = static_cast<std::size_t>(
                file.getNumber({"sidecar", "listed-ends"}, 1, 1, MAX_LISTED_ENDS));
    }
    settings.m_store = file.getAddress({"store", "address"});
    constexpr Millis MIN_INTERVAL{100};
    constexpr Millis MAX_INTERVAL{60'000};
    settings.m_agent.m_requestInterval =
            file.getDuration({"sidecar", "ask-interval"}, settings.m_agent.m_requestInterval,
                             MIN_INTERVAL, MAX_INTERVAL);
    file.reportUnknownKeys();
    return settings;
}

}  // namespace pierbank
