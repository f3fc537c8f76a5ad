// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_FAULTPLAN_H
#define PIERBANK_TEST_SOAK_FAULTPLAN_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank::testing {

enum class FaultKind {
    GATEWAY_KILL,
    GATEWAY_FREEZE,
    GATEWAY_STOP,
    SIDECAR_KILL,
    SIDECAR_FREEZE,
    ALL_GATEWAYS_KILL,
    EVERYTHING_KILL,
    GATEWAY_STORE_SILENT,
    GATEWAY_STORE_RESET,
    GATEWAY_STORE_SLOW,
    SIDECAR_LINK_SILENT,
    SIDECAR_LINK_RESET,
    SIDECAR_LINK_SLOW,
    STORE_DOWN,
    STORE_SILENT,
    STORE_SLOW,
    STORE_LOSES,
    STORE_LATE,
    STORE_DEAF,
    STORE_FORGETS,
    STORE_LAPSES,
    WORKER_RESTART,
    WORKER_SILENT,
    WORKER_HANGS,
    WORKER_SLOW,
    WORKER_DRAINS,
    KEY_CHANGE,
    /** A request of the operators rather than a fault; drawn beside the others. */
    DOMAIN_EVACUATED,
};

inline constexpr std::size_t FAULT_KINDS =
        static_cast<std::size_t>(FaultKind::DOMAIN_EVACUATED) + 1;

/** As `gateway-kill`. */
std::string_view toText(FaultKind kind);

/** One fault: strikes at a time, and heals after another. */
struct Fault {
    Millis m_at{0};
    Millis m_for{0};
    FaultKind m_kind = FaultKind::GATEWAY_KILL;
    /** Which gateway, sidecar or worker; taken modulo how many there are. */
    std::size_t m_target = 0;

    std::string toText() const;
};

/**
 * Draws a schedule: the same seed gives the same faults. They come in series and overlap.
 * @param kinds only these, by name; empty for all.
 */
std::vector<Fault> drawFaults(std::uint64_t seed, Millis length,
                              const std::vector<std::string>& kinds);

/** Draws requests to evacuate failure domains, from numbers of their own: a seed's faults stay. */
std::vector<Fault> drawEvacuations(std::uint64_t seed, Millis length);

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_FAULTPLAN_H
