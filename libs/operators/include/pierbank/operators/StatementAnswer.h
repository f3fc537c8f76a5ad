// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_STATEMENTANSWER_H
#define PIERBANK_OPERATORS_STATEMENTANSWER_H

#include <functional>
#include <optional>
#include <string>

#include "pierbank/base/Clock.h"
#include "pierbank/operators/Table.h"
#include "pierbank/statement/Statement.h"

namespace pierbank {

/** Outcome of a statement, for programs as well as for operators. */
enum class StatementStatus {
    DONE,
    /** The statement is valid but was refused, as the message explains. Nothing changed. */
    REFUSED,
    /** The text is no statement, or names an unknown column. Nothing changed. */
    INVALID,
    /** Not executed now or later: no leader, a newer leader, or the store is down. */
    NOT_RUN,
    /** A write's answer was lost, and the change may take effect: query before repeating it. */
    UNKNOWN,
};

/** Answer to a statement. */
struct StatementAnswer {
    StatementStatus m_status = StatementStatus::NOT_RUN;
    std::string m_message;
    std::optional<Table> m_table;
    /** With NOT_RUN and UNKNOWN: delay after which the client should retry. */
    Millis m_retryAfter{0};
};

/** Makes an answer without a table; sets the retry delay if the status allows a retry. */
StatementAnswer makeAnswer(StatementStatus status, std::string message);

/** Makes an answer with the rows that `show` selects; INVALID if it names an unknown column. */
StatementAnswer makeTableAnswer(Table table, const Show& show);

using StatementCallback = std::function<void(const StatementAnswer&)>;

/** A statement, its text and the operator who sent it. */
struct StatementRequest {
    Statement m_statement;
    std::string m_text;
    std::string m_operator;
};

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_STATEMENTANSWER_H
