// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_DAEMON_GATEWAYSETTINGS_H
#define PIERBANK_DAEMON_GATEWAYSETTINGS_H

#include <optional>
#include <string>

#include "pierbank/base/SettingsFile.h"
#include "pierbank/control/JobCore.h"
#include "pierbank/operators/OperatorServer.h"

namespace pierbank {

/** Settings of a gateway process. */
struct GatewaySettings {
    std::string m_logLevel = "info";
    std::string m_name;
    /** Listen address for callers' requests. */
    Address m_callerAddress;
    /** Listen address for the readiness checks of the load balancer. */
    Address m_readinessAddress;
    /** Listen address for operators' statements, health checks and metrics. */
    Address m_operators;
    /** Address of the platform's key-value store. */
    Address m_store;
    /** Address of the platform's placement advice, if the platform has one. */
    std::optional<Address> m_advice;
    /** Address of the platform's machine management for upkeep waves, if the platform has one. */
    std::optional<Address> m_machines;
    JobCoreSettings m_core;
    /** Bearer tokens of the operators that may execute statements. */
    OperatorTokens m_tokens;
    /**
     * Maximum age of the configuration of a gateway that reports itself as ready. An older
     * configuration is permitted while the gateway has a usable link to another leader.
     */
    Millis m_maxReadyAge{2000};
    /**
     * Time after SIGTERM for which new connections are still accepted. The load balancer checks the
     * readiness once a second, and continues to open connections until its next check.
     */
    Millis m_stopListeningDelay{2600};
    /** Maximum time from SIGTERM to the end of the process. */
    Millis m_drainTimeout{4800};
};

/** Reads and checks all settings. Errors are added to the findings of the file. */
GatewaySettings readGatewaySettings(SettingsFile& file);

/** Reads the section `[operators]`, which maps the name of each operator to a bearer token. */
OperatorTokens readOperatorTokens(SettingsFile& file);

}  // namespace pierbank

#endif  // PIERBANK_DAEMON_GATEWAYSETTINGS_H
