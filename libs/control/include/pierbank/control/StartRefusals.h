// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_STARTREFUSALS_H
#define PIERBANK_CONTROL_STARTREFUSALS_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/**
 * Why a sidecar reports that a run was not started. The texts are those of the messages between the
 * processes; a worker's own words for a refusal are passed on as they are.
 */
namespace absence {
inline constexpr std::string_view NO_CAPACITY = "room";
inline constexpr std::string_view NO_TICKET = "ticket";
inline constexpr std::string_view PREVENTED = "old";
inline constexpr std::string_view OLD_FENCE = "fence";
inline constexpr std::string_view LEASE_PASSED = "late";
inline constexpr std::string_view OTHER_INCARNATION = "another life of the worker";
inline constexpr std::string_view DRAINING = "the worker is draining";
inline constexpr std::string_view STOPPED = "stopped on the leader's word";
inline constexpr std::string_view ORDER_TOO_OLD = "the order is too old";
inline constexpr std::string_view NO_ANSWER = "the worker did not answer";
}  // namespace absence

/**
 * Returns whether the worker would not or could not start the run although it has the capacity: it
 * answered 429 or 503, closed the connection, or did not answer.
 */
bool isWorkerRefusal(std::string_view absenceReason);

/** How long hosts get no new runs after refusals. */
struct RefusalLimits {
    /** Number of consecutive refusals that have no effect. */
    std::uint32_t m_tolerated = 0;
    /** Length of the first pause; each further pause is twice as long, up to the maximum. */
    Millis m_minPause{100};
    Millis m_maxPause{2000};
};

/**
 * Limits for refusals for insufficient capacity. If capacity seemed free only because the end of a
 * run was known before the worker's report of it, that report arrives within the first pause.
 * Workers report their capacity at least as often as the longest pause.
 */
inline constexpr RefusalLimits CAPACITY_REFUSAL_LIMITS{0, Millis(100), Millis(2000)};
/**
 * Limits for a worker's other refusals. A worker that refuses only some starts keeps getting work.
 * The longest pause leaves time for a start within the bound on jobs without a run.
 */
inline constexpr RefusalLimits WORKER_REFUSAL_LIMITS{3, Millis(100), Millis(1000)};

/**
 * Pauses placements on workers that refuse starts: without a pause, a start was repeated up to 100
 * times per second. Of several refusals during a pause only the first counts, since they answer
 * starts that were sent together.
 */
class StartRefusals {
public:
    explicit StartRefusals(RefusalLimits limits) : m_limits(limits) {}

    /**
     * Records a refusal.
     * @return the length of the pause that begins now; zero if none begins.
     */
    Millis recordRefusal(const std::string& host, Millis now);
    /** Records that a worker has begun a run that was placed at `placedAt`. */
    void recordStart(const std::string& host, Millis placedAt);
    /** Forgets the refusals of a host, and ends its pause. */
    void forget(const std::string& host) { m_hosts.erase(host); }
    /** Returns whether no run should be placed on the host at present. */
    bool isPaused(const std::string& host, Millis now) const;
    /** Returns whether refusals of the host are remembered. */
    bool hasRefused(const std::string& host) const { return m_hosts.count(host) != 0; }
    void clear() { m_hosts.clear(); }

private:
    struct Host {
        std::uint32_t m_count = 0;
        Millis m_lastAt{0};
        Millis m_length{0};
        Millis m_until{0};
    };

    const RefusalLimits m_limits;
    std::map<std::string, Host> m_hosts;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_STARTREFUSALS_H
