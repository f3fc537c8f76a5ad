// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobTable.h"

#include <algorithm>

namespace pierbank {

namespace {

/** Returns whether a message is the start or the stop of this run. */
bool refersTo(const PendingMessage& message, const std::string& task, std::uint32_t run) {
    if (const auto* const order = std::get_if<RunOrder>(&message.m_frame)) {
        return order->m_task == task && order->m_run == run;
    }
    const auto* const stop = std::get_if<RunStop>(&message.m_frame);
    return stop != nullptr && stop->m_task == task && stop->m_run == run;
}

}  // namespace

void JobEntry::updateIdleTime(Millis wallNow) {
    if (!m_run.isIdle()) {
        m_wasActive = true;
        m_idleSince.reset();
    } else if (m_wasActive && !m_idleSince.has_value()) {
        m_idleSince = wallNow;
    }
    m_lasting.update(m_record, m_run, wallNow);
}

bool JobEntry::hasPendingMessage(const std::string& task, std::uint32_t run) const {
    const auto matches = [&](const PendingMessage& message) {
        return refersTo(message, task, run);
    };
    return std::any_of(m_pendingMessages.begin(), m_pendingMessages.end(), matches) ||
           std::any_of(m_committingMessages.begin(), m_committingMessages.end(), matches);
}

}  // namespace pierbank
