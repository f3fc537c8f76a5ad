// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/Queries.h"

#include <algorithm>
#include <bit>
#include <map>

#include "pierbank/base/SettingsFile.h"

namespace pierbank {

namespace {

constexpr double MILLIS_PER_SECOND = 1000.0;

double getSecondsSince(Millis then, Millis now) {
    return static_cast<double>((now - then).count() / 1000);
}

std::string describeWorkers(const ClusterState& state, const Job& job) {
    std::string text;
    for (const Member& member : job.m_members) {
        text += text.empty() ? "" : " ";
        text += state.m_workers[member.m_worker].m_name;
    }
    return text;
}

std::vector<std::uint32_t> countUsed(const ClusterState& state) {
    std::vector<std::uint32_t> used(state.m_workers.size(), 0);
    for (const auto& [name, job] : state.m_jobs) {
        if (!job.holdsAccelerators()) {
            continue;
        }
        for (const Member& member : job.m_members) {
            used[member.m_worker] +=
                    static_cast<std::uint32_t>(std::popcount(member.m_accelerators));
        }
    }
    return used;
}

std::string describeGuarantees(const Organisation& organisation) {
    std::string text;
    for (const Guarantee& guarantee : organisation.m_guarantees) {
        text += text.empty() ? "" : ", ";
        text += std::to_string(guarantee.m_count) + " of " + guarantee.m_shape.toText();
    }
    return text;
}

}  // namespace

Table makeJobTable(const ClusterState& state, Millis now) {
    Table table;
    table.m_columns = {"name",   "organisation", "state",   "shape",     "accelerators", "urgent",
                       "served", "age",          "attempt", "preempted", "workers"};
    for (const auto& [name, job] : state.m_jobs) {
        const std::string_view served = job.m_unit.has_value() ? "guaranteed" : "borrowed";
        table.m_rows.push_back(
                {Cell::ofText(name), Cell::ofText(job.m_organisation),
                 Cell::ofText(toText(job.m_state)), Cell::ofText(job.m_shape.toText()),
                 Cell::ofNumber(job.m_shape.getTotal()),
                 Cell::ofText(job.m_isUrgent ? "yes" : "no"),
                 Cell::ofText(job.isPlaced() ? served : "-"),
                 Cell::ofNumber(getSecondsSince(job.m_submittedAt, now)),
                 Cell::ofNumber(static_cast<double>(job.m_attempt)),
                 Cell::ofNumber(job.m_preemptions), Cell::ofText(describeWorkers(state, job))});
    }
    return table;
}

Table makeOrganisationTable(const ClusterState& state) {
    Table table;
    table.m_columns = {"name",        "guarantees", "units",   "units_in_use",
                       "units_unmet", "queued",     "running", "run_time_ratio"};
    for (const Organisation& organisation : state.m_organisations) {
        std::uint32_t units = 0;
        std::uint32_t unmet = 0;
        for (const GuaranteeUnit& unit : state.m_units) {
            const bool isOwn = unit.m_organisation == organisation.m_name;
            units += isOwn ? 1 : 0;
            unmet += (isOwn && unit.m_cells.empty()) ? 1 : 0;
        }
        std::set<std::uint64_t> inUse;
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        for (const auto& [name, job] : state.m_jobs) {
            if (job.m_organisation != organisation.m_name) {
                continue;
            }
            queued += job.m_state == JobState::QUEUED ? 1 : 0;
            running += job.m_state == JobState::RUNNING ? 1 : 0;
            if (job.m_unit.has_value()) {
                inUse.insert(*job.m_unit);
            }
        }
        table.m_rows.push_back(
                {Cell::ofText(organisation.m_name), Cell::ofText(describeGuarantees(organisation)),
                 Cell::ofNumber(units), Cell::ofNumber(static_cast<double>(inUse.size())),
                 Cell::ofNumber(unmet), Cell::ofNumber(queued), Cell::ofNumber(running),
                 Cell::ofNumber(organisation.m_runTimeRatio)});
    }
    return table;
}

Table makeWorkerTable(const ClusterState& state) {
    Table table;
    table.m_columns = {"name", "domain", "rack", "state", "accelerators", "used", "failures"};
    const std::vector<std::uint32_t> used = countUsed(state);
    for (WorkerIndex i = 0; i < state.m_workers.size(); ++i) {
        const Worker& worker = state.m_workers[i];
        if (worker.m_state == WorkerState::GONE) {
            continue;
        }
        table.m_rows.push_back({Cell::ofText(worker.m_name), Cell::ofText(worker.m_failureDomain),
                                Cell::ofText(worker.m_rack), Cell::ofText(toText(worker.m_state)),
                                Cell::ofNumber(worker.m_accelerators), Cell::ofNumber(used[i]),
                                Cell::ofNumber(static_cast<double>(worker.m_failedJobs.size()))});
    }
    return table;
}

Table makeRackTable(const ClusterState& state) {
    struct Rack {
        std::uint32_t m_workers = 0;
        std::uint32_t m_accelerators = 0;
        std::uint32_t m_used = 0;
        std::uint32_t m_wholeWorkers = 0;
    };
    std::map<std::pair<std::string, std::string>, Rack> racks;
    const std::vector<std::uint32_t> used = countUsed(state);
    for (WorkerIndex i = 0; i < state.m_workers.size(); ++i) {
        const Worker& worker = state.m_workers[i];
        if (worker.m_state == WorkerState::GONE) {
            continue;
        }
        Rack& rack = racks[{worker.m_failureDomain, worker.m_rack}];
        ++rack.m_workers;
        rack.m_accelerators += worker.m_accelerators;
        rack.m_used += used[i];
        const bool isWhole = used[i] == 0 && worker.m_state == WorkerState::LIVE;
        rack.m_wholeWorkers += isWhole ? 1 : 0;
    }
    Table table;
    table.m_columns = {"domain", "rack", "workers", "whole_workers", "accelerators", "used"};
    for (const auto& [key, rack] : racks) {
        table.m_rows.push_back({Cell::ofText(key.first), Cell::ofText(key.second),
                                Cell::ofNumber(rack.m_workers), Cell::ofNumber(rack.m_wholeWorkers),
                                Cell::ofNumber(rack.m_accelerators), Cell::ofNumber(rack.m_used)});
    }
    return table;
}

Table makeAuditTable(std::span<const AuditEntry> entries, Millis now) {
    Table table;
    table.m_columns = {"age", "who", "subject", "outcome", "detail", "statement"};
    for (const AuditEntry& entry : entries) {
        table.m_rows.push_back({Cell::ofNumber(getSecondsSince(entry.m_at, now)),
                                Cell::ofText(entry.m_who), Cell::ofText(entry.m_subject),
                                Cell::ofText(entry.m_outcome), Cell::ofText(entry.m_detail),
                                Cell::ofText(entry.m_statement)});
    }
    return table;
}

std::optional<std::string> explainJob(const ClusterState& state, std::string_view name,
                                      const Planner& planner, Millis now, Reason& reason) {
    const Job* const job = state.findJob(name);
    if (job == nullptr) {
        reason = "there is no job " + std::string(name);
        return std::nullopt;
    }
    const Explanation why = planner.findRemedy(state, job->m_name, now);
    // By append(): g++ 12 takes a chain of operator+ here for an overlapping copy (-Wrestrict).
    std::string text("job ");
    text.append(job->m_name).append(" of ").append(job->m_organisation).append(" (");
    text.append(job->m_shape.toText()).append(") is ").append(toText(job->m_state));
    if (!job->m_members.empty()) {
        text += " on " + describeWorkers(state, *job);
    }
    const auto seconds = static_cast<long long>(getSecondsSince(why.m_decidedAt, now));
    text.append("\n").append(why.toText());
    text.append("\ndecided ").append(std::to_string(seconds)).append(" s ago");
    return text;
}

std::optional<std::string> explainWorker(const ClusterState& state, std::string_view name,
                                         Millis now, Reason& reason) {
    const auto index = state.findWorker(name);
    if (!index.has_value()) {
        reason = "there is no worker " + std::string(name);
        return std::nullopt;
    }
    const Worker& worker = state.m_workers[*index];
    std::string text = "worker " + worker.m_name + " is " + std::string(toText(worker.m_state));
    if (worker.m_quarantinedUntil.count() != 0) {
        const double seconds =
                static_cast<double>((worker.m_quarantinedUntil - now).count()) / MILLIS_PER_SECOND;
        text += " for failing, for another " + std::to_string(static_cast<long long>(seconds)) +
                " s (time " + std::to_string(worker.m_quarantines) + "); `worker release " +
                worker.m_name + "` ends it";
    }
    if (!worker.m_failedJobs.empty()) {
        text += "; jobs that failed on it since one ended well:";
        for (const std::string& job : worker.m_failedJobs) {
            text += " " + job;
        }
    }
    for (const auto& [jobName, job] : state.m_jobs) {
        const auto isHere = [&](const Member& m) {
            return m.m_worker == *index;
        };
        if (std::any_of(job.m_members.begin(), job.m_members.end(), isHere)) {
            text += "\n" + jobName + ": " + std::string(toText(job.m_state)) + ", " +
                    std::string(toText(job.m_why.m_constraint));
        }
    }
    return text;
}

std::optional<std::string> explainOrganisation(const ClusterState& state, std::string_view name,
                                               Reason& reason) {
    const Organisation* const organisation = state.findOrganisation(name);
    if (organisation == nullptr) {
        reason = "there is no organisation " + std::string(name);
        return std::nullopt;
    }
    std::string text =
            "organisation " + organisation->m_name + " is guaranteed " +
            (organisation->m_guarantees.empty() ? "nothing" : describeGuarantees(*organisation));
    for (const GuaranteeUnit& unit : state.m_units) {
        if (unit.m_organisation != name) {
            continue;
        }
        text.append("\n").append(unit.m_shape.toText()).append(": ");
        if (unit.m_cells.empty()) {
            text += "UNMET, the workers that are left hold no room for it; it returns with them";
            continue;
        }
        text += "set aside on";
        for (const UnitCell& cell : unit.m_cells) {
            text += " " + state.m_workers[cell.m_worker].m_name;
        }
        for (const auto& [jobName, job] : state.m_jobs) {
            if (job.m_unit == unit.m_id) {
                text += ", used by " + jobName;
            }
        }
    }
    return text;
}

}  // namespace pierbank
