// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <array>
#include <charconv>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "pierbank/base/SettingsFile.h"
#include "pierbank/statement/Statement.h"

namespace pierbank {

namespace grammar {

namespace p = tao::pegtl;

// NOLINTBEGIN(readability-identifier-naming): rules are types, named as in the grammar's page.

struct Blank : p::plus<p::blank> {};
struct MaybeBlank : p::star<p::blank> {};
struct NameChar : p::sor<p::alnum, p::one<'-', '_', '.'>> {};
struct WordEnd : p::not_at<NameChar> {};

template <typename Text>
struct Word : p::seq<Text, WordEnd> {};

struct Name : p::seq<p::alnum, p::rep_max<62, NameChar>, WordEnd> {};
struct Number : p::seq<p::rep_min_max<1, 6, p::digit>, WordEnd> {};
struct Duration
        : p::seq<p::rep_min_max<1, 9, p::digit>,
                 p::sor<TAO_PEGTL_STRING("ms"), TAO_PEGTL_STRING("min"), p::one<'s', 'h', 'd'>>,
                 WordEnd> {};
struct Members : p::rep_min_max<1, 4, p::digit> {};
struct Accelerators : p::rep_min_max<1, 4, p::digit> {};
struct ShapeEnd : WordEnd {};
struct Part : p::sor<Word<TAO_PEGTL_STRING("worker")>, Word<TAO_PEGTL_STRING("rack")>,
                     Word<TAO_PEGTL_STRING("domain")>, Word<TAO_PEGTL_STRING("region")>> {};
struct X : p::one<'x'> {};

struct KwOf : Word<TAO_PEGTL_STRING("of")> {};
struct KwFor : Word<TAO_PEGTL_STRING("for")> {};
struct KwJob : Word<TAO_PEGTL_STRING("job")> {};
struct KwShape : Word<TAO_PEGTL_STRING("shape")> {};
struct KwSubmit : Word<TAO_PEGTL_STRING("submit")> {};
struct KwBy : Word<TAO_PEGTL_STRING("by")> {};
struct KwFragmentation : Word<TAO_PEGTL_STRING("fragmentation")> {};

struct MustBlank : p::must<Blank> {};
struct ShapeText : p::seq<p::must<Members>, p::must<X>, p::must<Accelerators>, p::must<ShapeEnd>> {
};
struct Within : p::seq<Blank, Word<TAO_PEGTL_STRING("within")>, MustBlank, p::must<Part>> {};
struct RunTime : p::seq<Blank, Word<TAO_PEGTL_STRING("runtime")>, MustBlank, p::must<Duration>> {};
struct Urgent : Word<TAO_PEGTL_STRING("urgent")> {};
struct UrgentOption : p::seq<Blank, Urgent> {};

struct Create : Word<TAO_PEGTL_STRING("create")> {};
struct Remove : Word<TAO_PEGTL_STRING("remove")> {};
struct CreateOrRemove : p::sor<Create, Remove> {};
struct OrganisationStatement : p::seq<Word<TAO_PEGTL_STRING("organisation")>, MustBlank,
                                      p::must<CreateOrRemove>, MustBlank, p::must<Name>> {};
struct GuaranteeStatement
        : p::seq<Word<TAO_PEGTL_STRING("guarantee")>, MustBlank, p::must<Name>, MustBlank,
                 p::must<Number>, MustBlank, p::must<KwOf>, MustBlank, ShapeText, p::opt<Within>> {
};
struct WeightsStatement : p::seq<Word<TAO_PEGTL_STRING("weights")>, MustBlank,
                                 p::must<KwFragmentation>, MustBlank, p::must<Number>> {};
struct SubmitBody
        : p::seq<MustBlank, p::must<KwJob>, MustBlank, p::must<Name>, MustBlank, p::must<KwFor>,
                 MustBlank, p::must<Name>, MustBlank, p::must<KwShape>, MustBlank, ShapeText,
                 p::opt<Within>, p::opt<RunTime>, p::opt<UrgentOption>> {};
struct SubmitStatement : p::seq<KwSubmit, SubmitBody> {};
struct CheckStatement
        : p::seq<Word<TAO_PEGTL_STRING("check")>, MustBlank, p::must<KwSubmit>, SubmitBody> {};
struct WithdrawStatement : p::seq<Word<TAO_PEGTL_STRING("withdraw")>, MustBlank, p::must<KwJob>,
                                  MustBlank, p::must<Name>> {};

struct Quarantine : Word<TAO_PEGTL_STRING("quarantine")> {};
struct Release : Word<TAO_PEGTL_STRING("release")> {};
struct Drain : Word<TAO_PEGTL_STRING("drain")> {};
struct WorkerAction : p::sor<Quarantine, Release, Drain> {};
struct EndpointAction : p::sor<Release, Drain> {};
struct WorkerStatement : p::seq<Word<TAO_PEGTL_STRING("worker")>, MustBlank, p::must<WorkerAction>,
                                MustBlank, p::must<Name>> {};
struct EndpointStatement : p::seq<Word<TAO_PEGTL_STRING("endpoint")>, MustBlank,
                                  p::must<EndpointAction>, MustBlank, p::must<Name>> {};

struct SubjectName
        : p::sor<Word<TAO_PEGTL_STRING("jobs")>, Word<TAO_PEGTL_STRING("organisations")>,
                 Word<TAO_PEGTL_STRING("workers")>, Word<TAO_PEGTL_STRING("racks")>,
                 Word<TAO_PEGTL_STRING("endpoints")>, Word<TAO_PEGTL_STRING("configuration")>,
                 Word<TAO_PEGTL_STRING("audit")>> {};
struct Column : p::seq<p::alpha, p::rep_max<30, p::sor<p::alnum, p::one<'_'>>>, WordEnd> {};
struct Operator : p::sor<TAO_PEGTL_STRING("!="), TAO_PEGTL_STRING("<="), TAO_PEGTL_STRING(">="),
                         p::one<'=', '<', '>'>> {};
struct QuotedText : p::rep_max<200, p::not_one<'"'>> {};
struct QuoteEnd : p::one<'"'> {};
struct Quoted : p::seq<p::one<'"'>, QuotedText, p::must<QuoteEnd>> {};
struct PlainValue : p::plus<p::sor<NameChar, p::one<':', '/'>>> {};
struct Value : p::sor<Quoted, PlainValue> {};
struct ConditionText
        : p::seq<p::must<Column>, MaybeBlank, p::must<Operator>, MaybeBlank, p::must<Value>> {};
struct And : p::seq<Blank, Word<TAO_PEGTL_STRING("and")>, MustBlank, ConditionText> {};
struct Where
        : p::seq<Blank, Word<TAO_PEGTL_STRING("where")>, MustBlank, ConditionText, p::star<And>> {};
struct Descending : Word<TAO_PEGTL_STRING("desc")> {};
struct OrderColumn : Column {};
struct OrderBy : p::seq<Blank, Word<TAO_PEGTL_STRING("order")>, MustBlank, p::must<KwBy>, MustBlank,
                        p::must<OrderColumn>, p::opt<p::seq<Blank, Descending>>> {};
struct Limit : p::seq<Blank, Word<TAO_PEGTL_STRING("limit")>, MustBlank, p::must<Number>> {};
struct ShowStatement : p::seq<Word<TAO_PEGTL_STRING("show")>, MustBlank, p::must<SubjectName>,
                              p::opt<Where>, p::opt<OrderBy>, p::opt<Limit>> {};

struct JobWord : Word<TAO_PEGTL_STRING("job")> {};
struct WorkerWord : Word<TAO_PEGTL_STRING("worker")> {};
struct OrganisationWord : Word<TAO_PEGTL_STRING("organisation")> {};
struct WhySubject : p::sor<JobWord, WorkerWord, OrganisationWord> {};
struct WhyStatement : p::seq<Word<TAO_PEGTL_STRING("why")>, MustBlank, p::must<WhySubject>,
                             MustBlank, p::must<Name>> {};

struct AnyStatement : p::sor<OrganisationStatement, GuaranteeStatement, WeightsStatement,
                             SubmitStatement, CheckStatement, WithdrawStatement, WorkerStatement,
                             EndpointStatement, ShowStatement, WhyStatement> {};
struct End : p::eof {};
struct Whole : p::seq<MaybeBlank, p::must<AnyStatement>, MaybeBlank, p::opt<p::one<';'>>,
                      MaybeBlank, p::must<End>> {};

// What is expected where a rule fails; every rule under a `must` needs one to compile.
template <typename>
inline constexpr const char* EXPECTED = nullptr;
template <>
inline constexpr const char* EXPECTED<Blank> = "a blank";
template <>
inline constexpr const char* EXPECTED<Name> =
        "a name (a letter or digit, then up to 62 letters, digits, `-`, `_` or `.`)";
template <>
inline constexpr const char* EXPECTED<Number> = "a whole number of up to six digits";
template <>
inline constexpr const char* EXPECTED<Duration> = "a time with its unit, as 30s, 10min, 2h or 1d";
template <>
inline constexpr const char* EXPECTED<Members> = "a shape, as 2x8: members x accelerators of each";
template <>
inline constexpr const char* EXPECTED<X> = "`x` and the accelerators of each member, as in 2x8";
template <>
inline constexpr const char* EXPECTED<Accelerators> = "the accelerators of each member, as in 2x8";
template <>
inline constexpr const char* EXPECTED<ShapeEnd> = "a blank or the end after the shape";
template <>
inline constexpr const char* EXPECTED<Part> = "`worker`, `rack`, `domain` or `region`";
template <>
inline constexpr const char* EXPECTED<KwOf> = "`of`";
template <>
inline constexpr const char* EXPECTED<KwFor> = "`for`";
template <>
inline constexpr const char* EXPECTED<KwJob> = "`job`";
template <>
inline constexpr const char* EXPECTED<KwShape> = "`shape`";
template <>
inline constexpr const char* EXPECTED<KwSubmit> = "`submit`";
template <>
inline constexpr const char* EXPECTED<KwBy> = "`by`";
template <>
inline constexpr const char* EXPECTED<KwFragmentation> = "`fragmentation`";
template <>
inline constexpr const char* EXPECTED<CreateOrRemove> = "`create` or `remove`";
template <>
inline constexpr const char* EXPECTED<WorkerAction> = "`quarantine`, `release` or `drain`";
template <>
inline constexpr const char* EXPECTED<EndpointAction> = "`release` or `drain`";
template <>
inline constexpr const char* EXPECTED<SubjectName> =
        "`jobs`, `organisations`, `workers`, `racks`, `endpoints`, `configuration` or `audit`";
template <>
inline constexpr const char* EXPECTED<Column> = "the name of a column";
template <>
inline constexpr const char* EXPECTED<OrderColumn> = "the name of a column";
template <>
inline constexpr const char* EXPECTED<Operator> = "`=`, `!=`, `<`, `<=`, `>` or `>=`";
template <>
inline constexpr const char* EXPECTED<Value> = "a value, in quotes if it has blanks";
template <>
inline constexpr const char* EXPECTED<QuoteEnd> = "a closing quote";
template <>
inline constexpr const char* EXPECTED<WhySubject> = "`job`, `worker` or `organisation`";
template <>
inline constexpr const char* EXPECTED<AnyStatement> =
        "`organisation`, `guarantee`, `weights`, `submit`, `check`, `withdraw`, `worker`, "
        "`endpoint`, `show` or `why`";
template <>
inline constexpr const char* EXPECTED<End> = "the end of the statement";

struct Errors {
    template <typename Rule>
    static constexpr const char* message = EXPECTED<Rule>;
    /** Only a failure under `must` is an error; elsewhere another alternative may match. */
    template <typename Rule>
    static constexpr bool raise_on_failure = false;
};

template <typename Rule>
using Control = p::must_if<Errors>::control<Rule>;

template <typename Rule>
using Selector = p::parse_tree::selector<
        Rule, p::parse_tree::store_content::on<
                      Name, Number, Duration, Members, Accelerators, Part, Urgent, Create, Remove,
                      Quarantine, Release, Drain, OrganisationStatement, GuaranteeStatement,
                      WeightsStatement, SubmitStatement, CheckStatement, WithdrawStatement,
                      WorkerStatement, EndpointStatement, SubjectName, Column, Operator, QuotedText,
                      PlainValue, Descending, OrderColumn, ShowStatement, Limit, JobWord,
                      WorkerWord, OrganisationWord, WhyStatement>>;

// NOLINTEND(readability-identifier-naming)

}  // namespace grammar

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

/** Builds typed statements from the parse tree, checking what the grammar cannot. */
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
        if (node.is_type<grammar::EndpointStatement>()) {
            return ChangeEndpoint{getAction(node), getText<grammar::Name>(node)};
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
        const bool hasGoodCount =
                shape.m_accelerators >= 1 && shape.m_accelerators <= MAX_ACCELERATORS_PER_WORKER;
        if (!hasGoodCount) {
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
                "jobs", "organisations", "workers", "racks", "endpoints", "configuration", "audit"};
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
    constexpr std::size_t CONTEXT = 60;
    const std::size_t start = m_column > CONTEXT ? m_column - CONTEXT : 0;
    std::string shown(statement.substr(std::min(start, statement.size()), 2 * CONTEXT));
    std::replace_if(
            shown.begin(), shown.end(), [](unsigned char c) { return c < ' '; }, ' ');
    return shown + "\n" + std::string(m_column - start - 1, ' ') + "^ column " +
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
           !std::holds_alternative<WhyOrganisation>(statement);
}

}  // namespace pierbank
