// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_STOREKEYS_H
#define PIERBANK_CONTROL_STOREKEYS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace pierbank {

// Keys of the store. All inputs of the leader share one prefix, so that one watch covers them. The
// leader's decisions have another prefix, so that the watch does not report the leader's own
// writes.

/** The operators' configuration, which only the operators write. */
inline constexpr std::string_view CONFIGURATION_KEY = "op/config";
/** The leader's lease; the revision of this key is the epoch. */
inline constexpr std::string_view LEADER_KEY = "leader";
/** Prefix of everything that the leader watches. */
inline constexpr std::string_view INPUT_PREFIX = "input/";
/** Accepted jobs (JobRecord) by id. */
inline constexpr std::string_view JOB_PREFIX = "input/job/";
/** Requests to cancel a job, by the job's id. */
inline constexpr std::string_view CANCEL_PREFIX = "input/cancel/";
/**
 * Requests to cancel a job that was not accepted yet (EarlyCancels), by the job's id. The job's
 * submission may still be on its way.
 */
inline constexpr std::string_view EARLY_CANCEL_PREFIX = "input/early-cancel/";
/** Registered sidecars by address. */
inline constexpr std::string_view HOST_PREFIX = "input/host/";
/** Registered gateways by the address on which they accept the leader's link. */
inline constexpr std::string_view GATEWAY_PREFIX = "input/gateway/";
/** The leader's decisions about a job (JobRun), by the job's id. */
inline constexpr std::string_view RUN_PREFIX = "run/";

/** Failure domains, evacuated while their key exists; only the operators write these keys. */
inline constexpr std::string_view EVACUATION_PREFIX = "op/evacuate/";

/** Upkeep waves requested by the operators, by number; only the operators write these keys. */
inline constexpr std::string_view WAVE_PREFIX = "op/wave/";

/** Status of each upkeep wave, for the operators. */
inline constexpr std::string_view WAVE_STATUS_PREFIX = "status/wave/";

/** Machines of each upkeep wave whose upkeep has started. */
inline constexpr std::string_view WAVE_STATE_PREFIX = "wave/";

/** Operators' decisions about a worker, by host: `drain`, `quarantine` or `release`. */
inline constexpr std::string_view WORKER_PREFIX = "input/worker/";

/** Operators' decisions about a failure domain: EVACUATE_WORD or RELEASE_WORD. */
inline constexpr std::string_view DOMAIN_PREFIX = "input/domain/";
inline constexpr std::string_view EVACUATE_WORD = "evacuate";
inline constexpr std::string_view RELEASE_WORD = "release";

/**
 * TaskPlannerSettings::m_fragmentationWeight, 0 to 100: the degree to which large units are placed
 * first. Written by an operator's statement.
 */
inline constexpr std::string_view WEIGHT_KEY = "input/weight";

/** Audit trail: changes made by operators' statements, by number. */
inline constexpr std::string_view AUDIT_PREFIX = "audit/";

/** Returns the key of an accepted job. The functions below return the keys under their prefixes. */
inline std::string getJobKey(std::string_view id) {
    return std::string(JOB_PREFIX).append(id);
}

inline std::string getCancelKey(std::string_view id) {
    return std::string(CANCEL_PREFIX).append(id);
}

inline std::string getEarlyCancelKey(std::string_view id) {
    return std::string(EARLY_CANCEL_PREFIX).append(id);
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
