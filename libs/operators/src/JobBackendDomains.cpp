// SPDX-License-Identifier: Apache-2.0
// Statements about failure domains.
#include <utility>

#include "BackendAnswers.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/operators/DomainTable.h"
#include "pierbank/operators/JobBackend.h"

namespace pierbank {

StatementAnswer JobBackend::explainDomain(const std::string& name) const {
    const JobController& jobs = m_core.getJobs();
    const auto domains = countDomains(jobs);
    const auto known = domains.find(name);
    if (known == domains.end()) {
        return refuse("there is no failure domain " + name);
    }
    const DomainSummary& summary = known->second;
    std::string text("failure domain ");
    text.append(name).append(": ").append(std::to_string(summary.m_workers)).append(" workers, ");
    text.append(std::to_string(summary.m_runs)).append(" runs");
    const auto& platformEvacuations = jobs.getEvacuations().getDomains();
    const auto evacuation = platformEvacuations.find(name);
    if (evacuation != platformEvacuations.end()) {
        text.append("\nunder evacuation by the platform's operators, since revision ");
        text.append(std::to_string(evacuation->second)).append("; they withdraw it");
    }
    if (jobs.isEvacuatedByStatement(name)) {
        text.append("\nunder evacuation by a statement; `domain release ").append(name);
        text.append("` withdraws it, `show audit` says whose it was");
    }
    if (summary.isEvacuated()) {
        text.append("\nnothing begins there; what runs there ends by itself, what lasts moves off");
    }
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

void JobBackend::changeDomain(const StatementRequest& request, const ChangeDomain& change,
                              StatementCallback done) {
    const JobController& jobs = m_core.getJobs();
    const std::string& name = change.m_name;
    const auto domains = countDomains(jobs);
    const auto known = domains.find(name);
    const DomainSummary summary = known == domains.end() ? DomainSummary() : known->second;
    if (change.m_isEvacuated && summary.m_workers == 0) {
        done(refuse("there is no failure domain " + name));
        return;
    }
    if (!change.m_isEvacuated && !summary.m_isEvacuatedByStatement) {
        done(refuse(summary.m_isEvacuatedByPlatform
                            ? "failure domain " + name +
                                      " is under evacuation by the platform's operators, who "
                                      "withdraw it"
                            : "failure domain " + name + " is not under evacuation"));
        return;
    }
    const auto getStateWord = [](bool isEvacuatedByStatement) {
        return std::string(isEvacuatedByStatement ? EVACUATE_WORD : RELEASE_WORD);
    };
    const std::string after = getStateWord(change.m_isEvacuated);
    StoreTransaction transaction;
    transaction.m_puts = {{getDomainKey(name), after, 0}};
    commit(request, std::move(transaction),
           "failure domain " + name + ": " + getStateWord(summary.m_isEvacuatedByStatement) +
                   " -> " + after,
           std::move(done));
}

}  // namespace pierbank
