// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IncarnationRuns.h"

#include <algorithm>

namespace pierbank {

namespace {

/**
 * If this many consecutive polls do not list a confirmed run, the run is assumed to have ended.
 * Such a run remains here if the answer to its start arrives after its end was listed. A single
 * poll without the run is not sufficient, because it may be the last poll of an incarnation that
 * has ended.
 */
constexpr unsigned MISSED_POLLS_OF_ENDED_RUN = 2;

}  // namespace

void IncarnationRuns::recordSent(const RunKey& run, Millis now) {
    if (!m_unresponsiveSince.has_value()) {
        m_runs.try_emplace(run, Run{now, false, 0});
    }
}

void IncarnationRuns::recordStarted(const RunKey& run, Millis now) {
    m_runs.try_emplace(run, Run{now, false, 0}).first->second.m_isConfirmed = true;
}

void IncarnationRuns::recordPoll(std::span<const ListedRun> running,
                                 std::span<const ListedEnd> ended, Millis now) {
    m_unresponsiveSince.reset();
    for (const ListedRun& run : running) {
        recordStarted({run.m_task, run.m_run}, now);
    }
    for (const ListedEnd& end : ended) {
        m_runs.erase({end.m_task, end.m_run});
    }
    removeMissing(running);
}

/**
 * Removes confirmed runs that the worker no longer lists. An unconfirmed run is not counted as
 * missing, because its start may still take effect.
 */
void IncarnationRuns::removeMissing(std::span<const ListedRun> running) {
    for (auto& [key, run] : m_runs) {
        const bool isListed = std::any_of(
                running.begin(), running.end(), [&, &key = key](const ListedRun& listed) {
                    return listed.m_run == key.second && listed.m_task == key.first;
                });
        run.m_missedPolls = isListed || !run.m_isConfirmed ? 0 : run.m_missedPolls + 1;
    }
    std::erase_if(m_runs, [](const auto& entry) {
        return entry.second.m_missedPolls >= MISSED_POLLS_OF_ENDED_RUN;
    });
}

void IncarnationRuns::recordNoAnswer(Millis now) {
    if (!m_unresponsiveSince.has_value()) {
        m_unresponsiveSince = now;
    }
}

std::vector<CrashedRunEntry> IncarnationRuns::endIncarnation(Millis now) {
    const Millis endedAt = m_unresponsiveSince.value_or(now);
    std::vector<CrashedRunEntry> runs;
    for (const auto& [key, run] : m_runs) {
        const auto ran = std::max(endedAt - run.m_startedAt, Millis(0)).count();
        runs.push_back({key.first.toText(), key.second, static_cast<std::uint64_t>(ran),
                        run.m_isConfirmed});
    }
    std::stable_sort(runs.begin(), runs.end(),
                     [](const auto& a, const auto& b) { return a.m_ranMs < b.m_ranMs; });
    m_runs.clear();
    m_unresponsiveSince.reset();
    return runs;
}

}  // namespace pierbank
