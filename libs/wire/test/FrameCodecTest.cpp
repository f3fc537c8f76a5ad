// SPDX-License-Identifier: Apache-2.0
#include "pierbank/wire/FrameCodec.h"

#include <gtest/gtest.h>

namespace pierbank {
namespace {

RunReport makeReport() {
    RunReport report;
    report.m_incarnation = "l";
    report.m_running.emplace_back().m_task = "j.0.0.0";
    report.m_ended.emplace_back().m_checkpoint = "c";
    return report;
}

WorkerNotice makeNotice() {
    WorkerNotice notice{"l", true, "s", "d", "r", {"a", "r"}, 1, 2, 3, 4, 5, 6, true, 7, 8, {}};
    notice.m_crashes.push_back({"k", true, {{"j.0.0.0", 1, 9, true}}});
    return notice;
}

LearnedRecord makeLearnedRecord() {
    LearnedRecord record{5, 9, "l", -0.25, 12, {1.5, 3000, 2, 0.75, 800, 1, true}, {}, {}};
    record.m_arrivals.push_back({"s", 4, 32, 64'000});
    record.m_runTimes.push_back({"q", "i", 0.5, 8});
    return record;
}

const std::vector<Frame>& getFrames() {
    static const std::vector<Frame> frames = {
            LeaderHello{5, "n"},
            LeaseRequest{9, true},
            LeaseRenewal{1, 2, 3, 4},
            makeNotice(),
            makeReport(),
            RunOrder{5, "l", "j.0.0.0", 1, std::string("\0\xff", 2), "c", "t", 40, true},
            RunStop{5, "l", "j.0.0.0", 1},
            RunAbsent{"l", "j.0.0.0", 1, "why"},
            EndsPersisted{"l", 7},
            InputNotice{"k", "v"},
            RelayedRequest{1, "POST", "h", "/x", "k", "body", 99},
            RelayedAnswer{1, 200, "body"},
            GatewayQuery{3, 120, true},
            GatewayReply{3, 8, 40, 500, 183, 1000, true, {{"q", 4}}},
            makeLearnedRecord(),
            KeptRecord{makeLearnedRecord(), 700}};
    return frames;
}

TEST(FrameCodecTest, EveryFrameIsDecodedAsEncoded) {
    EXPECT_EQ(getFrames().size(), std::variant_size_v<Frame>);
    for (const Frame& frame : getFrames()) {
        Reason reason;
        const auto decoded = decodeFrame(encodeFrame(frame), reason);
        ASSERT_TRUE(decoded.has_value()) << frame.index() << ": " << reason;
        EXPECT_TRUE(*decoded == frame) << frame.index();
    }
}

/** Earlier versions ignore the row that states the coverage, and write none. */
TEST(FrameCodecTest, AReportStatesItsCoverageInARowThatEarlierVersionsIgnore) {
    Reason reason;
    for (const ReportCoverage coverage : {ReportCoverage::SOME_RUNS, ReportCoverage::ALL_RUNS}) {
        for (const std::size_t ends : {0U, 2U}) {
            RunReport report = makeReport();
            report.m_ended.resize(ends, {7, "t", 1, 0, ""});
            report.m_coverage = coverage;
            const auto decoded = decodeFrame(encodeFrame(report), reason);
            ASSERT_TRUE(decoded.has_value()) << reason;
            EXPECT_EQ(std::get<RunReport>(*decoded), report);
        }
    }
    RunReport unstated = makeReport();
    unstated.m_ended.resize(2, {7, "t", 1, 0, ""});
    unstated.m_coverage = ReportCoverage::UNSTATED;
    EXPECT_EQ(std::get<RunReport>(*decodeFrame(encodeFrame(unstated), reason)), unstated);
    unstated.m_ended.clear();
    const auto decoded = decodeFrame(encodeFrame(unstated), reason);
    EXPECT_EQ(std::get<RunReport>(*decoded).m_coverage, ReportCoverage::ALL_RUNS);
}

TEST(FrameCodecTest, EveryTruncationIsRefused) {
    for (const Frame& frame : getFrames()) {
        const std::string bytes = encodeFrame(frame);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            Reason reason;
            EXPECT_FALSE(decodeFrame(bytes.substr(0, length), reason).has_value());
            EXPECT_FALSE(reason.empty());
        }
    }
}

TEST(FrameCodecTest, EveryChangedByteIsRefusedOrAnotherFrame) {
    for (const Frame& frame : getFrames()) {
        const std::string bytes = encodeFrame(frame);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::string changed = bytes;
            changed[i] = static_cast<char>(changed[i] ^ 0x55);
            Reason reason;
            const auto decoded = decodeFrame(changed, reason);
            EXPECT_TRUE(!decoded.has_value() || encodeFrame(*decoded).size() <= changed.size() + 8);
        }
    }
}

struct MalformedInput {
    const char* m_name;
    std::string m_bytes;
};

class MalformedFrameTest : public ::testing::TestWithParam<MalformedInput> {};

TEST_P(MalformedFrameTest, IsRefusedWithAReason) {
    Reason reason;
    EXPECT_FALSE(decodeFrame(GetParam().m_bytes, reason).has_value());
    EXPECT_FALSE(reason.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Inputs, MalformedFrameTest,
        ::testing::Values(
                MalformedInput{"Empty", ""}, MalformedInput{"Text", "GET / HTTP/1.1\r\n\r\n"},
                MalformedInput{"DeepNesting", std::string(1'000'000, '\x81')},
                MalformedInput{"DeepMaps", std::string(1'000'000, '\xa1')},
                MalformedInput{"HugeString", "\x82\x00\x81\x7b\xff\xff\xff\xff\xff\xff\xff"},
                MalformedInput{"HugeArray", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"},
                MalformedInput{"UnknownType", std::string("\x82\x18\xc8\x80", 4)},
                MalformedInput{"WrongFields", std::string("\x82\x01\x81\x61x", 5)},
                MalformedInput{"TooManyFields", std::string("\x82\x01\x83\x01\xf4\x01", 6)},
                MalformedInput{"NegativeNumber", std::string("\x82\x01\x82\x20\xf4", 5)},
                MalformedInput{"TrailingBytes", std::string("\x82\x01\x82\x01\xf4\x00", 6)}),
        [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace pierbank
