// SPDX-License-Identifier: Apache-2.0
#include "pierbank/schedule/GangDriver.h"

#include <algorithm>

#include "pierbank/policy/JobEvents.h"

namespace pierbank {

namespace {

std::vector<std::uint32_t> toList(AcceleratorMask mask) {
    std::vector<std::uint32_t> list;
    for (std::uint32_t i = 0; i < MAX_ACCELERATORS_PER_WORKER; ++i) {
        if (((mask >> i) & 1U) != 0) {
            list.push_back(i);
        }
    }
    return list;
}

}  // namespace

GangDriver::GangDriver(const PolicySettings& settings, WorkerChannel& channel, MemberTable& members,
                       WorkerLeases& leases)
        : m_settings(settings), m_channel(channel), m_members(members), m_leases(leases) {}

void GangDriver::takeOver(std::uint64_t epoch) {
    m_epoch = epoch;
    m_reported.clear();
    m_sent.clear();
    m_preparingSince.clear();
    m_members.clear();
}

void GangDriver::connect(std::string_view worker) {
    disconnect(worker);
    m_members.forgetOpen(worker);
    m_channel.sendToWorker(worker, MemberQuery{m_epoch});
}

void GangDriver::disconnect(std::string_view worker) {
    const auto found = m_reported.find(worker);
    if (found != m_reported.end()) {
        m_reported.erase(found);
    }
}

void GangDriver::finishReport(std::string_view worker, std::uint64_t epoch, Millis now) {
    if (epoch == m_epoch) {
        m_leases.fence(worker, now);
        m_reported.emplace(worker);
    }
}

GangDriver::Standing GangDriver::getStanding(const ClusterState& state, const Job& job,
                                             std::uint32_t member, Millis now) const {
    const std::string& worker = state.m_workers[job.m_members[member].m_worker].m_name;
    const MemberFact* const fact = m_members.find({{job.m_name, job.m_attempt}, member});
    const bool isOver = fact != nullptr && fact->isOver();
    if (!isOver && m_leases.hasSurelyLapsed(worker, now)) {
        return Standing::STOPPED;
    }
    if (fact == nullptr) {
        return m_reported.count(worker) != 0 ? Standing::ABSENT : Standing::UNKNOWN;
    }
    switch (fact->m_state) {
        case MemberState::ABSENT:
            return Standing::ABSENT;
        case MemberState::PREPARED:
            return Standing::PREPARED;
        case MemberState::RUNNING:
            return Standing::RUNNING;
        case MemberState::ENDED:
            return Standing::ENDED;
        case MemberState::FAILED:
            return Standing::FAILED;
        case MemberState::STOPPED:
            return Standing::STOPPED;
        case MemberState::REFUSED:
            break;
    }
    return Standing::REFUSED;
}

void GangDriver::absorb(ClusterState& state, Millis now, Millis wallNow) {
    for (auto& [name, job] : state.m_jobs) {
        switch (job.m_state) {
            case JobState::PREPARING:
                absorbPreparing(state, job, now, wallNow);
                break;
            case JobState::RUNNING:
                absorbRunning(state, job, now, wallNow);
                break;
            case JobState::STOPPING:
                absorbStopping(state, job, now, wallNow);
                break;
            default:
                break;
        }
    }
}

void GangDriver::absorbPreparing(ClusterState& state, Job& job, Millis now, Millis wallNow) {
    const AttemptId attempt{job.m_name, job.m_attempt};
    const Millis since = m_preparingSince.try_emplace(attempt, now).first->second;
    std::size_t prepared = 0;
    for (std::uint32_t i = 0; i < job.m_members.size(); ++i) {
        const Standing standing = getStanding(state, job, i, now);
        const bool isHopeless = standing == Standing::REFUSED || standing == Standing::STOPPED ||
                                standing == Standing::FAILED;
        if (isHopeless || now - since > PREPARE_TIMEOUT) {
            stopForLoss(state, job, i, wallNow);
            return;
        }
        prepared += standing == Standing::PREPARED ? 1 : 0;
    }
    if (prepared == job.m_members.size()) {
        m_preparingSince.erase(attempt);
        markRunning(job, wallNow);
    }
}

void GangDriver::absorbRunning(ClusterState& state, Job& job, Millis now, Millis wallNow) {
    std::size_t ended = 0;
    for (std::uint32_t i = 0; i < job.m_members.size(); ++i) {
        switch (getStanding(state, job, i, now)) {
            case Standing::FAILED:
                noteFailure(state, job, job.m_members[i].m_worker, m_settings, wallNow);
                return;
            case Standing::STOPPED:
            case Standing::ABSENT:
            case Standing::REFUSED:
                stopForLoss(state, job, i, wallNow);
                return;
            case Standing::ENDED:
                ++ended;
                break;
            default:
                break;
        }
    }
    if (ended == job.m_members.size()) {
        finishWell(state, job, wallNow);
    }
}

void GangDriver::absorbStopping(ClusterState& state, Job& job, Millis now, Millis wallNow) {
    const AttemptId attempt{job.m_name, job.m_attempt};
    m_preparingSince.erase(attempt);
    for (std::uint32_t i = 0; i < job.m_members.size(); ++i) {
        const Standing standing = getStanding(state, job, i, now);
        const bool isOver = standing == Standing::STOPPED || standing == Standing::ENDED ||
                            standing == Standing::FAILED;
        if (!isOver) {
            return;
        }
    }
    finishStop(job, wallNow);
}

void GangDriver::stopForLoss(const ClusterState& state, Job& job, std::uint32_t member,
                             Millis wallNow) {
    Explanation why;
    why.m_verdict = Verdict::STOPPED;
    why.m_constraint = Constraint::MEMBER_LOST;
    why.m_remedy = Remedy::WAIT;
    why.m_subject = state.m_workers[job.m_members[member].m_worker].m_name;
    why.m_decidedAt = wallNow;
    beginStop(job, AfterStop::QUEUE_AGAIN, why, wallNow);
}

void GangDriver::drive(const ClusterState& state, Millis now) {
    std::set<AttemptId> live;
    for (const auto& [name, job] : state.m_jobs) {
        if (!job.holdsAccelerators()) {
            continue;
        }
        live.insert({job.m_name, job.m_attempt});
        for (std::uint32_t i = 0; i < job.m_members.size(); ++i) {
            driveMember(state, job, i, now);
        }
    }
    m_members.retain(live);
    std::erase_if(m_sent, [&](const auto& e) { return live.count(e.first.m_attempt) == 0; });
    std::erase_if(m_preparingSince, [&](const auto& e) { return live.count(e.first) == 0; });
}

void GangDriver::driveMember(const ClusterState& state, const Job& job, std::uint32_t member,
                             Millis now) {
    const Standing standing = getStanding(state, job, member, now);
    const bool isOver = standing == Standing::STOPPED || standing == Standing::ENDED ||
                        standing == Standing::FAILED;
    if (isOver) {
        return;
    }
    if (job.m_state == JobState::STOPPING) {
        send(state, job, member, Message::STOP, now);
    } else if (job.m_state == JobState::RUNNING && standing == Standing::PREPARED) {
        send(state, job, member, Message::START, now);
    } else if (job.m_state == JobState::PREPARING && standing == Standing::ABSENT) {
        send(state, job, member, Message::PREPARE, now);
    }
}

void GangDriver::send(const ClusterState& state, const Job& job, std::uint32_t member,
                      Message message, Millis now) {
    const MemberId id{{job.m_name, job.m_attempt}, member};
    const auto sent = m_sent.find(id);
    const bool isRecent = sent != m_sent.end() && sent->second.m_message == message &&
                          now - sent->second.m_at < RESEND_INTERVAL;
    if (isRecent) {
        return;
    }
    const std::string& worker = state.m_workers[job.m_members[member].m_worker].m_name;
    if (m_channel.sendToWorker(worker, makeFrame(job, member, message))) {
        m_sent[id] = {message, now};
    }
}

Frame GangDriver::makeFrame(const Job& job, std::uint32_t member, Message message) const {
    const AttemptId attempt{job.m_name, job.m_attempt};
    switch (message) {
        case Message::START:
            return GangStart{m_epoch, attempt, member};
        case Message::STOP:
            return GangStop{m_epoch, attempt, member,
                            static_cast<std::uint64_t>(m_settings.m_checkpointGrace.count())};
        case Message::PREPARE:
            break;
    }
    const Millis remaining = std::max(job.m_declaredRunTime - job.m_progress, Millis(1));
    return GangPrepare{m_epoch, attempt, member, toList(job.m_members[member].m_accelerators),
                       static_cast<std::uint64_t>(remaining.count())};
}

}  // namespace pierbank
