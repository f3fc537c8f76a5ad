// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "pierbank/statement/Statement.h"

namespace pierbank {
namespace {

struct BadStatement {
    const char* m_text;
    std::size_t m_column;
    const char* m_expected;
};

class BadStatementTest : public ::testing::TestWithParam<BadStatement> {};

TEST_P(BadStatementTest, PointsAtTheColumnAndSaysWhatWasExpected) {
    const ParseResult result = parseStatement(GetParam().m_text);
    ASSERT_FALSE(result.m_statement.has_value());
    EXPECT_EQ(result.m_error.m_column, GetParam().m_column) << result.m_error.m_message;
    EXPECT_NE(result.m_error.m_message.find(GetParam().m_expected), std::string::npos)
            << result.m_error.m_message;
}

INSTANTIATE_TEST_SUITE_P(
        Table, BadStatementTest,
        ::testing::Values(BadStatement{"", 1, "`submit`"},
                          BadStatement{"sumbit job", 1, "`submit`"},
                          BadStatement{"organisation make x", 14, "`create` or `remove`"},
                          BadStatement{"organisation create -x", 21, "a name"},
                          BadStatement{"guarantee a 2 of 2y8", 19, "`x`"},
                          BadStatement{"guarantee a 2 of 2x8 within shelf", 29, "`rack`"},
                          BadStatement{"guarantee a 2 of 65x8", 18, "1 to 64 members"},
                          BadStatement{"guarantee a 2 of 2x0", 20, "1 to 64 accelerators"},
                          BadStatement{"weights fragmentation 101", 23, "0 to 100"},
                          BadStatement{"submit job a for b on shape 1x1", 29, "`shape`"},
                          BadStatement{"submit job a for b shape 1x1 runtime 5", 39, "a time"},
                          BadStatement{"submit job a for b shape 1x1 runtime 0s", 38, "above zero"},
                          BadStatement{"show jobs where", 16, "a blank"},
                          BadStatement{"show jobs where state", 22, "`=`"},
                          BadStatement{"show jobs where state = \"x", 27, "closing quote"},
                          BadStatement{"show jobs limit x", 17, "whole number"},
                          BadStatement{"why job", 8, "a blank"},
                          BadStatement{"domain drain a", 8, "`evacuate` or `release`"},
                          BadStatement{"domain evacuate", 16, "a blank"},
                          BadStatement{"withdraw job a b", 16, "the end"},
                          BadStatement{"show jobs\x01", 10, "the end"}));

TEST(StatementParserTest, ReadsEachStatement) {
    for (const char* text : {"organisation create a",
                             "organisation remove a",
                             "guarantee a 2 of 2x8 within rack",
                             "weights fragmentation 70",
                             "submit job j for a shape 1x4",
                             "submit job j.1-x for a shape 2x8 within domain runtime 90min urgent",
                             "check submit job j for a shape 1x4",
                             "withdraw job j",
                             "worker quarantine w1",
                             "worker release w1",
                             "worker drain w1",
                             "domain evacuate hall-a",
                             "domain release hall-a",
                             "show domains",
                             "why domain hall-a",
                             "submit job j for a on batch shape 2x8 within worker",
                             "show jobs",
                             "show racks order by used desc limit 3",
                             "show workers where state = live and used < 8",
                             "show audit where who = \"a b\"",
                             "why job j",
                             "why worker w",
                             "why organisation a",
                             "  show jobs ; "}) {
        EXPECT_TRUE(parseStatement(text).m_statement.has_value())
                << text << ": " << parseStatement(text).m_error.m_message;
    }
}

TEST(StatementParserTest, KeepsEveryPartOfASubmit) {
    const auto result =
            parseStatement("submit job j for a on q shape 2x8 within rack runtime 90min urgent");
    const auto& submit = std::get<SubmitJob>(*result.m_statement);
    EXPECT_EQ(submit.m_name, "j");
    EXPECT_EQ(submit.m_organisation, "a");
    EXPECT_EQ(submit.m_queue, "q");
    EXPECT_EQ(submit.m_shape, (Shape{2, 8, Adjacency::RACK}));
    EXPECT_EQ(submit.m_runTime, Millis(5'400'000));
    EXPECT_TRUE(submit.m_isUrgent);
}

TEST(StatementParserTest, RefusesATextThatIsTooLong) {
    const std::string text = "show jobs where name = " + std::string(MAX_STATEMENT_BYTES, 'x');
    EXPECT_FALSE(parseStatement(text).m_statement.has_value());
}

}  // namespace
}  // namespace pierbank
