// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TASKKEY_H
#define PIERBANK_JOB_TASKKEY_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** Identifies a task by its job, occurrence, step and index within the step. */
struct TaskKey {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    /** Returns `JOB.OCCURRENCE.STEP.INDEX`, the name of the task in messages to workers. */
    std::string toText() const;
    /** Reads what toText() writes; empty for any other text. */
    static std::optional<TaskKey> parse(std::string_view text);
    auto operator<=>(const TaskKey&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_TASKKEY_H
