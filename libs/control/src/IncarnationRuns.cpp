// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/IncarnationRuns.h"

#include <algorithm>

namespace pierbank {

namespace {

/**
 * A run that is not listed so often in a row has ended: the answer to its start came after its
 * end was seen. One such look may be the last of a life that is over.
 */
constexpr unsigned MISSED_LOOKS = 2;

}  // namespace

void IncarnationRuns::recordSent(const RunKey& run, Millis now) {
    if (!m_silentSince.has_value()) {
        m_runs.try_emplace(run, Run{now, false, 0});
    }
}

void IncarnationRuns::recordStarted(const RunKey& run, Millis now) {
    m_runs.try_emplace(run, Run{now, false, 0}).first->second.m_isConfirmed = true;
}

void IncarnationRuns::recordPoll(std::span<const ListedRun> running,
                                 std::span<const ListedEnd> ended, Millis now) {
    m_silentSince.reset();
    for (const ListedRun& run : running) {
        recordStarted({run.m_task, run.m_run}, now);
    }
    for (const ListedEnd& end : ended) {
        m_runs.erase({end.m_task, end.m_run});
    }
    forgetMissing(running);
}

/** A start without an answer may still take effect, so only what was there can be missing. */
void IncarnationRuns::forgetMissing(std::span<const ListedRun> running) {
    for (auto& [key, run] : m_runs) {
        const bool isListed = std::any_of(
                running.begin(), running.end(), [&, &key = key](const ListedRun& listed) {
                    return listed.m_run == key.second && listed.m_task == key.first;
                });
        run.m_missed = isListed || !run.m_isConfirmed ? 0 : run.m_missed + 1;
    }
    std::erase_if(m_runs, [](const auto& entry) { return entry.second.m_missed >= MISSED_LOOKS; });
}

void IncarnationRuns::recordNoAnswer(Millis now) {
    if (!m_silentSince.has_value()) {
        m_silentSince = now;
    }
}

std::vector<CrashedRunEntry> IncarnationRuns::endIncarnation(Millis now) {
    const Millis endedAt = m_silentSince.value_or(now);
    std::vector<CrashedRunEntry> runs;
    for (const auto& [key, run] : m_runs) {
        const auto ran = std::max(endedAt - run.m_since, Millis(0)).count();
        runs.push_back({key.first.toText(), key.second, static_cast<std::uint64_t>(ran),
                        run.m_isConfirmed});
    }
    std::stable_sort(runs.begin(), runs.end(),
                     [](const auto& a, const auto& b) { return a.m_ranMs < b.m_ranMs; });
    m_runs.clear();
    m_silentSince.reset();
    return runs;
}

}  // namespace pierbank
