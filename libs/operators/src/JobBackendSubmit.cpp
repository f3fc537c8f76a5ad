// SPDX-License-Identifier: Apache-2.0
// Statements that submit a job or check its submission.
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

/**
 * Returns a member's demand: the same share of a worker's processors and memory as of its
 * accelerators. The smallest demand over all workers of the service is used; nothing if there is no
 * such worker.
 */
std::optional<Resources> JobBackend::getMemberDemand(const SubmitJob& submit,
                                                     const std::string& service) const {
    std::optional<Resources> smallest;
    for (const auto& [address, host] : m_core.getJobs().getWorkers().getHosts()) {
        if (!host.m_notice.has_value() || host.m_notice->m_service != service ||
            host.m_notice->m_accelerators == 0) {
            continue;
        }
        const WorkerNotice& notice = *host.m_notice;
        const double share = std::min(
                1.0, static_cast<double>(submit.m_shape.m_accelerators) / notice.m_accelerators);
        const Resources workerDemand{static_cast<std::uint32_t>(share * notice.m_cpuMillis),
                                     static_cast<std::uint32_t>(share * notice.m_memoryMb),
                                     submit.m_shape.m_accelerators};
        if (!smallest.has_value() || workerDemand.fitsInto(*smallest)) {
            smallest = workerDemand;
        }
    }
    return smallest;
}

std::optional<JobRecord> JobBackend::makeRecord(const SubmitJob& submit, Reason& reason) const {
    const auto policy = findQueue(submit, reason);
    if (!policy.has_value()) {
        return std::nullopt;
    }
    const auto demand = getMemberDemand(submit, policy->m_service);
    if (!demand.has_value()) {
        reason = "no worker of service " + policy->m_service + " is known";
        return std::nullopt;
    }
    StepSpec step;
    step.m_tasks = submit.m_shape.m_members;
    step.m_need = *demand;
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

/** Returns how the planner would treat the job now; REFUSED if the job can never run. */
StatementAnswer JobBackend::describeTrial(const JobRecord& record) const {
    const TaskPlan plan = m_core.getJobs().makeTrialPlan(record);
    std::string text = "would be accepted";
    for (const PlanExplanation& explanation : plan.m_explanations) {
        if (explanation.m_job == record.m_id) {
            text = explanation.m_text;
            if (explanation.m_kind == PlanExplanation::Kind::CANNOT_RUN) {
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
    const StatementAnswer trial = describeTrial(*record);
    if (submit.m_isCheck || trial.m_status != StatementStatus::DONE) {
        done(trial);
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
