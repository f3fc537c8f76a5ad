// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/Commands.h"

#include <algorithm>

#include "pierbank/base/SettingsFile.h"
#include "pierbank/policy/CellFinder.h"
#include "pierbank/policy/JobEvents.h"
#include "pierbank/policy/UnitPacker.h"
#include "pierbank/schedule/StateUpdates.h"

namespace pierbank {

namespace {

CommandOutcome refuse(std::string subject, std::string message) {
    CommandOutcome outcome;
    outcome.m_subject = std::move(subject);
    outcome.m_message = std::move(message);
    return outcome;
}

CommandOutcome accept(std::string subject, std::string from, std::string to) {
    CommandOutcome outcome;
    outcome.m_isAccepted = true;
    outcome.m_message = subject + ": " + from + " -> " + to;
    outcome.m_subject = std::move(subject);
    outcome.m_from = std::move(from);
    outcome.m_to = std::move(to);
    return outcome;
}

std::size_t countLiveJobs(const ClusterState& state) {
    const auto isLive = [](const auto& entry) {
        return !entry.second.isOver();
    };
    return static_cast<std::size_t>(
            std::count_if(state.m_jobs.begin(), state.m_jobs.end(), isLive));
}

std::string toText(const std::vector<Guarantee>& guarantees) {
    std::string text;
    for (const Guarantee& guarantee : guarantees) {
        const std::string one =
                std::to_string(guarantee.m_count) + " of " + guarantee.m_shape.toText();
        text += text.empty() ? one : ", " + one;
    }
    return text.empty() ? "none" : text;
}

/** Guarantee units for which a state has no room, as text; empty when all have. */
std::string findUnmet(ClusterState state) {
    std::set<std::uint64_t> busy;
    for (const auto& [name, job] : state.m_jobs) {
        if (job.isPlaced() && job.m_unit.has_value()) {
            busy.insert(*job.m_unit);
        }
    }
    const CellFinder finder(state.m_workers);
    std::string text;
    for (const std::uint64_t id : UnitPacker(state, finder).repack(busy)) {
        const GuaranteeUnit& unit = *state.findUnit(id);
        text += text.empty() ? "" : ", ";
        text += unit.m_shape.toText() + " of " + unit.m_organisation;
    }
    return text;
}

CommandOutcome createOrganisation(Configuration& configuration, const CreateOrganisation& command) {
    const std::string subject = "organisation " + command.m_name;
    if (configuration.findOrganisation(command.m_name) != nullptr) {
        return refuse(subject, "there is an organisation of this name");
    }
    configuration.m_organisations.push_back({command.m_name, {}});
    return accept(subject, "absent", "created");
}

CommandOutcome removeOrganisation(Configuration& configuration, const ClusterState& state,
                                  const RemoveOrganisation& command) {
    const std::string subject = "organisation " + command.m_name;
    if (configuration.findOrganisation(command.m_name) == nullptr) {
        return refuse(subject, "there is no organisation of this name");
    }
    for (const auto& [name, job] : state.m_jobs) {
        if (job.m_organisation == command.m_name && !job.isOver()) {
            return refuse(subject, "it still has job " + name + "; withdraw its jobs first");
        }
    }
    const std::string from = toText(configuration.findOrganisation(command.m_name)->m_guarantees);
    std::erase_if(configuration.m_organisations,
                  [&](const ConfiguredOrganisation& o) { return o.m_name == command.m_name; });
    return accept(subject, "guarantees " + from, "removed");
}

void setCount(std::vector<Guarantee>& guarantees, const Shape& shape, std::uint32_t count) {
    const auto found = std::find_if(guarantees.begin(), guarantees.end(),
                                    [&](const Guarantee& g) { return g.m_shape == shape; });
    if (found != guarantees.end()) {
        found->m_count = count;
    } else {
        guarantees.push_back({shape, count});
    }
    std::erase_if(guarantees, [](const Guarantee& g) { return g.m_count == 0; });
}

CommandOutcome setGuarantee(Configuration& configuration, const ClusterState& state,
                            const SetGuarantee& command) {
    const std::string subject = "organisation " + command.m_organisation;
    ConfiguredOrganisation* const organisation =
            configuration.findOrganisation(command.m_organisation);
    if (organisation == nullptr) {
        return refuse(subject, "there is no organisation of this name; `organisation create " +
                                       command.m_organisation + "` makes it");
    }
    constexpr std::uint32_t MAX_UNITS = 1000;
    if (command.m_count > MAX_UNITS) {
        return refuse(subject, "at most " + std::to_string(MAX_UNITS) + " of a shape");
    }
    const std::string from = toText(organisation->m_guarantees);
    setCount(organisation->m_guarantees, command.m_shape, command.m_count);
    ClusterState trial = state;
    applyConfiguration(trial, configuration);
    const std::string unmetBefore = findUnmet(state);
    const std::string unmet = findUnmet(std::move(trial));
    if (!unmet.empty() && unmet != unmetBefore) {
        return refuse(subject, "the guarantees would not all fit at once; no room for " + unmet +
                                       "; ask for fewer, a wider `within`, or free workers");
    }
    return accept(subject, "guarantees " + from,
                  "guarantees " + toText(organisation->m_guarantees));
}

CommandOutcome setWeights(Configuration& configuration, const SetWeights& command) {
    const std::string from = std::to_string(configuration.m_fragmentationWeight);
    configuration.m_fragmentationWeight = command.m_fragmentation;
    return accept("weights", "fragmentation " + from,
                  "fragmentation " + std::to_string(command.m_fragmentation));
}

CommandOutcome changeWorker(Configuration& configuration, const ClusterState& state,
                            const ChangeWorker& command) {
    const std::string subject = "worker " + command.m_name;
    const auto index = state.findWorker(command.m_name);
    if (!index.has_value()) {
        return refuse(subject, "there is no worker of this name");
    }
    const std::string from(toText(state.m_workers[*index].m_state));
    if (command.m_action == HostAction::RELEASE) {
        configuration.m_workers.erase(command.m_name);
        return accept(subject, from, std::string(RELEASED));
    }
    const bool isDrain = command.m_action == HostAction::DRAIN;
    const WorkerState to = isDrain ? WorkerState::DRAINED : WorkerState::QUARANTINED;
    configuration.m_workers[command.m_name] = to;
    ClusterState trial = state;
    trial.m_workers[*index].m_state = to;
    CommandOutcome outcome = accept(subject, from, std::string(toText(to)));
    const std::string unmet = findUnmet(std::move(trial));
    if (!unmet.empty()) {
        outcome.m_message += "; warning: without it there is no room for " + unmet;
    }
    return outcome;
}

CommandOutcome changeEndpoint(Configuration& configuration, const ChangeEndpoint& command) {
    const std::string subject = "endpoint " + command.m_name;
    const bool wasDrained = configuration.m_drainedEndpoints.count(command.m_name) != 0;
    const std::string from = wasDrained ? "drained" : "in service";
    if (command.m_action == HostAction::RELEASE) {
        configuration.m_drainedEndpoints.erase(command.m_name);
        return accept(subject, from, "in service");
    }
    configuration.m_drainedEndpoints[command.m_name] = true;
    return accept(subject, from, "drained");
}

}  // namespace

CommandOutcome submitJob(ClusterState& state, const SubmitJob& command, Millis now) {
    const std::string subject = "job " + command.m_name;
    const Job* const known = state.findJob(command.m_name);
    if (known != nullptr && !known->isOver()) {
        return refuse(subject, "there is a live job of this name (" +
                                       std::string(toText(known->m_state)) + ")");
    }
    if (state.findOrganisation(command.m_organisation) == nullptr) {
        return refuse(subject, "there is no organisation " + command.m_organisation);
    }
    if (countLiveJobs(state) >= MAX_LIVE_JOBS) {
        return refuse(subject, "the schedule is full (" + std::to_string(MAX_LIVE_JOBS) +
                                       " live jobs); come back when some have ended");
    }
    if (!CellFinder(state.m_workers).couldEverFit(command.m_shape)) {
        return refuse(subject, "it can never run: no part of the topology holds " +
                                       command.m_shape.toText() +
                                       "; submit a smaller shape or a wider `within`");
    }
    Job job;
    job.m_name = command.m_name;
    job.m_organisation = command.m_organisation;
    job.m_shape = command.m_shape;
    job.m_isUrgent = command.m_isUrgent;
    job.m_declaredRunTime = command.m_runTime;
    job.m_submittedAt = now;
    job.m_queuedAt = now;
    state.m_jobs[job.m_name] = job;
    return accept(subject, "absent",
                  command.m_shape.toText() + ", " + formatDuration(command.m_runTime) +
                          (command.m_isUrgent ? ", urgent" : ""));
}

CommandOutcome withdrawJob(ClusterState& state, const WithdrawJob& command,
                           std::string_view operatorName, Millis now) {
    const std::string subject = "job " + command.m_name;
    Job* const job = state.findJob(command.m_name);
    if (job == nullptr) {
        return refuse(subject, "there is no job of this name");
    }
    if (job->isOver()) {
        return refuse(subject, "it is over already (" + std::string(toText(job->m_state)) + ")");
    }
    const std::string from(toText(job->m_state));
    Explanation why;
    why.m_verdict = Verdict::STOPPED;
    why.m_constraint = Constraint::WITHDRAWN_BY_OPERATOR;
    why.m_subject = operatorName;
    why.m_decidedAt = now;
    beginStop(*job, AfterStop::WITHDRAW, why, now);
    return accept(subject, from, std::string(toText(job->m_state)));
}

CommandOutcome checkSubmit(const ClusterState& state, const SubmitJob& command,
                           const Planner& planner, Millis now) {
    ClusterState trial = state;
    CommandOutcome outcome = submitJob(trial, command, now);
    if (!outcome.m_isAccepted) {
        return outcome;
    }
    planner.plan(trial, now);
    const Job& job = *trial.findJob(command.m_name);
    outcome.m_message = "would be " + job.m_why.toText();
    for (const Member& member : job.m_members) {
        outcome.m_message += (&member == job.m_members.data()) ? "; on " : " ";
        outcome.m_message += trial.m_workers[member.m_worker].m_name;
    }
    return outcome;
}

bool isConfigurationChange(const Statement& statement) {
    return isChange(statement) && !std::holds_alternative<SubmitJob>(statement) &&
           !std::holds_alternative<WithdrawJob>(statement);
}

CommandOutcome changeConfiguration(Configuration& configuration, const ClusterState& state,
                                   const Statement& statement) {
    if (const auto* const create = std::get_if<CreateOrganisation>(&statement)) {
        return createOrganisation(configuration, *create);
    }
    if (const auto* const remove = std::get_if<RemoveOrganisation>(&statement)) {
        return removeOrganisation(configuration, state, *remove);
    }
    if (const auto* const guarantee = std::get_if<SetGuarantee>(&statement)) {
        return setGuarantee(configuration, state, *guarantee);
    }
    if (const auto* const weights = std::get_if<SetWeights>(&statement)) {
        return setWeights(configuration, *weights);
    }
    if (const auto* const worker = std::get_if<ChangeWorker>(&statement)) {
        return changeWorker(configuration, state, *worker);
    }
    if (const auto* const endpoint = std::get_if<ChangeEndpoint>(&statement)) {
        return changeEndpoint(configuration, *endpoint);
    }
    return refuse("", "not a change of the configuration");
}

}  // namespace pierbank
