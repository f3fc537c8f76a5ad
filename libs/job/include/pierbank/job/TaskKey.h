// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_TASKKEY_H
#define PIERBANK_JOB_TASKKEY_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** A task's place in its job. */
struct TaskKey {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    /** `JOB.OCCURRENCE.STEP.INDEX`, as workers know it. */
    std::string toText() const;
    static std::optional<TaskKey> parse(std::string_view text);
    auto operator<=>(const TaskKey&) const = default;
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_TASKKEY_H
