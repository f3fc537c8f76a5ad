// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_STATEMENT_STATEMENT_H
#define PIERBANK_STATEMENT_STATEMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/job/Shape.h"

namespace pierbank {

// Statements of the query and command language; docs/LANGUAGE.md has the grammar and examples.

/** `organisation create NAME` */
struct CreateOrganisation {
    std::string m_name;
};

/** `organisation remove NAME` */
struct RemoveOrganisation {
    std::string m_name;
};

/** `guarantee NAME COUNT of SHAPE [within PART]`; a count of zero takes the guarantee back. */
struct SetGuarantee {
    std::string m_organisation;
    std::uint32_t m_count = 0;
    Shape m_shape;
};

/** `weights fragmentation N` */
struct SetWeights {
    std::uint32_t m_fragmentation = 0;
};

/**
 * `[check] submit job NAME for ORGANISATION [on QUEUE] shape SHAPE [within PART] [runtime TIME]
 * [urgent]`
 */
struct SubmitJob {
    std::string m_name;
    std::string m_organisation;
    /** Empty: the most urgent queue for urgent jobs, else the least urgent. */
    std::string m_queue;
    Shape m_shape;
    Millis m_runTime{0};
    bool m_isUrgent = false;
    /** Only say what would happen. */
    bool m_isCheck = false;
};

/** `withdraw job NAME` */
struct WithdrawJob {
    std::string m_name;
};

/** What an operator does to a host. */
enum class HostAction { QUARANTINE, RELEASE, DRAIN };

/** `worker quarantine|release|drain NAME` */
struct ChangeWorker {
    HostAction m_action = HostAction::RELEASE;
    std::string m_name;
};

/** `domain evacuate|release NAME` */
struct ChangeDomain {
    /** Nothing begins there until it is released. */
    bool m_isEvacuated = false;
    std::string m_name;
};

/** What `show` lists. */
enum class Subject { JOBS, ORGANISATIONS, WORKERS, RACKS, DOMAINS, CONFIGURATION, AUDIT };

enum class Comparison { EQUAL, NOT_EQUAL, LESS, LESS_OR_EQUAL, GREATER, GREATER_OR_EQUAL };

/** `COLUMN OPERATOR VALUE` */
struct Condition {
    std::string m_column;
    Comparison m_comparison = Comparison::EQUAL;
    std::string m_value;
};

/** `show SUBJECT [where CONDITION [and CONDITION]...] [order by COLUMN [desc]] [limit N]` */
struct Show {
    Subject m_subject = Subject::JOBS;
    std::vector<Condition> m_conditions;
    std::string m_orderBy;
    bool m_isDescending = false;
    std::optional<std::uint32_t> m_limit;
};

/** `why job NAME` */
struct WhyJob {
    std::string m_name;
};

/** `why worker NAME` */
struct WhyWorker {
    std::string m_name;
};

/** `why organisation NAME` */
struct WhyOrganisation {
    std::string m_name;
};

/** `why domain NAME` */
struct WhyDomain {
    std::string m_name;
};

using Statement = std::variant<CreateOrganisation, RemoveOrganisation, SetGuarantee, SetWeights,
                               SubmitJob, WithdrawJob, ChangeWorker, ChangeDomain, Show, WhyJob,
                               WhyWorker, WhyOrganisation, WhyDomain>;

/** Where a text stops being a statement. */
struct ParseError {
    /** Counted from 1. */
    std::size_t m_column = 1;
    std::string m_message;

    /** The text with a caret below the column. */
    std::string toText(std::string_view statement) const;
};

/** A statement, or where it goes wrong and what was expected there. */
struct ParseResult {
    std::optional<Statement> m_statement;
    ParseError m_error;
};

/** Longer texts are refused; no statement needs as much. */
inline constexpr std::size_t MAX_STATEMENT_BYTES = 4096;

/** Reads one statement. */
ParseResult parseStatement(std::string_view text);

/** Whether a statement changes anything (and therefore goes to the leader and the audit trail). */
bool isChange(const Statement& statement);

}  // namespace pierbank

#endif  // PIERBANK_STATEMENT_STATEMENT_H
