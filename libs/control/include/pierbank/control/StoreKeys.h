// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_STOREKEYS_H
#define PIERBANK_CONTROL_STOREKEYS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace pierbank {

// Keys of the store. What the leader has to hear of lies under one prefix, so that one watch is
// enough; what it decided lies under another, so that it does not hear of its own writes.

/** The operators' configuration; written by them alone. */
inline constexpr std::string_view CONFIGURATION_KEY = "op/config";
/** The leader's lease; its revision is the epoch. */
inline constexpr std::string_view LEADER_KEY = "leader";
/** What the leader watches. */
inline constexpr std::string_view INPUT_PREFIX = "input/";
/** An accepted job (JobRecord). */
inline constexpr std::string_view JOB_PREFIX = "input/job/";
/** A caller's wish that a job be withdrawn. */
inline constexpr std::string_view CANCEL_PREFIX = "input/cancel/";
/** Address of a sidecar. */
inline constexpr std::string_view HOST_PREFIX = "input/host/";
/** Address at which a gateway takes the leader's link. */
inline constexpr std::string_view GATEWAY_PREFIX = "input/gateway/";
/** What the leader decided about a job (JobRun). */
inline constexpr std::string_view RUN_PREFIX = "run/";

/** A failure domain that is to get nothing, until the key is gone; written by them alone. */
inline constexpr std::string_view EVACUATION_PREFIX = "op/evacuate/";

/** Upkeep that the operators ask for; written by them alone. */
inline constexpr std::string_view WAVE_PREFIX = "op/wave/";

/** How upkeep that was asked for stands, for the operators. */
inline constexpr std::string_view WAVE_STATUS_PREFIX = "status/wave/";

/** Machines of a wave whose upkeep has begun. */
inline constexpr std::string_view WAVE_STATE_PREFIX = "wave/";

/** What an operator decided about a worker: `drain`, `quarantine` or `release`. */
inline constexpr std::string_view WORKER_PREFIX = "input/worker/";

/** What an operator's statement decided about a failure domain, one of the two words. */
inline constexpr std::string_view DOMAIN_PREFIX = "input/domain/";
inline constexpr std::string_view EVACUATE_WORD = "evacuate";
inline constexpr std::string_view RELEASE_WORD = "release";

/** How far large work goes first, 0 to 100; written by an operator's statement. */
inline constexpr std::string_view WEIGHT_KEY = "input/weight";

/** Changes by operators' statements, numbered. */
inline constexpr std::string_view AUDIT_PREFIX = "audit/";

inline std::string getJobKey(std::string_view id) {
    return std::string(JOB_PREFIX).append(id);
}

inline std::string getCancelKey(std::string_view id) {
    return std::string(CANCEL_PREFIX).append(id);
}

inline std::string getHostKey(std::string_view address) {
    return std::string(HOST_PREFIX).append(address);
}

inline std::string getGatewayKey(std::string_view address) {
    return std::string(GATEWAY_PREFIX).append(address);
}

inline std::string getWorkerKey(std::string_view address) {
    return std::string(WORKER_PREFIX).append(address);
}

inline std::string getDomainKey(std::string_view domain) {
    return std::string(DOMAIN_PREFIX).append(domain);
}

inline std::string getWaveStateKey(std::uint64_t number) {
    return std::string(WAVE_STATE_PREFIX).append(std::to_string(number));
}

inline std::string getWaveStatusKey(std::uint64_t number) {
    return std::string(WAVE_STATUS_PREFIX).append(std::to_string(number));
}

inline std::string getRunKey(std::string_view id) {
    return std::string(RUN_PREFIX).append(id);
}

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_STOREKEYS_H
