// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/LineWriter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace pierbank {
namespace {

/** Writes to a pipe that the test reads. */
class LineWriterTest : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_EQ(::pipe(m_pipe.data()), 0); }

    void TearDown() override {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string readAvailable() {
        std::string bytes(1 << 20, '\0');
        const ssize_t count = ::read(m_pipe[0], bytes.data(), bytes.size());
        bytes.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
        return bytes;
    }

    std::array<int, 2> m_pipe{};
};

TEST_F(LineWriterTest, WritesLinesInOrder) {
    LineWriter writer(m_pipe[1]);
    writer.write("one");
    writer.write("two");
    EXPECT_EQ(readAvailable(), "one\ntwo\n");
    EXPECT_EQ(writer.getDropped(), 0u);
}

TEST_F(LineWriterTest, DropsLinesForAStalledReaderAndReportsTheirNumber) {
    LineWriter writer(m_pipe[1]);
    const std::string line(1000, 'x');
    constexpr int LINES_BEYOND_PIPE_CAPACITY = 200;
    for (int i = 0; i < LINES_BEYOND_PIPE_CAPACITY; ++i) {
        writer.write(line);
    }
    const std::uint64_t dropped = writer.getDropped();
    ASSERT_GT(dropped, 0u);
    readAvailable();
    writer.write("after");
    EXPECT_EQ(readAvailable(),
              "warning log lines-dropped count=" + std::to_string(dropped) + "\nafter\n");
    EXPECT_EQ(writer.getDropped(), 0u);
}

TEST_F(LineWriterTest, TruncatesALongLine) {
    LineWriter writer(m_pipe[1]);
    writer.write(std::string(10'000, 'x'));
    EXPECT_EQ(readAvailable().size(), LineWriter::MAX_LINE + 1);
}

}  // namespace
}  // namespace pierbank
