// SPDX-License-Identifier: Apache-2.0
#include "pierbank/gateway/GatewaySettings.h"

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

constexpr Millis SECOND{1000};
constexpr Millis MINUTE{60'000};
constexpr Millis HOUR{3'600'000};

std::uint32_t getCount(SettingsFile& file, SettingKey key, std::uint32_t otherwise,
                       std::uint32_t least, std::uint32_t most) {
    return static_cast<std::uint32_t>(file.getNumber(key, otherwise, least, most));
}

void readAddresses(SettingsFile& file, GatewaySettings& settings) {
    settings.m_name = file.getText({"gateway", "name"});
    settings.m_logLevel = file.getText({"gateway", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"gateway", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_callers = file.getListenAddress({"gateway", "callers"});
    settings.m_operators = file.getListenAddress({"gateway", "operators"});
    if (settings.m_operators.m_port != 0 && settings.m_operators == settings.m_callers) {
        file.report({"gateway", "operators"},
                    "is the callers' address: they need one of their own");
    }
    const std::string region = file.getText({"gateway", "region"});
    settings.m_routing.m_failureDomain = file.getText({"gateway", "failure-domain"});
    settings.m_election.m_region = region;
    settings.m_election.m_ownAddress = settings.m_operators;
    settings.m_schedule.m_region = region;
    settings.m_drainTime =
            file.getDuration({"gateway", "drain-time"}, settings.m_drainTime, Millis(0), HOUR);
    settings.m_keyValueService = file.getAddress({"platform", "key-value-service"});
    settings.m_hostList = file.getAddress({"platform", "host-list"});
    settings.m_platformTimeout = file.getDuration({"platform", "timeout"},
                                                  settings.m_platformTimeout, Millis(10), MINUTE);
    settings.m_hostListInterval = file.getDuration(
            {"platform", "host-list-interval"}, settings.m_hostListInterval, Millis(100), MINUTE);
}

void readRequests(SettingsFile& file, GatewaySettings& settings) {
    RequestLimits& limits = settings.m_limits;
    limits.m_maxBodyBytes =
            getCount(file, {"requests", "max-body-bytes"},
                     static_cast<std::uint32_t>(limits.m_maxBodyBytes), 1, 6U << 20U);
    limits.m_defaultTimeout = file.getDuration({"requests", "default-timeout"},
                                               limits.m_defaultTimeout, Millis(10), HOUR);
    limits.m_maxTimeout =
            file.getDuration({"requests", "max-timeout"}, limits.m_maxTimeout, Millis(10), HOUR);
    limits.m_maxPerOrganisation =
            getCount(file, {"requests", "max-per-organisation"},
                     static_cast<std::uint32_t>(limits.m_maxPerOrganisation), 1, 100'000);
    limits.m_maxRequests = getCount(file, {"requests", "max-in-gateway"},
                                    static_cast<std::uint32_t>(limits.m_maxRequests), 1, 100'000);
    settings.m_repeat.m_window = file.getDuration({"requests", "repeat-window"},
                                                  settings.m_repeat.m_window, SECOND, 24 * HOUR);
    settings.m_repeat.m_claimsPerSecond =
            getCount(file, {"requests", "repeat-claims-per-second"},
                     static_cast<std::uint32_t>(settings.m_repeat.m_claimsPerSecond), 1, 10'000);
    ForwarderSettings& forwarder = settings.m_forwarder;
    forwarder.m_maxWaiting =
            getCount(file, {"requests", "max-waiting"},
                     static_cast<std::uint32_t>(forwarder.m_maxWaiting), 0, 100'000);
    forwarder.m_maxAttempts =
            getCount(file, {"requests", "max-attempts"}, forwarder.m_maxAttempts, 1, 10);
    forwarder.m_fateWait =
            file.getDuration({"requests", "fate-wait"}, forwarder.m_fateWait, Millis(0), MINUTE);
}

void readSchedule(SettingsFile& file, GatewaySettings& settings) {
    settings.m_election.m_leaseTime = file.getDuration(
            {"schedule", "leader-lease"}, settings.m_election.m_leaseTime, SECOND, MINUTE);
    LeaseSettings& leases = settings.m_schedule.m_leases;
    leases.m_timeToLive =
            file.getDuration({"schedule", "worker-lease"}, leases.m_timeToLive, SECOND, MINUTE);
    leases.m_slack =
            file.getDuration({"schedule", "lease-slack"}, leases.m_slack, Millis(100), MINUTE);
    leases.m_outageGrace = file.getDuration({"schedule", "outage-grace"}, leases.m_outageGrace,
                                            Millis(0), 24 * HOUR);
    // A leader is replaced within its lease and a third; then the sidecars still have to ask.
    const Millis takeOver = settings.m_election.m_leaseTime * 4 / 3;
    if (leases.m_timeToLive < takeOver + leases.m_askInterval) {
        file.report({"schedule", "worker-lease"},
                    "is shorter than it takes to replace a leader (4/3 of leader-lease, and 1s)");
    }
    PolicySettings& policy = settings.m_schedule.m_policy;
    policy.m_starvationBound = file.getDuration({"schedule", "starvation-bound"},
                                                policy.m_starvationBound, SECOND, 72 * HOUR);
    policy.m_claimPatience = file.getDuration({"schedule", "claim-patience"},
                                              policy.m_claimPatience, Millis(0), 72 * HOUR);
    policy.m_checkpointGrace = file.getDuration({"schedule", "checkpoint-grace"},
                                                policy.m_checkpointGrace, Millis(0), 10 * MINUTE);
}

}  // namespace

OperatorTokens readOperatorTokens(SettingsFile& file) {
    OperatorTokens tokens;
    for (const std::string& name : file.getKeys("operators")) {
        const std::string token = file.getText({"operators", name});
        constexpr std::size_t LEAST_TOKEN_BYTES = 8;
        if (token.size() < LEAST_TOKEN_BYTES) {
            file.report({"operators", name}, "the token has fewer than 8 characters");
        } else if (!tokens.emplace(token, name).second) {
            file.report({"operators", name}, "another operator has the same token");
        }
    }
    if (tokens.empty()) {
        file.report({"operators", "*"}, "no operator is named: nobody could give statements");
    }
    return tokens;
}

GatewaySettings readGatewaySettings(SettingsFile& file) {
    GatewaySettings settings;
    readAddresses(file, settings);
    settings.m_tokens = readOperatorTokens(file);
    readRequests(file, settings);
    readSchedule(file, settings);
    file.reportUnknownKeys();
    return settings;
}

}  // namespace pierbank
