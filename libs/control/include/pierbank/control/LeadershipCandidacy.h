// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H
#define PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H

#include <cstdint>

#include "pierbank/base/Clock.h"
#include "pierbank/base/Random.h"

namespace pierbank {

struct LeadershipCandidacySettings {
    /** Of one core; what the host gives to this gateway. */
    double m_processorShare = 1.0;
    double m_linkMbps = 1000.0;
    /** Bids of a fleet are spread over so long a gateway, so that few write at the same time. */
    Millis m_spreadPerGateway{2};
    Millis m_maxSpread{200};
    /** A gateway that has never had a leader does not know how many there are. */
    Millis m_unknownSpread{50};
    /** What a gateway without any fitness waits beyond the spread. */
    Millis m_maxFitnessDelay{100};
};

/**
 * Decides who goes for a free leader key first. Each gateway waits for a random part of a spread,
 * which grows with the number of gateways: so the first bid comes early whatever their number is,
 * and most of the others see its key before they bid. A gateway that could lead less well than the
 * best one that the last leader knew, or than one with a core of its own if there was none, waits
 * beyond the whole spread. It bids all the same: with none better left it leads.
 *
 * No clock, no network; the owner calls drawElectionDelay() when the key is free.
 */
class LeadershipCandidacy {
public:
    LeadershipCandidacy(LeadershipCandidacySettings settings, Random random)
            : m_settings(settings), m_random(std::move(random)) {}

    /**
     * How well this gateway could lead, in thousandths of a core that answers at once on a link
     * that is wide enough. The processor of a host whose loop lags is not this gateway's alone.
     */
    std::uint32_t getFitness() const;

    /** How late a timer of this gateway's loop ran. */
    void recordLag(Millis lag);

    /** What a leader told: linked gateways, and the best fitness among them and itself. */
    void recordFleet(std::uint32_t gateways, std::uint32_t bestFitness);

    Millis drawElectionDelay();

private:
    Millis getSpread() const;
    Millis getFitnessDelay(Millis spread) const;

    const LeadershipCandidacySettings m_settings;
    Random m_random;
    /** Fading mean, in milliseconds. */
    double m_lag = 0;
    std::uint32_t m_gateways = 0;
    std::uint32_t m_bestFitness = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H
