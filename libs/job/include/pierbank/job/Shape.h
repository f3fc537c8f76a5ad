// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_SHAPE_H
#define PIERBANK_JOB_SHAPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pierbank {

/** Topology level within which all members of a gang must run; ordered from small to large. */
enum class Adjacency : std::uint8_t { WORKER, RACK, FAILURE_DOMAIN, REGION };

/** Returns the last enumerator, which bounds decoded values. */
constexpr Adjacency lastOf(Adjacency) {
    return Adjacency::REGION;
}

/**
 * Resources of a gang: `m_members` members, each of which uses `m_accelerators` accelerators of one
 * worker, all within one topology domain of the level `m_adjacency`.
 */
struct Shape {
    std::uint32_t m_members = 1;
    std::uint32_t m_accelerators = 1;
    Adjacency m_adjacency = Adjacency::REGION;

    /** Returns a text such as `2x8 within rack`. */
    std::string toText() const;

    bool operator==(const Shape&) const = default;
};

/** Maximum number of members of a gang. */
inline constexpr std::uint32_t MAX_MEMBERS = 64;

/** Upper bound of accelerators per worker; no worker has more. */
inline constexpr std::uint32_t MAX_ACCELERATORS_PER_WORKER = 64;

/** Returns `worker`, `rack`, `domain` or `region`. */
std::string_view toText(Adjacency adjacency);

/** Reads what toText() writes; empty for any other text. */
std::optional<Adjacency> parseAdjacency(std::string_view text);

}  // namespace pierbank

#endif  // PIERBANK_JOB_SHAPE_H
