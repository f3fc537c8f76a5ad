// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/JobSpec.h"

#include <algorithm>

namespace pierbank {

bool Resources::fitsInto(const Resources& room) const noexcept {
    return m_cpuMillis <= room.m_cpuMillis && m_memoryMb <= room.m_memoryMb &&
           m_accelerators <= room.m_accelerators;
}

Resources& Resources::operator+=(const Resources& other) noexcept {
    m_cpuMillis += other.m_cpuMillis;
    m_memoryMb += other.m_memoryMb;
    m_accelerators += other.m_accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other) noexcept {
    m_cpuMillis -= std::min(m_cpuMillis, other.m_cpuMillis);
    m_memoryMb -= std::min(m_memoryMb, other.m_memoryMb);
    m_accelerators -= std::min(m_accelerators, other.m_accelerators);
    return *this;
}

Resources StepSpec::getRoomNeed() const noexcept {
    return m_isFilling ? Resources{0, m_need.m_memoryMb, m_need.m_accelerators} : m_need;
}

bool JobSpec::isLasting() const noexcept {
    return std::any_of(m_steps.begin(), m_steps.end(),
                       [](const StepSpec& step) { return step.m_isLasting; });
}

}  // namespace pierbank
