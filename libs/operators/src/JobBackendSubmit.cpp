// SPDX-License-Identifier: Apache-2.0
// Jobs that operators submit by a statement, and what would become of them.
#include <algorithm>
#include <utility>

#include "BackendAnswers.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/job/JobCodec.h"
#include "pierbank/operators/JobBackend.h"

namespace pierbank {

std::optional<QueuePolicy> JobBackend::findQueue(const SubmitJob& submit, Reason& reason) const {
    const QueueConfiguration* const configuration = m_core.getConfiguration().get();
    if (configuration == nullptr) {
        reason = "no configuration is known yet";
        return std::nullopt;
    }
    const auto& keys = configuration->m_organisationsByKey;
    const bool hasOrganisation = configuration->m_guarantees.count(submit.m_organisation) != 0 ||
                                 std::any_of(keys.begin(), keys.end(), [&](const auto& entry) {
                                     return entry.second == submit.m_organisation;
                                 });
    if (!hasOrganisation) {
        reason = "there is no organisation " + submit.m_organisation;
        return std::nullopt;
    }
    std::optional<QueuePolicy> chosen;
    for (const QueueRoute& route : configuration->m_routes) {
        const QueuePolicy& policy = route.m_policy;
        if (!submit.m_queue.empty()) {
            if (policy.m_queue == submit.m_queue) {
                return policy;
            }
            continue;
        }
        const bool isBetter =
                !chosen.has_value() || (submit.m_isUrgent ? policy.m_priority < chosen->m_priority
                                                          : policy.m_priority > chosen->m_priority);
        if (isBetter) {
            chosen = policy;
        }
    }
    if (!chosen.has_value()) {
        reason = submit.m_queue.empty() ? "no queue is configured"
                                        : "there is no queue " + submit.m_queue;
    }
    return chosen;
}

/** Each member takes of its worker's processors and memory what it takes of its accelerators. */
std::optional<Resources> JobBackend::getMemberNeed(const SubmitJob& submit,
                                                   const std::string& service) const {
    std::optional<Resources> need;
    for (const auto& [address, host] : m_core.getJobs().getWorkers().getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_service != service ||
            host.m_notice->m_accelerators == 0) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        const double share = std::min(
                1.0, static_cast<double>(submit.m_shape.m_accelerators) / notice.m_accelerators);
        const Resources own{static_cast<std::uint32_t>(share * notice.m_cpuMillis),
                            static_cast<std::uint32_t>(share * notice.m_memoryMb),
                            submit.m_shape.m_accelerators};
        if (!need.has_value() || own.fitsInto(*need)) {
            need = own;
        }
    }
    return need;
}

std::optional<JobRecord> JobBackend::makeRecord(const SubmitJob& submit, Reason& reason) const {
    const auto policy = findQueue(submit, reason);
    if (!policy.has_value()) {
        return std::nullopt;
    }
    const auto need = getMemberNeed(submit, policy->m_service);
    if (!need.has_value()) {
        reason = "no worker of service " + policy->m_service + " is known";
        return std::nullopt;
    }
    StepSpec step;
    step.m_tasks = submit.m_shape.m_members;
    step.m_need = *need;
    step.m_estimate = submit.m_runTime;
    step.m_isGang = submit.m_shape.m_members > 1;
    step.m_adjacency = submit.m_shape.m_adjacency;
    JobRecord record;
    record.m_id = toJobId(submit.m_name);
    record.m_name = submit.m_name;
    record.m_organisation = submit.m_organisation;
    record.m_policy = *policy;
    record.m_acceptedAt = m_loop.wallNow();
    record.m_spec.m_payload = submit.m_name;
    record.m_spec.m_steps = {step};
    return record;
}

/** What the planner would do with a job now. */
StatementAnswer JobBackend::describeTry(const JobRecord& record) const {
    const TaskPlan plan = m_core.getJobs().makeTrialPlan(record);
    std::string text = "would be accepted";
    for (const PlanExplanation& note : plan.m_explanations) {
        if (note.m_job == record.m_id) {
            text = note.m_text;
            if (note.m_kind == PlanExplanation::Kind::CANNOT_RUN) {
                return refuse(text);
            }
        }
    }
    for (const Stop& stop : plan.m_stops) {
        if (stop.m_explanation.ends_with(record.m_id)) {
            text.append("; would make task ").append(stop.m_task.toText()).append(" give way");
        }
    }
    return makeAnswer(StatementStatus::DONE, std::move(text));
}

void JobBackend::submit(const StatementRequest& request, const SubmitJob& submit,
                        StatementCallback done) {
    Reason reason;
    const auto record = makeRecord(submit, reason);
    if (!record.has_value()) {
        done(refuse(reason));
        return;
    }
    if (findJob(m_core.getJobs().getJobs(), submit.m_name) != nullptr) {
        done(refuse("there is, or lately was, a job " + submit.m_name));
        return;
    }
    const StatementAnswer tried = describeTry(*record);
    if (submit.m_isCheck || tried.m_status != StatementStatus::DONE) {
        done(tried);
        return;
    }
    StoreTransaction change;
    change.m_conditions = {
            {std::string(CONFIGURATION_KEY), m_core.getConfiguration().getRevision()},
            {getJobKey(record->m_id), 0},
            {getRunKey(record->m_id), 0}};
    change.m_puts = {{getJobKey(record->m_id), encodeJobRecord(*record), 0}};
    commit(request, std::move(change),
           "job " + submit.m_name + ": accepted as " + record->m_id + " in queue " +
                   record->m_policy.m_queue,
           std::move(done));
}

}  // namespace pierbank
