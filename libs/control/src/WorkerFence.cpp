// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerFence.h"

#include <algorithm>

namespace pierbank {

namespace {

/**
 * The lowest bits count raises during one link, the next bits count links, and the remaining bits
 * are the epoch. The epoch is a revision of the store. It has 29 bits, because the whole value must
 * fit into 53 bits, up to which every parser of numbers is exact. If there are more raises during
 * one link or more links in one epoch than these bits can count, the fence still rises as long as
 * the sidecar runs.
 */
constexpr unsigned RAISE_BITS = 12;
constexpr unsigned LINK_BITS = 12;
constexpr std::uint64_t MAX_LINKS = (1U << LINK_BITS) - 1;

}  // namespace

void WorkerFence::handleLink(std::uint64_t epoch, std::uint64_t link) {
    const std::uint64_t links = std::min(link, MAX_LINKS);
    const std::uint64_t minimum = ((epoch << LINK_BITS) | links) << RAISE_BITS;
    m_value = std::max(m_value + 1, minimum);
}

}  // namespace pierbank
