// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/LeadershipCandidacy.h"

#include <algorithm>
#include <cmath>

namespace pierbank {

namespace {

/**
 * Bandwidth that suffices for a leader. Over a narrower link, transferring a large configuration or
 * opening all links after a change of leader takes seconds.
 */
constexpr double SUFFICIENT_LINK_MBPS = 100.0;
/** Mean lag of the event loop at which the gateway counts as having half of its processor. */
constexpr double HALVING_LAG_MS = 20.0;
/** Weight of the newest lag in the moving average. */
constexpr double NEWEST_LAG_WEIGHT = 0.2;
/** Fitness of a gateway with one core, a sufficient link and no lag. */
constexpr double FULL_CORE_FITNESS = 1000.0;

}  // namespace

std::uint32_t LeadershipCandidacy::getFitness() const {
    const double link = std::min(1.0, m_settings.m_linkMbps / SUFFICIENT_LINK_MBPS);
    const double lag = HALVING_LAG_MS / (HALVING_LAG_MS + m_meanLag);
    return static_cast<std::uint32_t>(
            std::lround(FULL_CORE_FITNESS * m_settings.m_processorShare * link * lag));
}

void LeadershipCandidacy::recordLag(Millis lag) {
    m_meanLag +=
            NEWEST_LAG_WEIGHT * (static_cast<double>(std::max(lag, Millis(0)).count()) - m_meanLag);
}

void LeadershipCandidacy::recordFleet(std::uint32_t gateways, std::uint32_t bestFitness) {
    m_gateways = gateways;
    m_bestFitness = bestFitness;
}

Millis LeadershipCandidacy::drawElectionDelay() {
    const Millis spread = getSpread();
    const auto offset = m_random.below(static_cast<std::uint64_t>(spread.count()) + 1);
    return Millis(static_cast<std::int64_t>(offset)) + getFitnessDelay(spread);
}

Millis LeadershipCandidacy::getSpread() const {
    if (m_gateways == 0) {
        return m_settings.m_unknownSpread;
    }
    return std::min(m_settings.m_spreadPerGateway * m_gateways, m_settings.m_maxSpread);
}

Millis LeadershipCandidacy::getFitnessDelay(Millis spread) const {
    const double own = getFitness();
    const double best = m_bestFitness == 0 ? FULL_CORE_FITNESS : m_bestFitness;
    if (own >= best) {
        return Millis(0);
    }
    const double deficit = 1.0 - own / best;
    const Millis maxDelay = spread + m_settings.m_maxFitnessDelay;
    return Millis(std::llround(deficit * static_cast<double>(maxDelay.count())));
}

}  // namespace pierbank
