// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/RunLosses.h"

#include <algorithm>
#include <array>

namespace pierbank {

namespace {

/** Five crashes: the three and two of the users' rule. */
constexpr unsigned PROOF = 10;
constexpr unsigned CRASH_WEIGHT = 2;
/** Ten hosts that went under one task: a task that takes the host along is given up too. */
constexpr unsigned HOST_WEIGHT = 1;
constexpr std::size_t MAX_LOSSES = 10;
/** More than those that matter: two starts after a crash, and what room refuses between. */
constexpr std::size_t MAX_NOT_BEGUN = 16;
constexpr std::size_t CRASHES = 3;
constexpr std::uint32_t STARTS_AFTER = 2;
/** A worker that goes so soon after a start went by it: a sidecar sees within milliseconds that
 * its connections break. */
constexpr Millis QUICK{150};
constexpr std::size_t QUICK_CRASHES = 3;
/** Of runs that began lately, one is blamed before others if it began in half their time. */
constexpr Millis LATELY{2000};
/** Runs that began within this time of each other are not told apart. */
constexpr Millis TOGETHER{300};
/** Two crashes beside others' quick starts are no chance any more. */
constexpr std::size_t SEVERAL = 2;
/** A suspect's run is a risk for so long, and twice as long as any that was lost. */
constexpr Millis RISK{1000};
/** A run refutes crashes if it goes on for so long, and four times as long as any that was lost. */
constexpr Millis REFUTED_AFTER{60'000};

constexpr std::array<std::string_view, 5> VERDICT_NAMES = {"open", "host-lost", "beside", "suspect",
                                                           "alone"};

bool isBlamed(const RunLoss& loss) {
    return loss.m_category == LossCategory::SUSPECT ||
           loss.m_category == LossCategory::SOLE_SUSPECT;
}

/** How long the run has gone on that began last, of those that the worker said it runs. */
Millis findYoungest(std::span<const CrashedRun> runs) {
    Millis youngest = Millis::max();
    for (const CrashedRun& run : runs) {
        youngest = run.m_isConfirmed ? std::min(youngest, run.m_ran) : youngest;
    }
    return youngest;
}

}  // namespace

std::string_view toText(LossCategory category) {
    return VERDICT_NAMES.at(static_cast<std::size_t>(category));
}

std::vector<LossCategory> classifyCrash(std::span<const CrashedRun> runs) {
    const auto isOfFirstJob = [&](const CrashedRun& run) {
        return run.m_task.m_job == runs.front().m_task.m_job;
    };
    if (std::all_of(runs.begin(), runs.end(), isOfFirstJob)) {
        return std::vector<LossCategory>(runs.size(), LossCategory::SOLE_SUSPECT);
    }
    const bool hasSuspects = std::any_of(runs.begin(), runs.end(),
                                         [](const CrashedRun& run) { return run.m_wasSuspect; });
    const Millis youngest = findYoungest(runs);
    const bool isKnown = youngest != Millis::max();
    const Millis most =
            isKnown && youngest <= LATELY ? std::max(TOGETHER, 2 * youngest) : Millis::max();
    std::vector<LossCategory> verdicts;
    for (const CrashedRun& run : runs) {
        const bool isLate = run.m_ran > most || (isKnown && !run.m_isConfirmed);
        const bool isLikely = hasSuspects ? run.m_wasSuspect : !isLate;
        verdicts.push_back(isLikely ? LossCategory::SUSPECT : LossCategory::BYSTANDER);
    }
    return verdicts;
}

bool RunLosses::record(const RunLoss& loss) {
    const auto known = std::find_if(m_list.begin(), m_list.end(), [&](const RunLoss& one) {
        return one.m_worker == loss.m_worker;
    });
    if (known != m_list.end()) {
        const bool isNews =
                known->m_category < loss.m_category && known->m_category <= LossCategory::HOST_LOST;
        if (isNews) {
            *known = loss;
        }
        return isNews;
    }
    m_list.push_back(loss);
    if (m_list.size() > MAX_LOSSES) {
        m_list.erase(m_list.begin());
    }
    return true;
}

bool RunLosses::discardUnresolved(const WorkerId& worker) {
    return std::erase_if(m_list, [&](const RunLoss& loss) {
               return loss.m_category == LossCategory::UNRESOLVED && loss.m_worker == worker;
           }) != 0;
}

Millis RunLosses::getLongest() const {
    Millis longest{0};
    for (const RunLoss& loss : m_list) {
        const bool isCrash = loss.m_category > LossCategory::HOST_LOST;
        longest = isCrash ? std::max(longest, loss.m_ran) : longest;
    }
    return longest;
}

bool RunLosses::isRefutedByRunTime(Millis age) const {
    constexpr int TIMES = 4;
    return !m_list.empty() && age > REFUTED_AFTER + TIMES * getLongest();
}

bool RunLosses::isSuspect() const {
    const auto beside = std::count_if(m_list.begin(), m_list.end(), [](const RunLoss& loss) {
        return loss.m_category == LossCategory::BYSTANDER;
    });
    return std::any_of(m_list.begin(), m_list.end(), isBlamed) ||
           static_cast<std::size_t>(beside) >= SEVERAL;
}

bool RunLosses::hasRepeatedCrashes() const {
    const auto seen = std::count_if(m_list.begin(), m_list.end(), [](const RunLoss& loss) {
        return loss.m_category > LossCategory::HOST_LOST;
    });
    return static_cast<std::size_t>(seen) >= SEVERAL;
}

bool RunLosses::hasCrashedOn(std::string_view host) const {
    return std::any_of(m_list.begin(), m_list.end(), [host](const RunLoss& loss) {
        return loss.m_category > LossCategory::HOST_LOST && loss.m_worker.m_host == host;
    });
}

bool RunLosses::isRisk(Millis age) const {
    constexpr int TIMES = 2;
    return isSuspect() && age <= RISK + TIMES * getLongest();
}

/** A host that went whole counts as one beside crashes that were seen: its sidecar could not tell.
 */
bool RunLosses::isCrash(const RunLoss& loss, bool withOpen) const {
    if (loss.m_category == LossCategory::UNRESOLVED) {
        return withOpen;
    }
    return loss.m_category > LossCategory::HOST_LOST || hasRepeatedCrashes();
}

unsigned RunLosses::weigh(bool withOpen) const {
    unsigned weight = 0;
    for (const RunLoss& loss : m_list) {
        if (isCrash(loss, withOpen)) {
            weight += CRASH_WEIGHT;
        } else if (loss.m_category == LossCategory::HOST_LOST) {
            weight += HOST_WEIGHT;
        }
    }
    return weight;
}

bool RunLosses::isExhausted(std::uint32_t lastRun, bool withOpen) const {
    std::vector<std::uint32_t> runs;
    for (const RunLoss& loss : m_list) {
        if (isCrash(loss, withOpen)) {
            runs.push_back(loss.m_run);
        }
    }
    if (runs.size() < CRASHES) {
        return false;
    }
    std::sort(runs.begin(), runs.end());
    const std::uint32_t third = runs[CRASHES - 1];
    const auto notBegun = std::count_if(m_neverStarted.begin(), m_neverStarted.end(),
                                        [third](std::uint32_t run) { return run > third; });
    return lastRun >= third + STARTS_AFTER + static_cast<std::uint32_t>(notBegun);
}

void RunLosses::clear() {
    m_list.clear();
    m_neverStarted.clear();
}

void RunLosses::recordNeverStarted(std::uint32_t run) {
    const bool isKnown =
            std::find(m_neverStarted.begin(), m_neverStarted.end(), run) != m_neverStarted.end();
    if (m_list.empty() || isKnown) {
        return;
    }
    m_neverStarted.push_back(run);
    if (m_neverStarted.size() > MAX_NOT_BEGUN) {
        m_neverStarted.erase(m_neverStarted.begin());
    }
}

/**
 * Three crashes at the very start, one of them with nothing else there, and none later, are no
 * chance: workers that fail by themselves do so at any time. Of later crashes all are needed that
 * the users' rule leaves, since a long run meets more of the fleet's own faults.
 */
bool RunLosses::provesTaskFault() const {
    std::size_t quick = 0;
    std::size_t late = 0;
    bool wasAlone = false;
    for (const RunLoss& loss : m_list) {
        if (isBlamed(loss)) {
            ++(loss.m_ran <= QUICK ? quick : late);
            wasAlone = wasAlone || loss.m_category == LossCategory::SOLE_SUSPECT;
        }
    }
    const bool isAtItsStart = quick >= QUICK_CRASHES && late == 0 && wasAlone;
    return isAtItsStart || weigh(false) >= PROOF;
}

/** Where no crash was seen at all, hosts that are cut off are the likelier cause until there are
 * five. */
bool RunLosses::mustAwaitResolution(std::uint32_t lastRun) const {
    return weigh(true) >= PROOF || (weigh(false) > 0 && isExhausted(lastRun, true));
}

std::string RunLosses::describe() const {
    std::string text;
    for (const RunLoss& loss : m_list) {
        text.append(text.empty() ? "" : ", ").append(loss.m_worker.m_incarnation);
        text.append(" on ")
                .append(loss.m_worker.m_host)
                .append(" (")
                .append(toText(loss.m_category));
        text.append(" after ").append(std::to_string(loss.m_ran.count())).append(" ms)");
    }
    return text;
}

}  // namespace pierbank
