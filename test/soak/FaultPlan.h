// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_FAULTPLAN_H
#define PIERBANK_TEST_SOAK_FAULTPLAN_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank::testing {

/** Kinds of faults that the soak injects. The order determines the faults of a seed. */
enum class FaultKind {
    /** SIGKILL; the process is restarted. */
    GATEWAY_KILL,
    /** SIGSTOP until the fault heals. */
    GATEWAY_FREEZE,
    /** SIGTERM, a planned stop; the process is restarted. */
    GATEWAY_STOP,
    SIDECAR_KILL,
    SIDECAR_FREEZE,
    ALL_GATEWAYS_KILL,
    /** SIGKILL of all gateways and all sidecars. */
    EVERYTHING_KILL,
    /** Connections between one gateway and the store: blocked, reset or delayed. */
    GATEWAY_STORE_SILENT,
    GATEWAY_STORE_RESET,
    GATEWAY_STORE_SLOW,
    /** Connections from gateways to one sidecar: blocked, reset or delayed. */
    SIDECAR_LINK_SILENT,
    SIDECAR_LINK_RESET,
    SIDECAR_LINK_SLOW,
    /** The store answers every call with 503. */
    STORE_DOWN,
    /** The store neither executes nor answers calls. */
    STORE_SILENT,
    /** The store delays its answers. */
    STORE_SLOW,
    /** Some transactions are executed but not answered. */
    STORE_LOSES,
    /** Some transactions are not answered and are executed seconds later. */
    STORE_LATE,
    /** Watches deliver no events. */
    STORE_DEAF,
    /** The store compacts its history, so that watches have to start over. */
    STORE_FORGETS,
    /** All leases in the store expire at once. */
    STORE_LAPSES,
    /** The worker is replaced by another incarnation, which has none of its runs. */
    WORKER_RESTART,
    /** The worker answers nothing; its runs continue until their lease expires. */
    WORKER_SILENT,
    /** The worker's runs stall while its heartbeats report no fault. */
    WORKER_HANGS,
    /** The worker's runs take several times as long. */
    WORKER_SLOW,
    /** The worker announces that it will leave, and is replaced when the fault heals. */
    WORKER_DRAINS,
    /** The platform's configuration is replaced, with another API key. */
    KEY_CHANGE,
    /** An operator's request rather than a fault; see drawEvacuations(). */
    DOMAIN_EVACUATED,
    /**
     * The worker refuses starts, in one of the forms of the contract, while its heartbeats and
     * polls go on; see drawRefusals().
     */
    WORKER_REFUSES,
};

inline constexpr std::size_t FAULT_KINDS = static_cast<std::size_t>(FaultKind::WORKER_REFUSES) + 1;

/** Returns the name of a kind for the command line and logs, such as `gateway-kill`. */
std::string_view toText(FaultKind kind);

/** A fault that is injected at a given time and heals after its duration. */
struct Fault {
    /** Time of the injection, from the start of the soak. */
    Millis m_at{0};
    /**
     * Time until the fault heals. Without effect for kinds with nothing to undo, such as a kill.
     */
    Millis m_duration{0};
    FaultKind m_kind = FaultKind::GATEWAY_KILL;
    /** Index of the gateway, sidecar or worker, taken modulo their number. */
    std::size_t m_target = 0;

    /** Returns time, duration, kind and target for the output of the soak. */
    std::string toText() const;
};

/**
 * Returns a random schedule of faults, ordered by time. Faults come in series of one to three and
 * may overlap. The same seed gives the same schedule.
 * @param length no series starts after this time.
 * @param kinds names of the kinds to include; empty for all. Faults of other kinds are omitted from
 * the schedule; the remaining faults do not change.
 */
std::vector<Fault> drawFaults(std::uint64_t seed, Millis length,
                              const std::vector<std::string>& kinds);

/**
 * Returns a random schedule of requests to evacuate failure domains. The requests use a separate
 * random sequence, so that a seed gives the same faults with and without evacuations.
 */
std::vector<Fault> drawEvacuations(std::uint64_t seed, Millis length);

/**
 * Returns a random schedule of workers that refuse starts, from a random sequence of its own like
 * that of the evacuations.
 * @param kinds as for drawFaults().
 */
std::vector<Fault> drawRefusals(std::uint64_t seed, Millis length,
                                const std::vector<std::string>& kinds);

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_FAULTPLAN_H
