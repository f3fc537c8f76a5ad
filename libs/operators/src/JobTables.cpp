// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/JobTables.h"

#include <glib.h>

#include <cmath>
#include <map>
#include <set>

namespace pierbank {

namespace {

constexpr std::int64_t MILLIS_PER_SECOND = 1000;
constexpr double MILLIS_PER_CORE = 1000.0;
constexpr double PERCENT = 100.0;

double toNumber(std::size_t count) {
    return static_cast<double>(count);
}

std::size_t countTasks(const std::string& id, const JobRun& run, TaskState state) {
    std::size_t count = 0;
    forEachTask(id, run, [&](const TaskKey&, const TaskRun& task) {
        count += task.m_state == state ? 1 : 0;
    });
    return count;
}

/** Returns the capacity that active runs occupy on each host, by the host's address. */
std::map<std::string, Resources> sumUsed(const JobTable& jobs) {
    std::map<std::string, Resources> used;
    for (const auto& [id, entry] : jobs) {
        for (const ActiveRun& run : listActiveRuns(id, entry.m_run)) {
            if (run.m_task.m_step < entry.m_record.m_spec.m_steps.size()) {
                used[run.m_worker.m_host] +=
                        entry.m_record.m_spec.m_steps[run.m_task.m_step].getCapacityDemand();
            }
        }
    }
    return used;
}

std::string describeWorker(const JobController& jobs, const WorkerPool::Host& host) {
    const WorkerNotice& notice = *host.m_notice;
    if (!host.isLinked()) {
        return "silent";
    }
    if (notice.m_hasExited) {
        return "gone";
    }
    if (notice.m_isDraining) {
        return "draining";
    }
    if (jobs.isEvacuated(notice.m_failureDomain)) {
        return "evacuated";
    }
    const WorkerAdminState adminState = jobs.getAdminState(host.m_address);
    return adminState == WorkerAdminState::RELEASE ? "live" : std::string(toText(adminState));
}

bool hasWorker(const WorkerPool::Host& host) {
    return host.m_notice.has_value() && !host.m_notice->m_incarnation.empty();
}

}  // namespace

std::string toHostName(std::string address) {
    const std::size_t colon = address.rfind(':');
    if (colon != std::string::npos) {
        address[colon] = '-';
    }
    return address;
}

std::string toHostAddress(std::string name) {
    const std::size_t dash = name.rfind('-');
    if (dash != std::string::npos) {
        name[dash] = ':';
    }
    return name;
}

std::string toJobId(const std::string& name) {
    constexpr std::size_t DIGITS = 16;
    const bool isId = name.size() == DIGITS &&
                      name.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (isId) {
        return name;
    }
    gchar* const digest = g_compute_checksum_for_data(
            G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(name.data()), name.size());
    std::string id(digest, DIGITS);
    g_free(digest);
    return id;
}

std::uint32_t countAccelerators(const JobRecord& record) {
    std::uint32_t count = 0;
    for (const StepSpec& step : record.m_spec.m_steps) {
        count += step.m_tasks * step.m_need.m_accelerators;
    }
    return count;
}

std::string joinHosts(const std::string& id, const JobRun& run) {
    std::set<std::string> hosts;
    for (const ActiveRun& active : listActiveRuns(id, run)) {
        hosts.insert(active.m_worker.m_host);
    }
    std::string text;
    for (const std::string& host : hosts) {
        text.append(text.empty() ? "" : " ").append(toHostName(host));
    }
    return text;
}

Table makeJobTable(const JobTable& jobs, Millis wallNow) {
    Table table;
    table.m_columns = {"id",           "name",    "organisation", "queue", "priority", "state",
                       "accelerators", "waiting", "running",      "age",   "workers"};
    for (const auto& [id, entry] : jobs) {
        const JobRecord& record = entry.m_record;
        const Millis age = wallNow - record.m_acceptedAt;
        table.m_rows.push_back(
                {Cell::ofText(id), Cell::ofText(record.m_name.empty() ? id : record.m_name),
                 Cell::ofText(entry.m_run.m_organisation), Cell::ofText(entry.m_run.m_queue),
                 Cell::ofNumber(record.m_policy.m_priority),
                 Cell::ofText(toText(entry.m_run.m_phase)),
                 Cell::ofNumber(countAccelerators(record)),
                 Cell::ofNumber(toNumber(countTasks(id, entry.m_run, TaskState::WAITING))),
                 Cell::ofNumber(toNumber(countTasks(id, entry.m_run, TaskState::PLACED))),
                 Cell::ofNumber(static_cast<double>(age.count() / MILLIS_PER_SECOND)),
                 Cell::ofText(joinHosts(id, entry.m_run))});
    }
    return table;
}

Table makeWorkerTable(const JobController& jobs) {
    std::map<std::string, Resources> used = sumUsed(jobs.getJobs());
    Table table;
    table.m_columns = {"name", "domain",     "rack",      "state",   "accelerators",
                       "used", "cores_used", "shrunk_by", "slowness"};
    for (const auto& [address, host] : jobs.getWorkers().getHosts()) {
        if (!hasWorker(host)) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        table.m_rows.push_back(
                {Cell::ofText(toHostName(address)), Cell::ofText(notice.m_failureDomain),
                 Cell::ofText(notice.m_rack), Cell::ofText(describeWorker(jobs, host)),
                 Cell::ofNumber(notice.m_accelerators),
                 Cell::ofNumber(used[address].m_accelerators),
                 Cell::ofNumber(used[address].m_cpuMillis / MILLIS_PER_CORE),
                 Cell::ofNumber(notice.m_fullAccelerators - notice.m_accelerators),
                 Cell::ofNumber(std::round(PERCENT * jobs.getSlowness(notice.m_incarnation)) /
                                PERCENT)});
    }
    return table;
}

Table makeRackTable(const JobController& jobs) {
    struct Rack {
        std::string m_failureDomain;
        std::size_t m_workers = 0;
        std::size_t m_idleWorkers = 0;
        std::uint32_t m_accelerators = 0;
        std::uint32_t m_used = 0;
    };
    std::map<std::string, Resources> used = sumUsed(jobs.getJobs());
    std::map<std::string, Rack> racks;
    for (const auto& [address, host] : jobs.getWorkers().getHosts()) {
        if (!hasWorker(host)) {
            continue;
        }
        Rack& rack = racks[host.m_notice->m_rack];
        rack.m_failureDomain = host.m_notice->m_failureDomain;
        ++rack.m_workers;
        rack.m_idleWorkers += used[address].m_accelerators == 0 ? 1 : 0;
        rack.m_accelerators += host.m_notice->m_accelerators;
        rack.m_used += used[address].m_accelerators;
    }
    Table table;
    table.m_columns = {"domain", "rack", "workers", "idle_workers", "accelerators", "used"};
    for (const auto& [name, rack] : racks) {
        table.m_rows.push_back({Cell::ofText(rack.m_failureDomain), Cell::ofText(name),
                                Cell::ofNumber(toNumber(rack.m_workers)),
                                Cell::ofNumber(toNumber(rack.m_idleWorkers)),
                                Cell::ofNumber(rack.m_accelerators), Cell::ofNumber(rack.m_used)});
    }
    return table;
}

Table makeOrganisationTable(const QueueConfiguration* configuration, const JobTable& jobs) {
    Table table;
    table.m_columns = {"name", "guaranteed", "jobs", "pending", "running"};
    if (configuration == nullptr) {
        return table;
    }
    std::map<std::string, std::uint32_t> organisations = configuration->m_guarantees;
    for (const auto& [key, name] : configuration->m_organisationsByKey) {
        organisations.try_emplace(name, 0);
    }
    for (const auto& [name, guaranteed] : organisations) {
        std::size_t all = 0;
        std::size_t pending = 0;
        std::size_t running = 0;
        for (const auto& [id, entry] : jobs) {
            const bool isOwn = entry.m_run.m_organisation == name;
            all += isOwn ? 1 : 0;
            pending += isOwn && entry.m_run.m_phase == JobPhase::PENDING ? 1 : 0;
            running += isOwn && entry.m_run.m_phase == JobPhase::RUNNING ? 1 : 0;
        }
        table.m_rows.push_back({Cell::ofText(name), Cell::ofNumber(guaranteed),
                                Cell::ofNumber(toNumber(all)), Cell::ofNumber(toNumber(pending)),
                                Cell::ofNumber(toNumber(running))});
    }
    return table;
}

Table makeConfigurationTable(const ConfigurationFeed& feed) {
    Table table;
    table.m_columns = {"name", "value"};
    const auto age = feed.getAge();
    const auto version = feed.get() == nullptr ? 0 : feed.get()->m_version;
    table.m_rows = {
            {Cell::ofText("version"), Cell::ofNumber(static_cast<double>(version))},
            {Cell::ofText("revision"), Cell::ofNumber(static_cast<double>(feed.getRevision()))},
            {Cell::ofText("confirmed_ms_ago"),
             age.has_value() ? Cell::ofNumber(static_cast<double>(age->count()))
                             : Cell::ofText("never")}};
    return table;
}

Table makeAuditTable(const std::vector<AuditEntry>& entries, Millis wallNow) {
    Table table;
    table.m_columns = {"age", "who", "statement", "outcome"};
    for (const AuditEntry& entry : entries) {
        const Millis age = wallNow - entry.m_at;
        table.m_rows.push_back(
                {Cell::ofNumber(static_cast<double>(age.count() / MILLIS_PER_SECOND)),
                 Cell::ofText(entry.m_operator), Cell::ofText(entry.m_statement),
                 Cell::ofText(entry.m_outcome)});
    }
    return table;
}

}  // namespace pierbank
