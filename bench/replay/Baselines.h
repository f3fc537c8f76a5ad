// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BENCH_REPLAY_BASELINES_H
#define PIERBANK_BENCH_REPLAY_BASELINES_H

#include <map>

#include "pierbank/policy/Planner.h"
#include "Replay.h"

namespace pierbank::replay {

/** The project's own planner. */
class PierbankPolicy final : public ReplayPolicy {
public:
    explicit PierbankPolicy(const PolicySettings& settings) : m_planner(settings) {}
    void plan(ClusterState& state, Millis now) override { m_planner.plan(state, now); }

private:
    Planner m_planner;
};

/** In order of arrival, each job on the first workers that hold it; those that fit may pass. */
class FirstFitFifo final : public ReplayPolicy {
public:
    void plan(ClusterState& state, Millis now) override;
};

/** Each organisation has workers of its own, as many as its part of the guarantees. */
class StaticPartitions final : public ReplayPolicy {
public:
    void plan(ClusterState& state, Millis now) override;

private:
    std::vector<std::string> m_ownerOf;
};

/** In order of arrival on the best fitting workers; no guarantees, reservations or preemption. */
class BestFit final : public ReplayPolicy {
public:
    void plan(ClusterState& state, Millis now) override;
};

}  // namespace pierbank::replay

#endif  // PIERBANK_BENCH_REPLAY_BASELINES_H
