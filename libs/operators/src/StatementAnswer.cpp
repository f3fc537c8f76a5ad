// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/StatementAnswer.h"

#include <utility>

namespace pierbank {

StatementAnswer makeAnswer(StatementStatus status, std::string message) {
    // A leader is replaced, and the store is usually available again, within about this time.
    constexpr Millis RETRY_AFTER{1000};
    StatementAnswer answer;
    answer.m_status = status;
    answer.m_message = std::move(message);
    const bool mayRetry = status == StatementStatus::NOT_RUN || status == StatementStatus::UNKNOWN;
    answer.m_retryAfter = mayRetry ? RETRY_AFTER : Millis(0);
    return answer;
}

StatementAnswer makeTableAnswer(Table table, const Show& show) {
    Reason reason;
    auto selected = selectRows(std::move(table), show, reason);
    if (!selected.has_value()) {
        return makeAnswer(StatementStatus::INVALID, reason);
    }
    StatementAnswer answer = makeAnswer(StatementStatus::DONE, {});
    answer.m_table = std::move(selected);
    return answer;
}

}  // namespace pierbank
