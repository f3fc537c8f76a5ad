// SPDX-License-Identifier: Apache-2.0
#include "pierbank/platform/CertainWriter.h"

#include <gtest/gtest.h>

#include <optional>

#include "FakeKeyValueService.h"
#include "ManualEventLoop.h"

namespace pierbank::testing {
namespace {

struct WriteCase {
    const char* m_name;
    std::deque<Fault> m_faults;
    WriteResult m_result;
    /** Whether the value is in the store in the end. */
    bool m_isThere;
};

class CertainWriterTest : public ::testing::TestWithParam<WriteCase> {
protected:
    WriteResult write(const std::string& value, std::deque<Fault> faults) {
        std::optional<WriteResult> result;
        m_service.failNextWrites(std::move(faults));
        m_writer.write(
                value, [value](std::string_view found) { return found == value; },
                [&](WriteResult r) { result = r; });
        EXPECT_TRUE(m_loop.advanceUntil(Millis(30'000), [&] { return result.has_value(); }));
        // What is still on its way arrives.
        m_loop.advance(Millis(10'000));
        return result.value_or(WriteResult::UNAVAILABLE);
    }

    ManualEventLoop m_loop;
    standin::KeyValueStore m_store{m_loop};
    FakeKeyValueService m_service{m_loop, m_loop, m_store};
    CertainWriter m_writer{m_service, m_loop, "key"};
};

TEST_P(CertainWriterTest, SaysWhatReallyBecameOfTheWrite) {
    const WriteCase& c = GetParam();
    EXPECT_EQ(write("mine", c.m_faults), c.m_result);
    EXPECT_EQ(m_store.get("key").m_value == "mine", c.m_isThere);
}

INSTANTIATE_TEST_SUITE_P(
        Faults, CertainWriterTest,
        ::testing::Values(
                WriteCase{"None", {}, WriteResult::COMMITTED, true},
                WriteCase{"Down", {Fault::DOWN}, WriteResult::UNAVAILABLE, false},
                WriteCase{"CallLost", {Fault::CALL_LOST}, WriteResult::COMMITTED, true},
                WriteCase{"AnswerLost", {Fault::ANSWER_LOST}, WriteResult::COMMITTED, true},
                WriteCase{"LateEffect", {Fault::LATE_EFFECT}, WriteResult::COMMITTED, true},
                WriteCase{"LateTwice",
                          {Fault::LATE_EFFECT, Fault::LATE_EFFECT},
                          WriteResult::COMMITTED,
                          true},
                WriteCase{"LostThenDown",
                          {Fault::CALL_LOST, Fault::DOWN, Fault::DOWN},
                          WriteResult::COMMITTED,
                          true},
                WriteCase{"LateThenDown",
                          {Fault::LATE_EFFECT, Fault::DOWN},
                          WriteResult::COMMITTED,
                          true}),
        [](const auto& info) { return info.param.m_name; });

TEST_F(CertainWriterTest, IsSupersededByAnotherWriter) {
    ASSERT_EQ(write("mine", {}), WriteResult::COMMITTED);
    m_store.compareAndSwap("key", m_store.get("key").m_revision, "theirs", KeyValueLease::NONE);
    EXPECT_EQ(write("again", {}), WriteResult::SUPERSEDED);
    EXPECT_EQ(m_store.get("key").m_value, "theirs");
}

TEST_F(CertainWriterTest, ALateWriteCannotOvertakeWhoWroteSince) {
    std::optional<WriteResult> result;
    m_service.failNextWrites({Fault::LATE_EFFECT});
    m_writer.write(
            "mine", [](std::string_view value) { return value == "mine"; },
            [&](WriteResult r) { result = r; });
    m_loop.advance(Millis(100));
    m_store.compareAndSwap("key", 0, "theirs", KeyValueLease::NONE);
    m_loop.advance(Millis(10'000));
    EXPECT_EQ(result, WriteResult::SUPERSEDED);
    EXPECT_EQ(m_store.get("key").m_value, "theirs");
}

TEST_F(CertainWriterTest, RefusesWhatIsOverTheServicesLimit) {
    const std::string large(KeyValueService::MAX_VALUE_BYTES + 1, 'x');
    EXPECT_EQ(write(large, {}), WriteResult::TOO_LARGE);
}

TEST_F(CertainWriterTest, SaysNothingWhileNothingIsKnown) {
    bool isTold = false;
    m_service.failNextWrites({Fault::ANSWER_LOST});
    m_writer.write(
            "mine", [](std::string_view) { return true; }, [&](WriteResult) { isTold = true; });
    m_service.setFault(Fault::DOWN);
    m_loop.advance(Millis(60'000));
    EXPECT_FALSE(isTold);
    EXPECT_TRUE(m_writer.isUncertain());
    m_service.setFault(Fault::NONE);
    m_loop.advance(Millis(5000));
    EXPECT_TRUE(isTold);
}

}  // namespace
}  // namespace pierbank::testing
