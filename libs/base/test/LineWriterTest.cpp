// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/LineWriter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace pierbank {
namespace {

/** A pipe whose reader is this test. */
class LineWriterTest : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_EQ(::pipe(m_ends.data()), 0); }

    void TearDown() override {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    std::string readSome() {
        std::string bytes(1 << 20, '\0');
        const ssize_t count = ::read(m_ends[0], bytes.data(), bytes.size());
        bytes.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
        return bytes;
    }

    std::array<int, 2> m_ends{};
};

TEST_F(LineWriterTest, LinesArriveInOrder) {
    LineWriter writer(m_ends[1]);
    writer.write("one");
    writer.write("two");
    EXPECT_EQ(readSome(), "one\ntwo\n");
    EXPECT_EQ(writer.getDropped(), 0u);
}

TEST_F(LineWriterTest, AReaderThatStallsCostsLinesAndIsToldHowMany) {
    LineWriter writer(m_ends[1]);
    const std::string line(1000, 'x');
    constexpr int MORE_THAN_A_PIPE_HOLDS = 200;
    for (int i = 0; i < MORE_THAN_A_PIPE_HOLDS; ++i) {
        writer.write(line);
    }
    const std::uint64_t dropped = writer.getDropped();
    ASSERT_GT(dropped, 0u);
    readSome();
    writer.write("after");
    EXPECT_EQ(readSome(),
              "warning log lines-dropped count=" + std::to_string(dropped) + "\nafter\n");
    EXPECT_EQ(writer.getDropped(), 0u);
}

TEST_F(LineWriterTest, ALineTooLongToBeWrittenAtOnceIsCut) {
    LineWriter writer(m_ends[1]);
    writer.write(std::string(10'000, 'x'));
    EXPECT_EQ(readSome().size(), LineWriter::MAX_LINE + 1);
}

}  // namespace
}  // namespace pierbank
