// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_GATEWAY_GATEWAYSETTINGS_H
#define PIERBANK_GATEWAY_GATEWAYSETTINGS_H

#include "pierbank/base/SettingsFile.h"
#include "pierbank/gateway/OperatorServer.h"
#include "pierbank/request/EndpointTable.h"
#include "pierbank/request/Filters.h"
#include "pierbank/request/Forwarder.h"
#include "pierbank/request/RepeatFilter.h"
#include "pierbank/schedule/LeaderElection.h"
#include "pierbank/schedule/ScheduleController.h"

namespace pierbank {

/** Everything that a gateway is told; config/gateway.ini describes each setting. */
struct GatewaySettings {
    std::string m_name;
    std::string m_logLevel;
    Address m_callers;
    Address m_operators;
    Address m_keyValueService;
    Address m_hostList;
    Millis m_platformTimeout{1000};
    Millis m_hostListInterval{1000};
    /** How long a planned stop waits for requests in progress. */
    Millis m_drainTime{30'000};
    OperatorTokens m_tokens;
    RequestLimits m_limits;
    RoutingSettings m_routing;
    ForwarderSettings m_forwarder;
    RepeatSettings m_repeat;
    LeaderElectionSettings m_election;
    ScheduleSettings m_schedule;
};

/** Reads the settings; everything that is wrong is added to the file's findings. */
GatewaySettings readGatewaySettings(SettingsFile& file);

/** Reads the section `operators`: names, each with its bearer token. */
OperatorTokens readOperatorTokens(SettingsFile& file);

}  // namespace pierbank

#endif  // PIERBANK_GATEWAY_GATEWAYSETTINGS_H
