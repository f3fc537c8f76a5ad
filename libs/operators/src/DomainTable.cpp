// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/DomainTable.h"

namespace pierbank {

namespace {

std::string describeState(const DomainSummary& domain) {
    if (domain.m_isEvacuatedByPlatform && domain.m_isEvacuatedByStatement) {
        return "evacuated by both";
    }
    if (domain.m_isEvacuatedByPlatform) {
        return "evacuated by the platform";
    }
    return domain.m_isEvacuatedByStatement ? "evacuated by a statement" : "open";
}

void countRuns(const JobController& jobs, std::map<std::string, DomainSummary>& domains) {
    const auto& hosts = jobs.getWorkers().getHosts();
    for (const auto& [id, entry] : jobs.getJobs()) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            const auto host = hosts.find(run.m_worker.m_host);
            if (host != hosts.end() && host->second.m_notice.has_value()) {
                ++domains[host->second.m_notice->m_failureDomain].m_runs;
            }
        }
    }
}

}  // namespace

std::map<std::string, DomainSummary> countDomains(const JobController& jobs) {
    std::map<std::string, DomainSummary> domains;
    for (const auto& [address, host] : jobs.getWorkers().getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_incarnation.empty()) {
            continue;
        }
        DomainSummary& domain = domains[host.m_notice->m_failureDomain];
        ++domain.m_workers;
        domain.m_linkedWorkers += host.isLinked() ? 1 : 0;
        domain.m_accelerators += host.m_notice->m_accelerators;
    }
    countRuns(jobs, domains);
    for (const auto& [name, revision] : jobs.getEvacuations().getDomains()) {
        domains[name].m_isEvacuatedByPlatform = true;
    }
    for (const std::string& name : jobs.getStatementEvacuations()) {
        domains[name].m_isEvacuatedByStatement = true;
    }
    return domains;
}

Table makeDomainTable(const JobController& jobs) {
    Table table;
    table.m_columns = {"name", "state", "workers", "linked", "accelerators", "runs", "asked_at"};
    const auto& platformEvacuations = jobs.getEvacuations().getDomains();
    for (const auto& [name, domain] : countDomains(jobs)) {
        const auto evacuation = platformEvacuations.find(name);
        table.m_rows.push_back({Cell::ofText(name), Cell::ofText(describeState(domain)),
                                Cell::ofNumber(static_cast<double>(domain.m_workers)),
                                Cell::ofNumber(static_cast<double>(domain.m_linkedWorkers)),
                                Cell::ofNumber(domain.m_accelerators),
                                Cell::ofNumber(static_cast<double>(domain.m_runs)),
                                evacuation == platformEvacuations.end()
                                        ? Cell::ofText("-")
                                        : Cell::ofNumber(static_cast<double>(evacuation->second))});
    }
    return table;
}

}  // namespace pierbank
