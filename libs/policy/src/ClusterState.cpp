// SPDX-License-Identifier: Apache-2.0
#include "pierbank/policy/ClusterState.h"

#include <algorithm>
#include <array>

namespace pierbank {

namespace {

constexpr std::array<std::string_view, 6> WORKER_STATES = {"live",   "drained", "quarantined",
                                                           "silent", "lost",    "gone"};
constexpr std::array<std::string_view, 8> JOB_STATES = {
        "queued", "claiming", "preparing", "running", "stopping", "ended", "failed", "withdrawn"};

}  // namespace

bool Job::isPlaced() const noexcept {
    return m_state == JobState::CLAIMING || holdsAccelerators();
}

bool Job::holdsAccelerators() const noexcept {
    return m_state == JobState::PREPARING || m_state == JobState::RUNNING ||
           m_state == JobState::STOPPING;
}

bool Job::isOver() const noexcept {
    return m_state == JobState::ENDED || m_state == JobState::FAILED ||
           m_state == JobState::WITHDRAWN;
}

Job* ClusterState::findJob(std::string_view name) {
    const auto found = m_jobs.find(std::string(name));
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Job* ClusterState::findJob(std::string_view name) const {
    const auto found = m_jobs.find(std::string(name));
    return found == m_jobs.end() ? nullptr : &found->second;
}

Organisation* ClusterState::findOrganisation(std::string_view name) {
    const auto hasName = [name](const Organisation& o) {
        return o.m_name == name;
    };
    const auto found = std::find_if(m_organisations.begin(), m_organisations.end(), hasName);
    return found == m_organisations.end() ? nullptr : &*found;
}

const Organisation* ClusterState::findOrganisation(std::string_view name) const {
    return const_cast<ClusterState*>(this)->findOrganisation(name);
}

std::optional<WorkerIndex> ClusterState::findWorker(std::string_view name) const {
    const auto hasName = [name](const Worker& w) {
        return w.m_name == name && w.m_state != WorkerState::GONE;
    };
    const auto found = std::find_if(m_workers.begin(), m_workers.end(), hasName);
    if (found == m_workers.end()) {
        return std::nullopt;
    }
    return static_cast<WorkerIndex>(found - m_workers.begin());
}

GuaranteeUnit* ClusterState::findUnit(std::uint64_t id) {
    const auto hasId = [id](const GuaranteeUnit& unit) {
        return unit.m_id == id;
    };
    const auto found = std::find_if(m_units.begin(), m_units.end(), hasId);
    return found == m_units.end() ? nullptr : &*found;
}

std::string_view toText(WorkerState state) {
    return WORKER_STATES.at(static_cast<std::size_t>(state));
}

std::string_view toText(JobState state) {
    return JOB_STATES.at(static_cast<std::size_t>(state));
}

}  // namespace pierbank
