// SPDX-License-Identifier: Apache-2.0
#include "FaultPlan.h"

#include <algorithm>
#include <array>

#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr std::array<std::string_view, FAULT_KINDS> NAMES = {
        "gateway-kill",        "gateway-freeze",     "gateway-stop",        "sidecar-kill",
        "sidecar-freeze",      "all-gateways-kill",  "everything-kill",     "gateway-store-silent",
        "gateway-store-reset", "gateway-store-slow", "sidecar-link-silent", "sidecar-link-reset",
        "sidecar-link-slow",   "store-down",         "store-silent",        "store-slow",
        "store-loses",         "store-late",         "store-deaf",          "store-forgets",
        "store-lapses",        "worker-restart",     "worker-silent",       "worker-hangs",
        "worker-slow",         "worker-drains",      "key-change",          "domain-evacuated",
        "worker-refuses"};

/**
 * Number of kinds that drawFaults() draws from. Evacuations are excluded, because one more kind
 * would change the faults of every seed; see drawEvacuations().
 */
constexpr std::size_t RANDOM_KINDS = static_cast<std::size_t>(FaultKind::KEY_CHANGE) + 1;

/** No fault is injected before the processes have had time to connect to each other. */
constexpr Millis FAULT_FREE_START{2500};

}  // namespace

std::string_view toText(FaultKind kind) {
    return NAMES.at(static_cast<std::size_t>(kind));
}

std::string Fault::toText() const {
    return std::to_string(m_at.count()) + " ms, for " + std::to_string(m_duration.count()) +
           " ms: " + std::string(pierbank::testing::toText(m_kind)) + " " +
           std::to_string(m_target);
}

std::vector<Fault> drawFaults(std::uint64_t seed, Millis length,
                              const std::vector<std::string>& kinds) {
    Random random(seed);
    const auto draw = [&random](std::int64_t minMs, std::int64_t maxMs) {
        return Millis(minMs + static_cast<std::int64_t>(
                                      random.below(static_cast<std::uint64_t>(maxMs - minMs + 1))));
    };
    std::vector<Fault> faults;
    for (Millis at = FAULT_FREE_START; at < length;) {
        // A series of faults within a short time, of the same or of different kinds.
        const std::uint64_t series = 1 + random.below(3);
        for (std::uint64_t i = 0; i < series; ++i) {
            Fault fault;
            fault.m_kind = static_cast<FaultKind>(random.below(RANDOM_KINDS));
            fault.m_target = random.below(64);
            fault.m_at = at + draw(0, 600);
            fault.m_duration = draw(100, 6000);
            const bool isWanted = kinds.empty() || std::find(kinds.begin(), kinds.end(),
                                                             toText(fault.m_kind)) != kinds.end();
            if (isWanted) {
                faults.push_back(fault);
            }
        }
        at += draw(300, 2500);
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault& a, const Fault& b) { return a.m_at < b.m_at; });
    return faults;
}

std::vector<Fault> drawRefusals(std::uint64_t seed, Millis length,
                                const std::vector<std::string>& kinds) {
    const auto name = toText(FaultKind::WORKER_REFUSES);
    if (!kinds.empty() && std::find(kinds.begin(), kinds.end(), name) == kinds.end()) {
        return {};
    }
    constexpr std::uint64_t SALT = 0x72656675;
    Random random(seed ^ SALT);
    std::vector<Fault> refusals;
    for (Millis at = FAULT_FREE_START; at < length;) {
        Fault refusal;
        refusal.m_kind = FaultKind::WORKER_REFUSES;
        refusal.m_at = at;
        refusal.m_duration = Millis(static_cast<std::int64_t>(200 + random.below(6500)));
        refusal.m_target = random.below(64);
        refusals.push_back(refusal);
        at += Millis(static_cast<std::int64_t>(500 + random.below(4000)));
    }
    return refusals;
}

std::vector<Fault> drawEvacuations(std::uint64_t seed, Millis length) {
    constexpr std::uint64_t SALT = 0x65766163;
    Random random(seed ^ SALT);
    std::vector<Fault> requests;
    for (Millis at = FAULT_FREE_START; at < length;) {
        Fault request;
        request.m_kind = FaultKind::DOMAIN_EVACUATED;
        request.m_at = at;
        // Some requests are withdrawn soon, others last longer than Promises::MAX_EVACUATION_DELAY,
        // so that both early withdrawal and complete evacuation are covered.
        request.m_duration = Millis(static_cast<std::int64_t>(200 + random.below(15'000)));
        request.m_target = random.below(64);
        requests.push_back(request);
        at += Millis(static_cast<std::int64_t>(500 + random.below(5000)));
    }
    return requests;
}

}  // namespace pierbank::testing
