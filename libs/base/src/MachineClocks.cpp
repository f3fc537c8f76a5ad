// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/MachineClocks.h"

#include <ctime>

namespace pierbank {

namespace {

Millis readClock(clockid_t clock) noexcept {
    timespec time{};
    clock_gettime(clock, &time);
    constexpr std::int64_t NANOS_PER_MILLI = 1'000'000;
    return std::chrono::seconds(time.tv_sec) + Millis(time.tv_nsec / NANOS_PER_MILLI);
}

class SystemClocks final : public MachineClocks {
public:
    Millis getBootTime() const noexcept override { return readClock(CLOCK_BOOTTIME); }
    Millis getMonotonicTime() const noexcept override { return readClock(CLOCK_MONOTONIC); }
};

}  // namespace

const MachineClocks& getSystemClocks() {
    static const SystemClocks CLOCKS;
    return CLOCKS;
}

}  // namespace pierbank
