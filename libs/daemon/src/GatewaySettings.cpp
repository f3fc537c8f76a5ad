// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/GatewaySettings.h"

#include <algorithm>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Range of most durations. */
constexpr Millis MIN_DURATION{100};
constexpr Millis MAX_DURATION{600'000};
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
    settings.m_callerAddress = file.getListenAddress({"gateway", "front"});
    settings.m_readinessAddress = file.getListenAddress({"gateway", "ready"});
    settings.m_operators = file.getListenAddress({"gateway", "operators"});
    if (settings.m_operators.m_port != 0 && settings.m_operators == settings.m_callerAddress) {
        file.report({"gateway", "operators"},
                    "is the callers' address; operators need a separate address");
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

/**
 * Reads the resources that the host gives this process, which determine its fitness to lead.
 * Without these settings all gateways are considered equally fit.
 */
void readHostResources(SettingsFile& file, LeadershipCandidacySettings& candidacy) {
    constexpr double MIN_SHARE = 0.001;
    constexpr double MAX_SHARE = 1024;
    constexpr double MAX_MBPS = 1'000'000;
    candidacy.m_processorShare = file.getReal({"host", "processor-share"},
                                              candidacy.m_processorShare, MIN_SHARE, MAX_SHARE);
    candidacy.m_linkMbps = file.getReal({"host", "link-mbps"}, candidacy.m_linkMbps, 1, MAX_MBPS);
}

/** Limits the duration of a planned stop, which must end before the platform kills the process. */
void readGracePeriod(SettingsFile& file, GatewaySettings& settings) {
    // Fractions of the grace period. The default settings match a grace period of 6 s.
    constexpr double STOP_LISTENING_SHARE = 0.43;
    constexpr double DRAIN_SHARE = 0.8;
    if (!file.has({"gateway", "grace-seconds"})) {
        return;
    }
    const double seconds = file.getReal({"gateway", "grace-seconds"}, 6, 1, 3600);
    const Millis gracePeriod(static_cast<std::int64_t>(seconds * MILLIS_PER_SECOND));
    settings.m_stopListeningDelay =
            std::min(settings.m_stopListeningDelay, scale(gracePeriod, STOP_LISTENING_SHARE));
    settings.m_drainTimeout =
            std::max(scale(gracePeriod, DRAIN_SHARE), settings.m_stopListeningDelay);
}

/** Reads the durations of the leases and the settings of the planner. */
void readSchedule(SettingsFile& file, GatewaySettings& settings) {
    auto& leader = settings.m_core.m_leader;
    const Millis minLease = file.getDuration({"store", "least-lease"}, leader.m_timeToLive,
                                             MIN_DURATION, MAX_DURATION);
    leader.m_timeToLive =
            file.getDuration({"store", "leader-lease"}, std::max(leader.m_timeToLive, minLease),
                             MIN_DURATION, MAX_DURATION);
    auto& workers = settings.m_core.m_workers;
    // Workers shorten leases that exceed their maximum, and a part of the lease elapses before its
    // grant arrives.
    constexpr double GRANT_SHARE = 0.75;
    const Millis maxLease = file.getDuration({"workers", "longest-hold"},
                                             scale(workers.m_leaseDuration, 1 / GRANT_SHARE),
                                             MIN_DURATION, MAX_DURATION);
    workers.m_leaseDuration = file.getDuration(
            {"workers", "grant"}, std::min(workers.m_leaseDuration, scale(maxLease, GRANT_SHARE)),
            MIN_DURATION, MAX_DURATION);
    workers.m_maxWorkerLease = maxLease;
    if (workers.m_leaseDuration > maxLease) {
        file.report({"workers", "grant"},
                    "is longer than the longest lease that a worker accepts (longest-hold)");
    }
    workers.m_outageGrace = file.getDuration({"workers", "outage-grace"}, workers.m_outageGrace,
                                             Millis(0), MAX_DURATION);
    auto& planner = settings.m_core.m_jobs.m_planner;
    planner.m_remoteFactor =
            file.getReal({"planner", "far-factor"}, planner.m_remoteFactor, 1, 1000);
    planner.m_settleTime = file.getDuration({"planner", "settle-time"}, planner.m_settleTime,
                                            Millis(0), MAX_DURATION);
    constexpr Millis DAY{86'400'000};
    planner.m_minStarvationWait = file.getDuration({"planner", "starvation-bound"},
                                                   planner.m_minStarvationWait, Millis(1000), DAY);
    planner.m_fragmentationWeight = static_cast<std::uint32_t>(
            file.getNumber({"planner", "fragmentation-weight"}, 0, 0, 100));
}

/**
 * Reads the bound, which is the maximum time until an evacuation is enforced. Derives from the
 * bound the polling interval of the evacuations and the start timeout of runs. Work is no longer
 * placed once the polled list is older than three fifths of the bound; see EvacuationFeed.
 */
void readEvacuations(SettingsFile& file, JobControllerSettings& jobs) {
    constexpr double START_SHARE = 0.2;
    constexpr double POLL_SHARE = 0.1;
    constexpr Millis MIN_BOUND{1000};
    EvacuationFeedSettings& feed = jobs.m_evacuations;
    feed.m_maxEnforcementDelay = file.getDuration(
            {"evacuations", "bound"}, feed.m_maxEnforcementDelay, MIN_BOUND, MAX_DURATION);
    feed.m_interval = std::min(feed.m_interval, scale(feed.m_maxEnforcementDelay, POLL_SHARE));
    jobs.m_startTimeout =
            std::min(jobs.m_startTimeout, scale(feed.m_maxEnforcementDelay, START_SHARE));
}

/** Reads the switches that disable single scheduling mechanisms, to measure their effect. */
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
    planner.m_forecastsCompletion = file.getSwitch({"switches", "forecasts-completion"}, true);
    planner.m_reservesEarly = file.getSwitch({"switches", "reserves-early"}, true);
    core.m_jobs.m_keepsLearned = file.getSwitch({"switches", "keeps-learned"}, true);
    core.m_jobs.m_learned.m_health.m_probesHosts =
            file.getSwitch({"switches", "probes-hosts"}, true);
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
        constexpr std::size_t MIN_TOKEN_BYTES = 8;
        if (token.size() < MIN_TOKEN_BYTES) {
            file.report({"operators", name}, "the token has fewer than 8 characters");
        } else if (!tokens.emplace(token, name).second) {
            file.report({"operators", name}, "another operator has the same token");
        }
    }
    if (tokens.empty()) {
        file.report({"operators", "*"},
                    "no operator is named, so that all statements would be refused");
    }
    return tokens;
}

GatewaySettings readGatewaySettings(SettingsFile& file) {
    GatewaySettings settings;
    readAddresses(file, settings);
    readGracePeriod(file, settings);
    readHostResources(file, settings.m_core.m_candidacy);
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
