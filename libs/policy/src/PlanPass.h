// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_SRC_PLANPASS_H
#define PIERBANK_POLICY_SRC_PLANPASS_H

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Occupancy.h"
#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/Planner.h"
#include "pierbank/policy/UnitPacker.h"

namespace pierbank {

/** One pass of the planner over one state. */
class PlanPass {
public:
    PlanPass(const PolicySettings& settings, ClusterState& state, Millis now);

    Plan run();

private:
    using ShapeKey = std::tuple<std::uint32_t, std::uint32_t, Adjacency>;
    using OrganisationShapeKey = std::pair<std::string, ShapeKey>;
    using CountOf = std::function<std::uint32_t(WorkerIndex)>;
    using IsVictim = std::function<bool(const Job&)>;

    /** Where a job would go inside one unit, and what else that changes. */
    struct UnitPlace {
        std::uint64_t m_unit = 0;
        CellChoice m_choice;
        /** Accelerators that borrowed work would have to give back. */
        std::uint32_t m_shortage = 0;
    };

    // Steps of a pass.
    void repackUnits();
    void adoptIntoUnits();
    void revertHopelessClaims();
    void assignClaims();
    void preemptForPatientClaims();
    void placeQueue();

    // Ways to place one queued job, best first.
    bool placeWithinGuarantee(Job& job);
    bool placeOnOpen(Job& job);
    bool placeBackfill(Job& job);
    bool claimForUrgent(Job& job);
    bool claimForStarved(Job& job);
    bool claimByMoving(Job& job);
    void explainWaiting(Job& job, bool inFull);

    // Guarantees.
    void adopt(Job& job);
    std::optional<UnitPlace> findInUnit(const Job& job, const GuaranteeUnit& unit) const;
    bool isBusy(const GuaranteeUnit& unit) const;
    bool takeByRebinding(Job& job, const GuaranteeUnit& unit);
    std::optional<CellChoice> chooseCells(const Job& job, const GuaranteeUnit& unit) const;
    std::optional<UnitPlace> findByEviction(const Job& job, const GuaranteeUnit& unit) const;
    std::vector<std::uint32_t> countRoom(const GuaranteeUnit& unit, bool isForUrgent) const;
    /** Preempts what is over the unit's room now that `job` has its place in it. */
    std::vector<std::string> evictFrom(const GuaranteeUnit& unit, const Job& job);
    std::optional<CellChoice> chooseIn(std::vector<std::uint32_t> room, const Job& job) const;
    std::uint32_t countShortage(const Job& job, const CellChoice& choice) const;

    // Changes.
    void place(Job& job, const CellChoice& choice, const Explanation& why);
    void claim(Job& job, const CellChoice& choice, const Explanation& why);
    void assign(Job& job);
    bool canAssign(const Job& job, bool useStarvedClaims) const;
    bool canMove(const Job& job, const CellChoice& choice, const IsVictim& isVictim) const;
    std::vector<std::string> preemptFor(const Job& job, const IsVictim& isVictim,
                                        Constraint constraint);
    void preempt(Job& victim, const Job& forJob, Constraint constraint);
    void decide(Job& job, const Explanation& why);

    // Questions.
    void indexPlaced();
    static ShapeKey makeKey(const Shape& shape);
    /** Whether a job may be preempted for a firm claim. */
    bool isVictimOfFirm(const Job& other, const Job& job) const;
    bool isBorrowed(const Job& job) const;
    bool isStarved(const Job& job) const;
    double getQueueKey(const Job& job) const;
    std::vector<Job*> getQueue();
    std::vector<Job*> getClaims();
    std::vector<std::uint32_t> collect(const CountOf& count) const;
    std::vector<std::uint32_t> collectWithVictims(const IsVictim& isVictim,
                                                  bool isGuaranteed) const;
    std::vector<double> getDisturbance(const IsVictim& isVictim) const;
    std::optional<CellChoice> findAvoiding(const Job& job, std::vector<std::uint32_t> available,
                                           const std::vector<double>& disturbance) const;
    Millis getEarliestClaimTime() const;
    Explanation makeWhy(Verdict verdict, Constraint constraint, const Job& job,
                        std::uint32_t candidates) const;

    const PolicySettings& m_settings;
    ClusterState& m_state;
    const Millis m_now;
    const CellFinder m_finder;
    UnitPacker m_packer;
    Occupancy m_occupancy;
    Plan m_plan;
    /** Jobs that have workers; the many others in the queue are not looked at again. */
    std::vector<Job*> m_placed;
    std::uint32_t m_starvedClaims = 0;
    /** Accelerators that are free and not claimed, over all workers; empty: to be counted. */
    mutable std::optional<std::uint32_t> m_openTotal;
    // What found no room in this pass will find none later in it: room only gets less.
    std::set<ShapeKey> m_failedShapes;
    std::set<ShapeKey> m_failedBackfill;
    std::set<ShapeKey> m_failedStarved;
    std::set<ShapeKey> m_failedMoves;
    std::set<ShapeKey> m_failedUrgent;
    std::set<std::pair<bool, OrganisationShapeKey>> m_failedGuarantees;
    std::uint32_t m_explained = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_POLICY_SRC_PLANPASS_H
