// SPDX-License-Identifier: Apache-2.0
#include "EarlyReservations.h"

#include <algorithm>

namespace pierbank {

void EarlyReservations::add(EarlyReservation reservation, std::size_t slotCount) {
    m_reservations.push_back(std::move(reservation));
    indexHosts(slotCount);
}

bool EarlyReservations::release(const StepRun& step, std::uint32_t firstTask) {
    const EarlyReservation* const found = findOf(step, firstTask);
    if (found == nullptr) {
        return false;
    }
    m_reservations.erase(m_reservations.begin() + (found - m_reservations.data()));
    indexHosts(m_shares.size());
    return true;
}

void EarlyReservations::indexHosts(std::size_t slotCount) {
    m_shares.assign(slotCount, std::nullopt);
    m_backfillLimits.clear();
    for (std::size_t i = 0; i < m_reservations.size(); ++i) {
        const EarlyReservation& entry = m_reservations[i];
        for (std::size_t j = 0; j < entry.m_hosts.m_hosts.size(); ++j) {
            const HostShare& share = entry.m_hosts.m_hosts[j];
            m_shares[share.m_slot] = Share{i, share, entry.m_backfillLimits[j]};
            m_backfillLimits.push_back(entry.m_backfillLimits[j]);
        }
    }
    std::sort(m_backfillLimits.begin(), m_backfillLimits.end());
}

const EarlyReservation* EarlyReservations::findOf(const StepRun& step,
                                                  std::uint32_t firstTask) const {
    const auto found = std::find_if(
            m_reservations.begin(), m_reservations.end(), [&](const EarlyReservation& entry) {
                return entry.m_step == &step && entry.m_firstTask == firstTask;
            });
    return found == m_reservations.end() ? nullptr : &*found;
}

const EarlyReservation* EarlyReservations::findAt(std::size_t slot) const {
    return slot < m_shares.size() && m_shares[slot].has_value()
                   ? &m_reservations[m_shares[slot]->m_reservation]
                   : nullptr;
}

Resources EarlyReservations::getSpare(std::size_t slot, Resources free) const {
    const HostShare& share = m_shares[slot]->m_share;
    free += share.m_released;
    for (std::uint32_t i = 0; i < share.m_members; ++i) {
        free -= m_reservations[m_shares[slot]->m_reservation].m_need;
    }
    return free;
}

bool EarlyReservations::endsBefore(std::size_t slot, Millis runTime) const {
    return runTime < m_shares[slot]->m_backfillLimit;
}

std::size_t EarlyReservations::countEndingBefore(Millis runTime) const {
    return static_cast<std::size_t>(
            m_backfillLimits.end() -
            std::upper_bound(m_backfillLimits.begin(), m_backfillLimits.end(), runTime));
}

ReservationUse EarlyReservations::getUse(std::string_view service, std::uint64_t total) const {
    ReservationUse use;
    use.m_total = total;
    for (const EarlyReservation& entry : m_reservations) {
        if (entry.m_service == service) {
            ++use.m_count;
            use.m_reserved += entry.m_accelerators;
        }
    }
    return use;
}

}  // namespace pierbank
