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

// Statements of the query and command language. docs/LANGUAGE.md documents the grammar.

/** `organisation create NAME` */
struct CreateOrganisation {
    std::string m_name;
};

/** `organisation remove NAME` */
struct RemoveOrganisation {
    std::string m_name;
};

/** `guarantee NAME COUNT of SHAPE [within PART]`; a count of zero removes the guarantee. */
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
    /** If empty, the queue of the highest priority for urgent jobs, else of the lowest. */
    std::string m_queue;
    Shape m_shape;
    /** Declared run time; an hour if the statement gives none. */
    Millis m_runTime{0};
    bool m_isUrgent = false;
    /** The outcome is only reported, and nothing is submitted. */
    bool m_isCheck = false;
};

/** `withdraw job NAME` */
struct WithdrawJob {
    std::string m_name;
};

/** Change of a host's administrative state. */
enum class HostAction { QUARANTINE, RELEASE, DRAIN };

/** `worker quarantine|release|drain NAME` */
struct ChangeWorker {
    HostAction m_action = HostAction::RELEASE;
    std::string m_name;
};

/** `domain evacuate|release NAME` */
struct ChangeDomain {
    /** No run starts in the domain until the domain is released. */
    bool m_isEvacuated = false;
    std::string m_name;
};

/** Objects that `show` lists. */
enum class Subject { JOBS, ORGANISATIONS, WORKERS, RACKS, DOMAINS, CONFIGURATION, AUDIT };

/** Operator of a condition, in the order of the grammar's signs. */
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

/** Position and description of an error in the text of a statement. */
struct ParseError {
    /** Column in bytes, counted from 1. */
    std::size_t m_column = 1;
    std::string m_message;

    /** Returns the part of the statement around the error with a caret below the column. */
    std::string toText(std::string_view statement) const;
};

/** A statement, or the error if the text is not valid. */
struct ParseResult {
    std::optional<Statement> m_statement;
    ParseError m_error;
};

/** Maximum length of a statement's text, far above the length of any useful statement. */
inline constexpr std::size_t MAX_STATEMENT_BYTES = 4096;

/** Parses one statement, with an optional semicolon at its end. */
ParseResult parseStatement(std::string_view text);

/** Returns whether a statement changes state, and so needs the leader and an audit entry. */
bool isChange(const Statement& statement);

}  // namespace pierbank

#endif  // PIERBANK_STATEMENT_STATEMENT_H
