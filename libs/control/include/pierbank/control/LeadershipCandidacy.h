// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H
#define PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H

#include <cstdint>

#include "pierbank/base/Clock.h"
#include "pierbank/base/Random.h"

namespace pierbank {

struct LeadershipCandidacySettings {
    /** Share of one core that this gateway gets from its host. */
    double m_processorShare = 1.0;
    /** Bandwidth of this gateway's host, in megabits per second. */
    double m_linkMbps = 1000.0;
    /**
     * Length of the spread for each gateway. The election delays of all gateways are distributed
     * over the spread, so that few gateways write to the store at the same time.
     */
    Millis m_spreadPerGateway{2};
    Millis m_maxSpread{200};
    /**
     * Spread of a gateway that has never had a leader and so does not know the number of gateways.
     */
    Millis m_unknownSpread{50};
    /** Delay of a gateway with a fitness of zero, in addition to the whole spread. */
    Millis m_maxFitnessDelay{100};
};

/**
 * Decides which gateway first tries to acquire a free leader key, by means of the election delay of
 * each gateway.
 *
 * The delay is a random part of a spread that grows with the number of gateways. The shortest delay
 * is therefore small however many gateways there are, and most of the other gateways see the key of
 * the first candidate before they become candidates themselves.
 *
 * A gateway whose fitness is below the best fitness that the last leader reported waits longer.
 * The additional delay grows as the fitness falls, up to the whole spread plus m_maxFitnessDelay.
 * Without such a report the
 * fitness of a full core is used instead of the best fitness. Less fit gateways remain candidates
 * and lead if no better gateway is left.
 *
 * Uses neither clock nor network; the owner calls drawElectionDelay() when the key is free.
 */
class LeadershipCandidacy {
public:
    LeadershipCandidacy(LeadershipCandidacySettings settings, Random random)
            : m_settings(settings), m_random(std::move(random)) {}

    /**
     * Returns how well this gateway could lead, in thousandths of one core with a responsive event
     * loop and a sufficient link. A lagging event loop lowers the fitness, since the gateway then
     * shares the host's processor with others.
     */
    std::uint32_t getFitness() const;

    /** Records how late a timer of this gateway's event loop ran. */
    void recordLag(Millis lag);

    /**
     * Records a leader's report: the number of linked gateways, and the best fitness among them and
     * the leader itself.
     */
    void recordFleet(std::uint32_t gateways, std::uint32_t bestFitness);

    /** Returns a new random delay before this gateway tries to acquire the leader key. */
    Millis drawElectionDelay();

private:
    Millis getSpread() const;
    Millis getFitnessDelay(Millis spread) const;

    const LeadershipCandidacySettings m_settings;
    Random m_random;
    /** Exponential moving average, in milliseconds. */
    double m_meanLag = 0;
    std::uint32_t m_gateways = 0;
    std::uint32_t m_bestFitness = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_LEADERSHIPCANDIDACY_H
