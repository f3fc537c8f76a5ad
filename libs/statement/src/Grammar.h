// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_STATEMENT_SRC_GRAMMAR_H
#define PIERBANK_STATEMENT_SRC_GRAMMAR_H

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

/** PEGTL rules of the query and command language, which docs/LANGUAGE.md documents. */
namespace pierbank::grammar {

namespace p = tao::pegtl;

// NOLINTBEGIN(readability-identifier-naming): rules are types, named as in docs/LANGUAGE.md.

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
struct Queue : Name {};
struct OnQueue : p::seq<Word<TAO_PEGTL_STRING("on")>, MustBlank, p::must<Queue>, MustBlank> {};
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
                 MustBlank, p::must<Name>, MustBlank, p::opt<OnQueue>, p::must<KwShape>, MustBlank,
                 ShapeText, p::opt<Within>, p::opt<RunTime>, p::opt<UrgentOption>> {};
struct SubmitStatement : p::seq<KwSubmit, SubmitBody> {};
struct CheckStatement
        : p::seq<Word<TAO_PEGTL_STRING("check")>, MustBlank, p::must<KwSubmit>, SubmitBody> {};
struct WithdrawStatement : p::seq<Word<TAO_PEGTL_STRING("withdraw")>, MustBlank, p::must<KwJob>,
                                  MustBlank, p::must<Name>> {};

struct Quarantine : Word<TAO_PEGTL_STRING("quarantine")> {};
struct Release : Word<TAO_PEGTL_STRING("release")> {};
struct Drain : Word<TAO_PEGTL_STRING("drain")> {};
struct WorkerAction : p::sor<Quarantine, Release, Drain> {};
struct WorkerStatement : p::seq<Word<TAO_PEGTL_STRING("worker")>, MustBlank, p::must<WorkerAction>,
                                MustBlank, p::must<Name>> {};

struct Evacuate : Word<TAO_PEGTL_STRING("evacuate")> {};
struct DomainAction : p::sor<Evacuate, Release> {};
struct DomainStatement : p::seq<Word<TAO_PEGTL_STRING("domain")>, MustBlank, p::must<DomainAction>,
                                MustBlank, p::must<Name>> {};

struct SubjectName
        : p::sor<Word<TAO_PEGTL_STRING("jobs")>, Word<TAO_PEGTL_STRING("organisations")>,
                 Word<TAO_PEGTL_STRING("workers")>, Word<TAO_PEGTL_STRING("racks")>,
                 Word<TAO_PEGTL_STRING("domains")>, Word<TAO_PEGTL_STRING("configuration")>,
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
struct DomainWord : Word<TAO_PEGTL_STRING("domain")> {};
struct WhySubject : p::sor<JobWord, WorkerWord, OrganisationWord, DomainWord> {};
struct WhyStatement : p::seq<Word<TAO_PEGTL_STRING("why")>, MustBlank, p::must<WhySubject>,
                             MustBlank, p::must<Name>> {};

struct AnyStatement : p::sor<OrganisationStatement, GuaranteeStatement, WeightsStatement,
                             SubmitStatement, CheckStatement, WithdrawStatement, WorkerStatement,
                             DomainStatement, ShowStatement, WhyStatement> {};
struct End : p::eof {};
struct Whole : p::seq<MaybeBlank, p::must<AnyStatement>, MaybeBlank, p::opt<p::one<';'>>,
                      MaybeBlank, p::must<End>> {};

// Error message of a failed rule. Every rule under `must` needs a specialisation to compile.
template <typename>
inline constexpr const char* EXPECTED = nullptr;
template <>
inline constexpr const char* EXPECTED<Blank> = "a blank";
template <>
inline constexpr const char* EXPECTED<Name> =
        "a name (a letter or digit, then up to 62 letters, digits, `-`, `_` or `.`)";
template <>
inline constexpr const char* EXPECTED<Queue> = "the name of a queue";
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
inline constexpr const char* EXPECTED<DomainAction> = "`evacuate` or `release`";
template <>
inline constexpr const char* EXPECTED<SubjectName> =
        "`jobs`, `organisations`, `workers`, `racks`, `domains`, `configuration` or `audit`";
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
inline constexpr const char* EXPECTED<WhySubject> = "`job`, `worker`, `organisation` or `domain`";
template <>
inline constexpr const char* EXPECTED<AnyStatement> =
        "`organisation`, `guarantee`, `weights`, `submit`, `check`, `withdraw`, `worker`, "
        "`domain`, `show` or `why`";
template <>
inline constexpr const char* EXPECTED<End> = "the end of the statement";

struct Errors {
    template <typename Rule>
    static constexpr const char* message = EXPECTED<Rule>;
    /** Only a failure under `must` is an error: otherwise another alternative may match. */
    template <typename Rule>
    static constexpr bool raise_on_failure = false;
};

template <typename Rule>
using Control = p::must_if<Errors>::control<Rule>;

template <typename Rule>
using Selector = p::parse_tree::selector<
        Rule, p::parse_tree::store_content::on<
                      Name, Queue, Number, Duration, Members, Accelerators, Part, Urgent, Create,
                      Remove, Quarantine, Release, Drain, Evacuate, DomainStatement, DomainWord,
                      OrganisationStatement, GuaranteeStatement, WeightsStatement, SubmitStatement,
                      CheckStatement, WithdrawStatement, WorkerStatement, SubjectName, Column,
                      Operator, QuotedText, PlainValue, Descending, OrderColumn, ShowStatement,
                      Limit, JobWord, WorkerWord, OrganisationWord, WhyStatement>>;

// NOLINTEND(readability-identifier-naming)

}  // namespace pierbank::grammar

#endif  // PIERBANK_STATEMENT_SRC_GRAMMAR_H
