// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/RunLosses.h"

#include <algorithm>
#include <array>

namespace pierbank {

namespace {

/** Sum of weights that proves a fault of the task. Five crashes reach the sum: three, and the two
 * starts that the platform's contract allows afterwards. */
constexpr unsigned PROOF_WEIGHT = 10;
constexpr unsigned CRASH_WEIGHT = 2;
/** Ten lost hosts reach the sum, so that the job of a task that crashes whole hosts fails too. */
constexpr unsigned HOST_LOSS_WEIGHT = 1;
/** Maximum number of stored losses; the oldest is dropped. */
constexpr std::size_t MAX_LOSSES = 10;
/** Maximum number of stored runs that never started. More than needed: two starts after a crash,
 * and those refused in between for insufficient capacity. */
constexpr std::size_t MAX_NEVER_STARTED = 16;
/** Number of crashes after which only MAX_STARTS_AFTER_CRASHES more starts are allowed. */
constexpr std::size_t CRASHES_BEFORE_LIMIT = 3;
constexpr std::uint32_t MAX_STARTS_AFTER_CRASHES = 2;
/** A worker that is lost within this time of a start was crashed by that start; a sidecar detects
 * broken connections within milliseconds. */
constexpr Millis MAX_QUICK_CRASH_TIME{150};
/**
 * Number of crashes right at the start that prove a fault, if at least one of them had a sole
 * suspect.
 */
constexpr std::size_t QUICK_CRASHES = 3;
/** A run that started within this time before the crash is a likelier cause than runs that had
 * lasted more than twice as long. */
constexpr Millis MAX_RECENT_RUN_TIME{2000};
/** Runs that started within this time before the crash are all equally likely causes. */
constexpr Millis MIN_RECENT_RUN_TIME{300};
/** Number of crashes as a bystander that cannot be a coincidence any more. */
constexpr std::size_t REPEATED_CRASHES = 2;
/**
 * The run of a suspect task is a risk for this time plus twice the longest time that a run lasted
 * before its worker crashed.
 */
constexpr Millis MIN_RISK_TIME{1000};
/**
 * A run refutes the suspicion after this time plus four times the longest time that a run lasted
 * before its worker crashed.
 */
constexpr Millis MIN_REFUTATION_TIME{60'000};

constexpr std::array<std::string_view, 5> CATEGORY_NAMES = {"open", "host-lost", "beside",
                                                            "suspect", "alone"};

bool isSuspected(const RunLoss& loss) {
    return loss.m_category == LossCategory::SUSPECT ||
           loss.m_category == LossCategory::SOLE_SUSPECT;
}

/** Returns the run time of the confirmed run that started last; Millis::max() if there is none. */
Millis findShortestRunTime(std::span<const CrashedRun> runs) {
    Millis shortest = Millis::max();
    for (const CrashedRun& run : runs) {
        shortest = run.m_isConfirmed ? std::min(shortest, run.m_ran) : shortest;
    }
    return shortest;
}

}  // namespace

std::string_view toText(LossCategory category) {
    return CATEGORY_NAMES.at(static_cast<std::size_t>(category));
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
    const Millis shortest = findShortestRunTime(runs);
    const bool hasConfirmed = shortest != Millis::max();
    const Millis maxRecent = hasConfirmed && shortest <= MAX_RECENT_RUN_TIME
                                     ? std::max(MIN_RECENT_RUN_TIME, 2 * shortest)
                                     : Millis::max();
    std::vector<LossCategory> categories;
    for (const CrashedRun& run : runs) {
        const bool isUnlikely = run.m_ran > maxRecent || (hasConfirmed && !run.m_isConfirmed);
        const bool isLikely = hasSuspects ? run.m_wasSuspect : !isUnlikely;
        categories.push_back(isLikely ? LossCategory::SUSPECT : LossCategory::BYSTANDER);
    }
    return categories;
}

bool RunLosses::record(const RunLoss& loss) {
    const auto existing = std::find_if(m_list.begin(), m_list.end(), [&](const RunLoss& other) {
        return other.m_worker == loss.m_worker;
    });
    if (existing != m_list.end()) {
        const bool isChanged = existing->m_category < loss.m_category &&
                               existing->m_category <= LossCategory::HOST_LOST;
        if (isChanged) {
            *existing = loss;
        }
        return isChanged;
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

Millis RunLosses::getLongestRunTime() const {
    Millis longest{0};
    for (const RunLoss& loss : m_list) {
        const bool isCrash = loss.m_category > LossCategory::HOST_LOST;
        longest = isCrash ? std::max(longest, loss.m_ran) : longest;
    }
    return longest;
}

bool RunLosses::isRefutedByRunTime(Millis age) const {
    constexpr int FACTOR = 4;
    return !m_list.empty() && age > MIN_REFUTATION_TIME + FACTOR * getLongestRunTime();
}

bool RunLosses::isSuspect() const {
    const auto bystanders = std::count_if(m_list.begin(), m_list.end(), [](const RunLoss& loss) {
        return loss.m_category == LossCategory::BYSTANDER;
    });
    return std::any_of(m_list.begin(), m_list.end(), isSuspected) ||
           static_cast<std::size_t>(bystanders) >= REPEATED_CRASHES;
}

bool RunLosses::hasRepeatedCrashes() const {
    const auto crashes = std::count_if(m_list.begin(), m_list.end(), [](const RunLoss& loss) {
        return loss.m_category > LossCategory::HOST_LOST;
    });
    return static_cast<std::size_t>(crashes) >= REPEATED_CRASHES;
}

bool RunLosses::hasCrashedOn(std::string_view host) const {
    return std::any_of(m_list.begin(), m_list.end(), [host](const RunLoss& loss) {
        return loss.m_category > LossCategory::HOST_LOST && loss.m_worker.m_host == host;
    });
}

bool RunLosses::mayCrashWorker(Millis age) const {
    constexpr int FACTOR = 2;
    return isSuspect() && age <= MIN_RISK_TIME + FACTOR * getLongestRunTime();
}

/** A lost host counts as a crash if there were several observed crashes, since its sidecar could
 * not report any more whether the worker crashed first. */
bool RunLosses::isCrash(const RunLoss& loss, bool includeUnresolved) const {
    if (loss.m_category == LossCategory::UNRESOLVED) {
        return includeUnresolved;
    }
    return loss.m_category > LossCategory::HOST_LOST || hasRepeatedCrashes();
}

unsigned RunLosses::sumWeights(bool includeUnresolved) const {
    unsigned weight = 0;
    for (const RunLoss& loss : m_list) {
        if (isCrash(loss, includeUnresolved)) {
            weight += CRASH_WEIGHT;
        } else if (loss.m_category == LossCategory::HOST_LOST) {
            weight += HOST_LOSS_WEIGHT;
        }
    }
    return weight;
}

bool RunLosses::isExhausted(std::uint32_t lastRun, bool includeUnresolved) const {
    std::vector<std::uint32_t> runs;
    for (const RunLoss& loss : m_list) {
        if (isCrash(loss, includeUnresolved)) {
            runs.push_back(loss.m_run);
        }
    }
    if (runs.size() < CRASHES_BEFORE_LIMIT) {
        return false;
    }
    std::sort(runs.begin(), runs.end());
    const std::uint32_t third = runs[CRASHES_BEFORE_LIMIT - 1];
    const auto neverStarted = std::count_if(m_neverStarted.begin(), m_neverStarted.end(),
                                            [third](std::uint32_t run) { return run > third; });
    return lastRun >= third + MAX_STARTS_AFTER_CRASHES + static_cast<std::uint32_t>(neverStarted);
}

void RunLosses::clear() {
    m_list.clear();
    m_neverStarted.clear();
}

void RunLosses::recordNeverStarted(std::uint32_t run) {
    const bool isRecorded =
            std::find(m_neverStarted.begin(), m_neverStarted.end(), run) != m_neverStarted.end();
    if (m_list.empty() || isRecorded) {
        return;
    }
    m_neverStarted.push_back(run);
    if (m_neverStarted.size() > MAX_NEVER_STARTED) {
        m_neverStarted.erase(m_neverStarted.begin());
    }
}

/**
 * Three crashes right at the start, at least one as the sole suspect and none later in a run, are
 * not a coincidence: workers that fail by themselves do so at any time of a run. If some crashes
 * came later, all five that the platform's contract allows are needed, since a long run is more
 * likely to be hit by a fault of the worker itself.
 */
bool RunLosses::provesTaskFault() const {
    std::size_t quick = 0;
    std::size_t late = 0;
    bool hasSoleSuspect = false;
    for (const RunLoss& loss : m_list) {
        if (isSuspected(loss)) {
            ++(loss.m_ran <= MAX_QUICK_CRASH_TIME ? quick : late);
            hasSoleSuspect = hasSoleSuspect || loss.m_category == LossCategory::SOLE_SUSPECT;
        }
    }
    const bool crashesAtStart = quick >= QUICK_CRASHES && late == 0 && hasSoleSuspect;
    return crashesAtStart || sumWeights(false) >= PROOF_WEIGHT;
}

/** As long as all losses are unresolved, fewer than five of them do not delay the next start, since
 * network partitions are the likelier cause. */
bool RunLosses::mustAwaitResolution(std::uint32_t lastRun) const {
    return sumWeights(true) >= PROOF_WEIGHT ||
           (sumWeights(false) > 0 && isExhausted(lastRun, true));
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
