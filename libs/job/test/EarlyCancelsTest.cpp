// SPDX-License-Identifier: Apache-2.0
#include "pierbank/job/EarlyCancels.h"

#include <gtest/gtest.h>

#include "pierbank/job/JobCodec.h"

namespace pierbank {
namespace {

constexpr Millis NOW{1'768'085'962'067};

/** The requests of two organisations to cancel one job. */
class EarlyCancelsOfTwoOrganisations : public ::testing::Test {
protected:
    EarlyCancelsOfTwoOrganisations() {
        m_cancels.add({"a", NOW});
        m_cancels.add({"b", NOW + Millis(5)});
    }

    EarlyCancels m_cancels;
};

TEST_F(EarlyCancelsOfTwoOrganisations, KeepThatOfEach) {
    ASSERT_NE(m_cancels.find("a"), nullptr);
    EXPECT_EQ(m_cancels.find("a")->m_requestedAt, NOW);
    ASSERT_NE(m_cancels.find("b"), nullptr);
    EXPECT_EQ(m_cancels.find("c"), nullptr);
}

TEST_F(EarlyCancelsOfTwoOrganisations, KeepTheLastOfAnOrganisation) {
    m_cancels.add({"a", NOW + Millis(9)});
    m_cancels.add({"a", NOW - Millis(9)});
    EXPECT_EQ(m_cancels.find("a")->m_requestedAt, NOW + Millis(9));
    EXPECT_EQ(m_cancels.getLastRequestedAt(), NOW + Millis(9));
}

TEST_F(EarlyCancelsOfTwoOrganisations, AreMergedWhicheverIsReadFirst) {
    EarlyCancels older;
    older.add({"c", NOW});
    older.add({"b", NOW});
    older.merge(m_cancels);
    EXPECT_EQ(older.list().size(), 3U);
    EXPECT_EQ(older.find("b")->m_requestedAt, NOW + Millis(5));
    m_cancels.merge(older);
    EXPECT_EQ(m_cancels.list().size(), 3U);
}

TEST_F(EarlyCancelsOfTwoOrganisations, AreDecodedAsEncoded) {
    const auto read = decodeEarlyCancels(encodeEarlyCancels(m_cancels));
    ASSERT_TRUE(read.has_value());
    ASSERT_EQ(read->list().size(), 2U);
    EXPECT_EQ(read->find("a")->m_requestedAt, NOW);
    EXPECT_EQ(read->find("b")->m_requestedAt, NOW + Millis(5));
}

TEST(EarlyCancelsTest, AreNotDecodedFromOtherBytes) {
    EXPECT_FALSE(decodeEarlyCancels("").has_value());
    EXPECT_FALSE(decodeEarlyCancels("\x80").has_value());
    EXPECT_FALSE(decodeEarlyCancels("\x81\x61\x61").has_value());
}

/** Earlier versions write and read the request of one organisation as an array of two fields. */
TEST(EarlyCancelsTest, OfOneOrganisationAreEncodedAsByEarlierVersions) {
    const std::string encodedByEarlierVersion = "\x82\x61\x61\x19\x03\xe8";
    EarlyCancels cancels;
    cancels.add({"a", Millis(1000)});
    EXPECT_EQ(encodeEarlyCancels(cancels), encodedByEarlierVersion);
    const auto read = decodeEarlyCancels(encodedByEarlierVersion);
    ASSERT_TRUE(read.has_value());
    ASSERT_NE(read->find("a"), nullptr);
    EXPECT_EQ(read->find("a")->m_requestedAt, Millis(1000));
}

}  // namespace
}  // namespace pierbank
