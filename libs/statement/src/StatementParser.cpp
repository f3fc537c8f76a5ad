// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <array>
#include <charconv>

#include "Grammar.h"
#include "pierbank/base/SettingsFile.h"
#include "pierbank/statement/Statement.h"

namespace pierbank {

namespace {

using Node = tao::pegtl::parse_tree::node;

template <typename Rule>
const Node* findChild(const Node& parent) {
    for (const auto& child : parent.children) {
        if (child->is_type<Rule>()) {
            return child.get();
        }
    }
    return nullptr;
}

template <typename Rule>
std::string getText(const Node& parent, std::size_t index = 0) {
    for (const auto& child : parent.children) {
        if (!child->is_type<Rule>()) {
            continue;
        }
        if (index == 0) {
            return child->string();
        }
        --index;
    }
    return {};
}

std::uint32_t toNumber(std::string_view digits) {
    std::uint32_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

/** Builds statements from the parse tree and checks ranges, which the grammar does not. */
class StatementBuilder {
public:
    ParseResult build(const Node& node) {
        ParseResult result;
        result.m_statement = buildAny(node);
        if (m_error.has_value()) {
            result.m_statement.reset();
            result.m_error = *m_error;
        }
        return result;
    }

private:
    Statement buildAny(const Node& node) {
        if (node.is_type<grammar::OrganisationStatement>()) {
            return buildOrganisation(node);
        }
        if (node.is_type<grammar::GuaranteeStatement>()) {
            const std::uint32_t count = toNumber(getText<grammar::Number>(node));
            return SetGuarantee{getText<grammar::Name>(node), count, buildShape(node)};
        }
        if (node.is_type<grammar::WeightsStatement>()) {
            return buildWeights(node);
        }
        if (node.is_type<grammar::SubmitStatement>()) {
            return buildSubmit(node, false);
        }
        if (node.is_type<grammar::CheckStatement>()) {
            return buildSubmit(node, true);
        }
        if (node.is_type<grammar::WithdrawStatement>()) {
            return WithdrawJob{getText<grammar::Name>(node)};
        }
        if (node.is_type<grammar::WorkerStatement>()) {
            return ChangeWorker{getAction(node), getText<grammar::Name>(node)};
        }
        if (node.is_type<grammar::DomainStatement>()) {
            const bool isEvacuated = findChild<grammar::Evacuate>(node) != nullptr;
            return ChangeDomain{isEvacuated, getText<grammar::Name>(node)};
        }
        if (node.is_type<grammar::ShowStatement>()) {
            return buildShow(node);
        }
        return buildWhy(node);
    }

    static Statement buildOrganisation(const Node& node) {
        const std::string name = getText<grammar::Name>(node);
        if (findChild<grammar::Create>(node) != nullptr) {
            return CreateOrganisation{name};
        }
        return RemoveOrganisation{name};
    }

    Statement buildWeights(const Node& node) {
        constexpr std::uint32_t MAX_WEIGHT = 100;
        const std::uint32_t weight = toNumber(getText<grammar::Number>(node));
        if (weight > MAX_WEIGHT) {
            fail(*findChild<grammar::Number>(node), "expected a weight from 0 to 100");
        }
        return SetWeights{weight};
    }

    Statement buildSubmit(const Node& node, bool isCheck) {
        SubmitJob submit;
        submit.m_name = getText<grammar::Name>(node);
        submit.m_organisation = getText<grammar::Name>(node, 1);
        submit.m_queue = getText<grammar::Queue>(node);
        submit.m_shape = buildShape(node);
        submit.m_isUrgent = findChild<grammar::Urgent>(node) != nullptr;
        submit.m_isCheck = isCheck;
        const Node* const runTime = findChild<grammar::Duration>(node);
        constexpr Millis DEFAULT_RUN_TIME{3'600'000};
        submit.m_runTime = DEFAULT_RUN_TIME;
        if (runTime != nullptr) {
            const auto parsed = parseDuration(runTime->string());
            submit.m_runTime = parsed.value_or(Millis(0));
            if (submit.m_runTime <= Millis(0)) {
                fail(*runTime, "expected a run time above zero and below ten years");
            }
        }
        return submit;
    }

    Shape buildShape(const Node& node) {
        Shape shape;
        const Node* const members = findChild<grammar::Members>(node);
        const Node* const accelerators = findChild<grammar::Accelerators>(node);
        shape.m_members = toNumber(members->string_view());
        shape.m_accelerators = toNumber(accelerators->string_view());
        if (shape.m_members < 1 || shape.m_members > MAX_MEMBERS) {
            fail(*members, "expected 1 to " + std::to_string(MAX_MEMBERS) + " members");
        }
        const bool isInRange =
                shape.m_accelerators >= 1 && shape.m_accelerators <= MAX_ACCELERATORS_PER_WORKER;
        if (!isInRange) {
            fail(*accelerators, "expected 1 to " + std::to_string(MAX_ACCELERATORS_PER_WORKER) +
                                        " accelerators of each member");
        }
        const Node* const part = findChild<grammar::Part>(node);
        if (part != nullptr) {
            shape.m_adjacency = *parseAdjacency(part->string_view());
        }
        return shape;
    }

    static HostAction getAction(const Node& node) {
        if (findChild<grammar::Quarantine>(node) != nullptr) {
            return HostAction::QUARANTINE;
        }
        const bool isDrain = findChild<grammar::Drain>(node) != nullptr;
        return isDrain ? HostAction::DRAIN : HostAction::RELEASE;
    }

    static Subject getSubject(std::string_view text) {
        constexpr std::array<std::string_view, 7> NAMES = {
                "jobs", "organisations", "workers", "racks", "domains", "configuration", "audit"};
        const auto found = std::find(NAMES.begin(), NAMES.end(), text);
        return static_cast<Subject>(found - NAMES.begin());
    }

    static Comparison getComparison(std::string_view text) {
        constexpr std::array<std::string_view, 6> SIGNS = {"=", "!=", "<", "<=", ">", ">="};
        const auto found = std::find(SIGNS.begin(), SIGNS.end(), text);
        return static_cast<Comparison>(found - SIGNS.begin());
    }

    static Statement buildShow(const Node& node) {
        Show show;
        Condition condition;
        for (const auto& child : node.children) {
            const std::string text = child->has_content() ? child->string() : std::string();
            if (child->is_type<grammar::SubjectName>()) {
                show.m_subject = getSubject(text);
            } else if (child->is_type<grammar::Column>()) {
                condition.m_column = text;
            } else if (child->is_type<grammar::Operator>()) {
                condition.m_comparison = getComparison(text);
            } else if (child->is_type<grammar::QuotedText>() ||
                       child->is_type<grammar::PlainValue>()) {
                condition.m_value = text;
                show.m_conditions.push_back(condition);
            } else if (child->is_type<grammar::OrderColumn>()) {
                show.m_orderBy = text;
            } else if (child->is_type<grammar::Descending>()) {
                show.m_isDescending = true;
            } else if (child->is_type<grammar::Limit>()) {
                show.m_limit = toNumber(getText<grammar::Number>(*child));
            }
        }
        return show;
    }

    static Statement buildWhy(const Node& node) {
        const std::string name = getText<grammar::Name>(node);
        if (findChild<grammar::JobWord>(node) != nullptr) {
            return WhyJob{name};
        }
        if (findChild<grammar::WorkerWord>(node) != nullptr) {
            return WhyWorker{name};
        }
        if (findChild<grammar::DomainWord>(node) != nullptr) {
            return WhyDomain{name};
        }
        return WhyOrganisation{name};
    }

    void fail(const Node& node, const std::string& message) {
        if (!m_error.has_value()) {
            m_error = ParseError{node.begin().column, message};
        }
    }

    std::optional<ParseError> m_error;
};

ParseResult makeError(std::size_t column, std::string message) {
    ParseResult result;
    result.m_error = {column, std::move(message)};
    return result;
}

}  // namespace

std::string ParseError::toText(std::string_view statement) const {
    constexpr std::size_t CONTEXT_BYTES = 60;
    const std::size_t start = m_column > CONTEXT_BYTES ? m_column - CONTEXT_BYTES : 0;
    std::string excerpt(statement.substr(std::min(start, statement.size()), 2 * CONTEXT_BYTES));
    std::replace_if(
            excerpt.begin(), excerpt.end(), [](unsigned char c) { return c < ' '; }, ' ');
    return excerpt + "\n" + std::string(m_column - start - 1, ' ') + "^ column " +
           std::to_string(m_column) + ": " + m_message;
}

ParseResult parseStatement(std::string_view text) {
    if (text.size() > MAX_STATEMENT_BYTES) {
        return makeError(
                MAX_STATEMENT_BYTES,
                "a statement has at most " + std::to_string(MAX_STATEMENT_BYTES) + " bytes");
    }
    tao::pegtl::memory_input<> input(text.data(), text.size(), "statement");
    try {
        const auto root =
                tao::pegtl::parse_tree::parse<grammar::Whole, grammar::Selector,
                                              tao::pegtl::nothing, grammar::Control>(input);
        if (!root || root->children.empty()) {
            return makeError(1, "expected a statement");
        }
        return StatementBuilder().build(*root->children.front());
    } catch (const tao::pegtl::parse_error& error) {
        return makeError(error.positions().front().column,
                         "expected " + std::string(error.message()));
    }
}

bool isChange(const Statement& statement) {
    const auto* const submit = std::get_if<SubmitJob>(&statement);
    if (submit != nullptr) {
        return !submit->m_isCheck;
    }
    return !std::holds_alternative<Show>(statement) && !std::holds_alternative<WhyJob>(statement) &&
           !std::holds_alternative<WhyWorker>(statement) &&
           !std::holds_alternative<WhyOrganisation>(statement) &&
           !std::holds_alternative<WhyDomain>(statement);
}

}  // namespace pierbank
