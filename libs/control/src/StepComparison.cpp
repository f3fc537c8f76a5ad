// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/StepComparison.h"

#include <algorithm>
#include <set>

namespace pierbank {

void StepComparison::recordRunEnd(const RunEvidence& evidence, bool isQuick, Millis now) {
    const bool isDone = evidence.m_end == RunEnd::DONE;
    if (evidence.m_wideStep.empty() || (!isDone && evidence.m_end != RunEnd::FAILED)) {
        return;
    }
    if (m_steps.count(evidence.m_wideStep) == 0 && m_steps.size() >= MAX_STEPS) {
        m_steps.erase(
                std::min_element(m_steps.begin(), m_steps.end(), [](const auto& a, const auto& b) {
                    return a.second.m_endedAt < b.second.m_endedAt;
                }));
    }
    Step& step = m_steps[evidence.m_wideStep];
    step.m_endedAt = now;
    Ends& ends = step.m_hosts[evidence.m_host];
    ++(isDone ? ends.m_done : ends.m_failed);
    ends.m_failedQuickly += !isDone && isQuick ? 1 : 0;
}

std::optional<ShareElsewhere> StepComparison::getShareElsewhere(const RunEvidence& failure) const {
    const auto found = m_steps.find(failure.m_wideStep);
    if (found == m_steps.end()) {
        return std::nullopt;
    }
    std::set<std::string_view> outlasting(failure.m_outlastingHosts.begin(),
                                          failure.m_outlastingHosts.end());
    outlasting.erase(failure.m_host);
    ShareElsewhere share;
    std::size_t hosts = 0;
    for (const auto& [host, ends] : found->second.m_hosts) {
        if (host == failure.m_host) {
            continue;
        }
        // An outlasting run counts as a run that did not fail.
        const std::size_t outlasted = outlasting.erase(host);
        const auto runs = static_cast<double>(ends.m_done + ends.m_failed + outlasted);
        share.m_failed += ends.m_failed / runs;
        share.m_failedQuickly += ends.m_failedQuickly / runs;
        ++hosts;
    }
    hosts += outlasting.size();
    if (hosts < MIN_HOSTS) {
        return std::nullopt;
    }
    share.m_failed /= static_cast<double>(hosts);
    share.m_failedQuickly /= static_cast<double>(hosts);
    return share;
}

void StepComparison::addContribution(const std::string& step, const std::string& host,
                                     double evidence) {
    m_steps[step].m_hosts[host].m_evidence += evidence;
}

std::vector<StepComparison::Contribution> StepComparison::takeContributions(
        const std::string& step) {
    std::vector<Contribution> contributions;
    const auto found = m_steps.find(step);
    if (found == m_steps.end()) {
        return contributions;
    }
    for (auto& [host, ends] : found->second.m_hosts) {
        if (ends.m_evidence > 0) {
            contributions.push_back({host, ends.m_evidence});
            ends.m_evidence = 0;
        }
    }
    return contributions;
}

void StepComparison::removeOlderThan(Millis earliestEnd) {
    std::erase_if(m_steps, [&](const auto& entry) { return entry.second.m_endedAt < earliestEnd; });
}

}  // namespace pierbank
