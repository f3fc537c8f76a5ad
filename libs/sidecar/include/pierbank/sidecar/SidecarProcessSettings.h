// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SIDECAR_SIDECARPROCESSSETTINGS_H
#define PIERBANK_SIDECAR_SIDECARPROCESSSETTINGS_H

#include <optional>
#include <string>

#include "pierbank/base/SettingsFile.h"
#include "pierbank/sidecar/SidecarServer.h"

namespace pierbank {

/** Everything that a sidecar process is told; config/sidecar.ini describes each setting. */
struct SidecarProcessSettings {
    SidecarSettings m_server;
    std::string m_logLevel;
    /** Empty when there is none beside this sidecar; one of the two must be there. */
    std::optional<Address> m_endpoint;
    std::optional<Address> m_worker;
    Millis m_workerTimeout{1000};
    /** How long a planned stop waits for requests in progress. */
    Millis m_drainTime{30'000};
};

/** Reads the settings; everything that is wrong is added to the file's findings. */
SidecarProcessSettings readSidecarSettings(SettingsFile& file);

}  // namespace pierbank

#endif  // PIERBANK_SIDECAR_SIDECARPROCESSSETTINGS_H
