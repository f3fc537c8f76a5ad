// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobSpec.h"

#include <algorithm>

namespace pierbank {

bool JobSpec::isLongRunning() const noexcept {
    return std::any_of(m_steps.begin(), m_steps.end(),
                       [](const StepSpec& step) { return step.m_isLongRunning; });
}

}  // namespace pierbank
