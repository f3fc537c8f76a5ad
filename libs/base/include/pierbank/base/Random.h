// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_RANDOM_H
#define PIERBANK_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace pierbank {

/** Seeded random numbers; programs seed from the system, tests from a constant. */
class Random {
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) {}

    /** Seeded from the operating system. */
    static Random fromSystem();

    /** A number in [0, bound); `bound` must be at least 1. */
    std::uint64_t below(std::uint64_t bound);

    /** 16 hexadecimal digits; for instance names and write ids. */
    std::string token();

private:
    std::mt19937_64 m_engine;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_RANDOM_H
