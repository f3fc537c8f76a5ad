// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/Shape.h"

#include <array>

namespace pierbank {

namespace {

constexpr std::array<std::string_view, 4> ADJACENCY_NAMES = {"worker", "rack", "domain", "region"};

}  // namespace

std::string Shape::toText() const {
    return std::to_string(m_members) + "x" + std::to_string(m_accelerators) + " within " +
           std::string(pierbank::toText(m_adjacency));
}

std::string_view toText(Adjacency adjacency) {
    return ADJACENCY_NAMES.at(static_cast<std::size_t>(adjacency));
}

std::optional<Adjacency> parseAdjacency(std::string_view text) {
    for (std::size_t i = 0; i < ADJACENCY_NAMES.size(); ++i) {
        if (ADJACENCY_NAMES.at(i) == text) {
            return static_cast<Adjacency>(i);
        }
    }
    return std::nullopt;
}

}  // namespace pierbank
