// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobRun.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace pierbank {

namespace {

std::vector<std::string_view> splitNames(std::string_view text) {
    std::vector<std::string_view> names;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(' '), text.size());
        names.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return names;
}

}  // namespace

bool FailedHosts::contains(std::string_view host) const {
    const std::vector<std::string_view> names = list();
    return std::find(names.begin(), names.end(), host) != names.end();
}

std::vector<std::string_view> FailedHosts::list() const {
    return m_text.empty() ? std::vector<std::string_view>() : splitNames(m_text);
}

std::size_t FailedHosts::count() const {
    return list().size();
}

void FailedHosts::add(std::string_view host) {
    std::string joined(host);
    std::size_t count = 1;
    for (const std::string_view name : splitNames(m_text)) {
        if (name != host && count < MAX_HOSTS) {
            joined.append(1, ' ').append(name);
            ++count;
        }
    }
    m_text = std::move(joined);
}

namespace {

constexpr std::array<std::string_view, 5> PHASE_NAMES = {"pending", "running", "succeeded",
                                                         "failed", "cancelled"};
constexpr std::array<std::string_view, 6> END_NAMES = {"done",   "failed", "stopped",
                                                       "lapsed", "broken", "alone"};

bool parseNumber(std::string_view text, std::uint32_t& into) {
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, into);
    return result.ec == std::errc() && result.ptr == end;
}

/** Removes a trailing `.NUMBER` from the text. @return whether there was one. */
bool cutNumber(std::string_view& text, std::uint32_t& into) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || !parseNumber(text.substr(dot + 1), into)) {
        return false;
    }
    text = text.substr(0, dot);
    return true;
}

}  // namespace

std::string TaskKey::toText() const {
    return m_job + "." + std::to_string(m_occurrence) + "." + std::to_string(m_step) + "." +
           std::to_string(m_index);
}

std::optional<TaskKey> TaskKey::parse(std::string_view text) {
    TaskKey key;
    if (!cutNumber(text, key.m_index) || !cutNumber(text, key.m_step) ||
        !cutNumber(text, key.m_occurrence)) {
        return std::nullopt;
    }
    key.m_job = text;
    return key;
}

bool StepRun::isDone() const noexcept {
    return std::all_of(m_tasks.begin(), m_tasks.end(),
                       [](const TaskRun& task) { return task.m_state == TaskState::DONE; });
}

bool StepRun::isIdle() const noexcept {
    return m_copies.empty() &&
           std::none_of(m_tasks.begin(), m_tasks.end(),
                        [](const TaskRun& task) { return task.occupiesWorker(); });
}

bool StepRun::hasCopy(std::uint32_t index) const noexcept {
    return std::any_of(m_copies.begin(), m_copies.end(),
                       [index](const TaskCopy& copy) { return copy.m_index == index; });
}

bool OccurrenceRun::isDone() const noexcept {
    return std::all_of(m_steps.begin(), m_steps.end(),
                       [](const StepRun& step) { return step.isDone(); });
}

bool OccurrenceRun::isIdle() const noexcept {
    return std::all_of(m_steps.begin(), m_steps.end(),
                       [](const StepRun& step) { return step.isIdle(); });
}

std::string_view toText(JobPhase phase) {
    return PHASE_NAMES.at(static_cast<std::size_t>(phase));
}

std::string_view toText(RunEnd end) {
    return END_NAMES.at(static_cast<std::size_t>(end));
}

void JobRun::explain(std::string text, Millis wallNow) {
    const bool isNew = m_history.empty() || m_history.back().m_text != text;
    if (isNew) {
        m_history.push_back({wallNow, text});
    }
    if (m_history.size() > MAX_EVENTS) {
        m_history.erase(m_history.begin());
    }
    m_explanation = std::move(text);
}

bool JobRun::isIdle() const noexcept {
    return std::all_of(m_occurrences.begin(), m_occurrences.end(),
                       [](const OccurrenceRun& occurrence) { return occurrence.isIdle(); });
}

const OccurrenceRun* JobRun::findOccurrence(std::uint32_t number) const {
    const auto found =
            std::find_if(m_occurrences.begin(), m_occurrences.end(),
                         [number](const OccurrenceRun& o) { return o.m_number == number; });
    return found == m_occurrences.end() ? nullptr : &*found;
}

std::vector<std::string_view> listStalledHosts(const JobRun& run) {
    std::vector<std::string_view> hosts;
    for (const OccurrenceRun& occurrence : run.m_occurrences) {
        for (const StepRun& step : occurrence.m_steps) {
            const bool hasFailed =
                    std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
                                [](const TaskRun& task) { return task.m_failures > 0; });
            if (hasFailed) {
                continue;
            }
            for (const TaskRun& task : step.m_tasks) {
                const std::vector<std::string_view> named = task.m_failedHosts.list();
                hosts.insert(hosts.end(), named.begin(), named.end());
            }
        }
    }
    return hosts;
}

OccurrenceRun* JobRun::findOccurrence(std::uint32_t number) {
    return const_cast<OccurrenceRun*>(std::as_const(*this).findOccurrence(number));
}

const TaskRun* JobRun::findTask(const TaskKey& key) const {
    const OccurrenceRun* const occurrence = findOccurrence(key.m_occurrence);
    if (occurrence == nullptr || key.m_step >= occurrence->m_steps.size() ||
        key.m_index >= occurrence->m_steps[key.m_step].m_tasks.size()) {
        return nullptr;
    }
    return &occurrence->m_steps[key.m_step].m_tasks[key.m_index];
}

TaskRun* JobRun::findTask(const TaskKey& key) {
    return const_cast<TaskRun*>(std::as_const(*this).findTask(key));
}

}  // namespace pierbank
