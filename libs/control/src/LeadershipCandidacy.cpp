// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeadershipCandidacy.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

namespace {

/** Behind a narrower link a large configuration, or all links at a take-over, take seconds. */
constexpr double WIDE_LINK_MBPS = 100.0;
/** A loop that lags this much on the mean has half of its processor left. */
constexpr double HALVING_LAG_MS = 20.0;
/** Weight of the newest lag in the fading mean. */
constexpr double NEWEST = 0.2;
constexpr double WHOLE_CORE = 1000.0;

}  // namespace

std::uint32_t LeadershipCandidacy::getFitness() const {
    const double link = std::min(1.0, m_settings.m_linkMbps / WIDE_LINK_MBPS);
    const double lag = HALVING_LAG_MS / (HALVING_LAG_MS + m_lag);
    return static_cast<std::uint32_t>(
            std::lround(WHOLE_CORE * m_settings.m_processorShare * link * lag));
}

void LeadershipCandidacy::recordLag(Millis lag) {
    m_lag += NEWEST * (static_cast<double>(std::max(lag, Millis(0)).count()) - m_lag);
}

void LeadershipCandidacy::recordFleet(std::uint32_t gateways, std::uint32_t bestFitness) {
    m_gateways = gateways;
    m_bestFitness = bestFitness;
}

Millis LeadershipCandidacy::drawElectionDelay() {
    const Millis spread = getSpread();
    const auto part = m_random.below(static_cast<std::uint64_t>(spread.count()) + 1);
    return Millis(static_cast<std::int64_t>(part)) + getFitnessDelay(spread);
}

Millis LeadershipCandidacy::getSpread() const {
    if (m_gateways == 0) {
        return m_settings.m_unknownSpread;
    }
    return std::min(m_settings.m_spreadPerGateway * m_gateways, m_settings.m_maxSpread);
}

Millis LeadershipCandidacy::getFitnessDelay(Millis spread) const {
    const double own = getFitness();
    const double best = m_bestFitness == 0 ? WHOLE_CORE : m_bestFitness;
    if (own >= best) {
        return Millis(0);
    }
    const double missing = 1.0 - own / best;
    const Millis most = spread + m_settings.m_maxFitnessDelay;
    return Millis(std::llround(missing * static_cast<double>(most.count())));
}

}  // namespace pierbank
