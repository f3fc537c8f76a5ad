// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_RANDOM_H
#define PIERBANK_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace pierbank {

/** Pseudorandom number generator. Programs use a seed of the system, tests a constant seed. */
class Random {
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) {}

    /** Returns a generator with a seed from the operating system. */
    static Random fromSystem();

    /** Returns a uniformly distributed number in [0, bound). `bound` must be at least 1. */
    std::uint64_t below(std::uint64_t bound);

    /** Returns 16 random hexadecimal digits, for the names of instances and the ids of writes. */
    std::string token();

private:
    std::mt19937_64 m_engine;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_RANDOM_H
