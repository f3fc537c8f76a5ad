// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_SCALE_H
#define PIERBANK_BASE_SCALE_H

#include <cmath>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** Returns a multiple of a time, rounded to whole milliseconds. */
inline Millis scale(Millis time, double factor) {
    return Millis(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace pierbank

#endif  // PIERBANK_BASE_SCALE_H
