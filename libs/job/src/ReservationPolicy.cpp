// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/ReservationPolicy.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pierbank {

namespace {

/** One member's place on a host, from the time at which the host has room for it. */
struct MemberPlace {
    Millis m_in{0};
    std::uint32_t m_usedAccelerators = 0;
    /** Index of the host. */
    std::size_t m_host = 0;

    bool operator<(const MemberPlace& other) const {
        return std::tie(m_in, m_usedAccelerators, m_host) <
               std::tie(other.m_in, other.m_usedAccelerators, other.m_host);
    }
};

/** Adds the places on a host that it has room for until `latest`. */
void addPlaces(const Resources& need, std::uint32_t members, std::span<const ReservableHost> hosts,
               std::size_t index, Millis latest, std::vector<MemberPlace>& places) {
    const ReservableHost& host = hosts[index];
    const std::uint32_t limit = std::min(members, host.m_maxMembers);
    Resources free = host.m_free;
    std::uint32_t count = 0;
    const auto addUpTo = [&](Millis in) {
        for (const std::uint32_t fitting = ReservationPolicy::countFitting(need, free, limit);
             count < fitting; ++count) {
            places.push_back({in, host.m_usedAccelerators, index});
        }
    };
    addUpTo(Millis(0));
    for (const ExpectedRelease& release : host.m_releases) {
        if (count == limit || release.m_in > latest) {
            return;
        }
        free += release.m_capacity;
        addUpTo(release.m_in);
    }
}

/** Merges the places by host, and adds what each host releases until the unit starts. */
ReservedHosts makeReservedHosts(std::span<const MemberPlace> places,
                                std::span<const ReservableHost> hosts) {
    ReservedHosts reserved;
    reserved.m_startsIn = places.back().m_in;
    std::vector<std::size_t> indexes;
    for (const MemberPlace& place : places) {
        indexes.push_back(place.m_host);
    }
    std::sort(indexes.begin(), indexes.end());
    for (auto first = indexes.begin(); first != indexes.end();) {
        const auto last = std::upper_bound(first, indexes.end(), *first);
        const ReservableHost& host = hosts[*first];
        HostShare share{host.m_slot, static_cast<std::uint32_t>(last - first), {}};
        for (const ExpectedRelease& release : host.m_releases) {
            if (release.m_in <= reserved.m_startsIn) {
                share.m_released += release.m_capacity;
            }
        }
        reserved.m_hosts.push_back(share);
        first = last;
    }
    return reserved;
}

}  // namespace

UnitSize getUnitSize(const StepSpec& spec, std::uint32_t members) {
    const std::uint32_t total = spec.m_need.m_accelerators * members;
    const bool sharesHost = spec.m_adjacency == Adjacency::WORKER;
    return {sharesHost ? total : spec.m_need.m_accelerators, total};
}

bool ReservationPolicy::isLarge(const UnitSize& size) const {
    // A host with a single accelerator is never shared.
    return m_largestHost > 1 &&
           (2 * size.m_onOneHost > m_largestHost || size.m_total > m_largestHost);
}

bool ReservationPolicy::isKeptOut(const ContentionState& state) {
    // A unit for which there is room starts with the next plans, unless other units use the room.
    constexpr Millis PLACEMENT_WAIT{500};
    const bool waits = !state.m_fitsNow || state.m_waited >= PLACEMENT_WAIT;
    return waits && (state.m_hasSmallWaiting || state.m_hasSmallRunning);
}

bool ReservationPolicy::mayReserve(const ReservationUse& use, std::uint32_t accelerators) {
    constexpr std::size_t MAX_RESERVATIONS = 4;
    // Reserved hosts are partly idle until the unit starts. As with the headroom, a quarter of the
    // service may be kept from other work; one unit gets its room whatever its size.
    constexpr std::uint64_t MIN_SERVICE_SHARE = 4;
    return use.m_count == 0 || (use.m_count < MAX_RESERVATIONS &&
                                MIN_SERVICE_SHARE * (use.m_reserved + accelerators) <= use.m_total);
}

std::uint32_t ReservationPolicy::countFitting(const Resources& need, const Resources& capacity,
                                              std::uint32_t limit) {
    const auto divide = [limit](std::uint32_t available, std::uint32_t needed) {
        return needed == 0 ? limit : std::min(limit, available / needed);
    };
    return std::min({divide(capacity.m_cpuMillis, need.m_cpuMillis),
                     divide(capacity.m_memoryMb, need.m_memoryMb),
                     divide(capacity.m_accelerators, need.m_accelerators)});
}

std::optional<ReservedHosts> ReservationPolicy::findEarliest(
        const Resources& need, std::uint32_t members, std::span<const ReservableHost> hosts) {
    std::map<std::int32_t, std::vector<std::size_t>> hostsByDomain;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        hostsByDomain[hosts[index].m_domain].push_back(index);
    }
    std::vector<MemberPlace> best;
    std::tuple<Millis, std::uint64_t> bestRank{Millis::max(), 0};
    std::vector<MemberPlace> places;
    for (const auto& [domain, indexes] : hostsByDomain) {
        places.clear();
        for (const std::size_t index : indexes) {
            addPlaces(need, members, hosts, index, std::get<Millis>(bestRank), places);
        }
        if (places.size() < members) {
            continue;
        }
        std::nth_element(places.begin(), places.begin() + (members - 1), places.end());
        places.resize(members);
        std::uint64_t used = 0;
        for (const MemberPlace& place : places) {
            used += place.m_usedAccelerators;
        }
        const std::tuple<Millis, std::uint64_t> rank{places.back().m_in, used};
        if (rank < bestRank) {
            best.swap(places);
            bestRank = rank;
        }
    }
    return best.empty() ? std::nullopt : std::optional(makeReservedHosts(best, hosts));
}

double ReservationPolicy::getPackingPenalty(const PackingChoice& choice) const {
    // Ranks: hosts outside reservations, hosts in use, racks that are broken already, the fullest
    // host. The speed only decides between hosts that are equal in all of these.
    const double host = m_largestHost + 1.0;
    constexpr double MAX_SPEED_EFFECT = 0.4;
    const double speed = -std::clamp(choice.m_slowness - 1.0, -1.0, 1.0) * MAX_SPEED_EFFECT;
    const double rack = choice.m_isWhole ? host * (1.0 + choice.m_wholeShareOfRack) : 0.0;
    return (choice.m_isReserved ? 3.0 * host : 0.0) + rack + choice.m_left + speed;
}

Millis ReservationPolicy::estimateRemaining(Millis expected, Millis high, Millis elapsed) {
    if (elapsed < expected) {
        return expected - elapsed;
    }
    // A run that has outlasted its forecast says little about its end but that it is a long one.
    constexpr std::int64_t OVERRUN_SHARE = 4;
    return std::max(high - elapsed, elapsed / OVERRUN_SHARE);
}

}  // namespace pierbank
