// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/GatewaySettings.h"

#include <algorithm>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

constexpr Millis LEAST{100};
constexpr Millis MOST{600'000};
constexpr double MILLIS_PER_SECOND = 1000.0;

Millis scale(Millis time, double factor) {
    return Millis(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

void readAddresses(SettingsFile& file, GatewaySettings& settings) {
    settings.m_name = file.getText({"gateway", "name"});
    settings.m_logLevel = file.getText({"gateway", "log-level"}, "info");
    if (!parseSeverity(settings.m_logLevel).has_value()) {
        file.report({"gateway", "log-level"}, "is not debug, info, warning or error");
    }
    settings.m_front = file.getListenAddress({"gateway", "front"});
    settings.m_ready = file.getListenAddress({"gateway", "ready"});
    settings.m_operators = file.getListenAddress({"gateway", "operators"});
    if (settings.m_operators.m_port != 0 && settings.m_operators == settings.m_front) {
        file.report({"gateway", "operators"},
                    "is the callers' address: they need one of their own");
    }
    settings.m_core.m_links = file.getListenAddress({"gateway", "links"});
    settings.m_store = file.getAddress({"store", "address"});
    if (file.has({"advice", "address"})) {
        settings.m_advice = file.getAddress({"advice", "address"});
    }
    if (file.has({"machines", "address"})) {
        settings.m_machines = file.getAddress({"machines", "address"});
    }
}

/** What the host gives decides who leads; without it all gateways are taken for alike. */
void readHost(SettingsFile& file, LeadershipCandidacySettings& bid) {
    constexpr double LEAST_SHARE = 0.001;
    constexpr double MOST_SHARE = 1024;
    constexpr double MOST_MBPS = 1'000'000;
    bid.m_processorShare = file.getReal({"host", "processor-share"}, bid.m_processorShare,
                                        LEAST_SHARE, MOST_SHARE);
    bid.m_linkMbps = file.getReal({"host", "link-mbps"}, bid.m_linkMbps, 1, MOST_MBPS);
}

/** A planned stop has to be over before the platform kills the process. */
void readGrace(SettingsFile& file, GatewaySettings& settings) {
    // Shares of a grace of 6 s at which the defaults were measured (MEASUREMENTS.md).
    constexpr double LEAVE_SHARE = 0.43;
    constexpr double DRAIN_SHARE = 0.8;
    if (!file.has({"gateway", "grace-seconds"})) {
        return;
    }
    const double seconds = file.getReal({"gateway", "grace-seconds"}, 6, 1, 3600);
    const Millis grace(static_cast<std::int64_t>(seconds * MILLIS_PER_SECOND));
    settings.m_leaveTime = std::min(settings.m_leaveTime, scale(grace, LEAVE_SHARE));
    settings.m_drainTime = std::max(scale(grace, DRAIN_SHARE), settings.m_leaveTime);
}

void readSchedule(SettingsFile& file, GatewaySettings& settings) {
    auto& leader = settings.m_core.m_leader;
    const Millis leastLease =
            file.getDuration({"store", "least-lease"}, leader.m_timeToLive, LEAST, MOST);
    leader.m_timeToLive = file.getDuration({"store", "leader-lease"},
                                           std::max(leader.m_timeToLive, leastLease), LEAST, MOST);
    auto& workers = settings.m_core.m_workers;
    // A worker cuts a longer lease down, and the lease has to reach it first.
    constexpr double GRANT_SHARE = 0.75;
    const Millis longest =
            file.getDuration({"workers", "longest-hold"},
                             scale(workers.m_leaseDuration, 1 / GRANT_SHARE), LEAST, MOST);
    workers.m_leaseDuration = file.getDuration(
            {"workers", "grant"}, std::min(workers.m_leaseDuration, scale(longest, GRANT_SHARE)),
            LEAST, MOST);
    workers.m_maxWorkerLease = longest;
    if (workers.m_leaseDuration > longest) {
        file.report({"workers", "grant"}, "is longer than a worker holds (longest-hold)");
    }
    workers.m_outageGrace =
            file.getDuration({"workers", "outage-grace"}, workers.m_outageGrace, Millis(0), MOST);
    auto& planner = settings.m_core.m_jobs.m_planner;
    planner.m_remoteFactor =
            file.getReal({"planner", "far-factor"}, planner.m_remoteFactor, 1, 1000);
    planner.m_settleTime =
            file.getDuration({"planner", "settle-time"}, planner.m_settleTime, Millis(0), MOST);
    constexpr Millis DAY{86'400'000};
    planner.m_minStarvationWait = file.getDuration({"planner", "starvation-bound"},
                                                   planner.m_minStarvationWait, Millis(1000), DAY);
    planner.m_fragmentationWeight = static_cast<std::uint32_t>(
            file.getNumber({"planner", "fragmentation-weight"}, 0, 0, 100));
}

/** Placing stops when the list is three fifths of the bound old; see EvacuationFeed. */
void readEvacuations(SettingsFile& file, JobControllerSettings& jobs) {
    constexpr double BEGIN_SHARE = 0.2;
    constexpr double READ_SHARE = 0.1;
    constexpr Millis LEAST_BOUND{1000};
    EvacuationFeedSettings& feed = jobs.m_evacuations;
    feed.m_maxEnforcementDelay = file.getDuration({"evacuations", "bound"},
                                                  feed.m_maxEnforcementDelay, LEAST_BOUND, MOST);
    feed.m_interval = std::min(feed.m_interval, scale(feed.m_maxEnforcementDelay, READ_SHARE));
    jobs.m_startTimeout =
            std::min(jobs.m_startTimeout, scale(feed.m_maxEnforcementDelay, BEGIN_SHARE));
}

/**
 * Each mechanism of the decisions can be switched off, to see what it is worth; docs/DECISIONS.md
 * has the figures.
 */
void readSwitches(SettingsFile& file, JobCoreSettings& core) {
    auto& planner = core.m_jobs.m_planner;
    planner.m_excludesFailedHosts = file.getSwitch({"switches", "bars-hosts"}, true);
    planner.m_migratesOffLeaving = file.getSwitch({"switches", "moves-off-leaving"}, true);
    planner.m_copiesSlowTasks = file.getSwitch({"switches", "copies"}, true);
    if (!file.getSwitch({"switches", "waits-for-ends"}, true)) {
        planner.m_preemptionDelayShare = 0;
    }
    if (!file.getSwitch({"switches", "claims"}, true)) {
        planner.m_maxReservations = 0;
    }
    core.m_jobs.m_reservesHeadroom = file.getSwitch({"switches", "keeps-room"}, true);
    core.m_jobs.m_scoresHosts = file.getSwitch({"switches", "judges-hosts"}, true);
    core.m_jobs.m_learnsSpeeds = file.getSwitch({"switches", "learns-speeds"}, true);
    core.m_jobs.m_detectsStalls = file.getSwitch({"switches", "sees-stalls"}, true);
    core.m_intake.m_hedgesSubmissions = file.getSwitch({"switches", "hedges"}, true);
    core.m_intake.m_relaysRequests = file.getSwitch({"switches", "relays"}, true);
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
    readGrace(file, settings);
    readHost(file, settings.m_core.m_candidacy);
    settings.m_core.m_configuration.m_linkMbps = settings.m_core.m_candidacy.m_linkMbps;
    settings.m_tokens = readOperatorTokens(file);
    readSchedule(file, settings);
    readEvacuations(file, settings.m_core.m_jobs);
    readSwitches(file, settings.m_core);
    settings.m_core.m_leader.m_node = settings.m_name;
    settings.m_core.m_leader.m_statementAddress = settings.m_operators;
    settings.m_core.m_workers.m_node = settings.m_name;
    settings.m_core.m_waves.m_node = settings.m_name;
    file.reportUnknownKeys();
    return settings;
}

}  // namespace pierbank
