// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobTable.h"

#include <algorithm>

namespace pierbank {

namespace {

bool isAbout(const PendingMessage& message, const std::string& task, std::uint32_t run) {
    if (const auto* const order = std::get_if<RunOrder>(&message.m_frame)) {
        return order->m_task == task && order->m_run == run;
    }
    const auto* const stop = std::get_if<RunStop>(&message.m_frame);
    return stop != nullptr && stop->m_task == task && stop->m_run == run;
}

}  // namespace

bool JobEntry::hasPendingMessage(const std::string& task, std::uint32_t run) const {
    const auto matches = [&](const PendingMessage& message) {
        return isAbout(message, task, run);
    };
    return std::any_of(m_messages.begin(), m_messages.end(), matches) ||
           std::any_of(m_messagesUnderWay.begin(), m_messagesUnderWay.end(), matches);
}

}  // namespace pierbank
