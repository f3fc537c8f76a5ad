// SPDX-License-Identifier: Apache-2.0
// Budgets over a time hold for every span of that length, whenever it begins.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr std::uint32_t TASKS = 6;
constexpr std::size_t MAY_MISS = 2;
/** A task that was stopped counts as away for so long (the default of the settings). */
constexpr Millis SPAN{5000};

/** A step of six lasting tasks, two of which may be away, on three failure domains. */
class TasksThatMayBeMissed : public JobFleetTest {
protected:
    TasksThatMayBeMissed() : JobFleetTest(12) {}

    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.submit(ID,
                       R"({"count":6,"cpu":4000,"gpu":4,"est_ms":1000,"long_running":true,)"
                       R"("may_miss":2})",
                       "serve");
        m_fleet.m_loop.advance(Millis(7000));
        ASSERT_EQ(countMembers(ID, TASKS), TASKS);
    }

    /** Something that makes tasks move, or move back. */
    void disturb(Random& random, int round) {
        const std::string domain = "d" + std::to_string(random.below(3));
        const std::string host = "127.0.1." + std::to_string(1 + random.below(12)) + "-7000";
        switch (random.below(6)) {
            case 0:
                m_fleet.m_state.put("op/evacuate/" + domain, "{}");
                break;
            case 1:
            case 2:
                m_fleet.m_state.erase("op/evacuate/" + domain);
                break;
            case 3:
                m_fleet.begin(getLeader(), "worker drain " + host);
                break;
            case 4:
                m_fleet.begin(getLeader(), "worker release " + host);
                break;
            default:
                submitUrgent(round);
                break;
        }
        if (random.below(12) == 0) {
            const std::size_t leader = getLeader();
            m_fleet.killGateway(leader);
            ASSERT_TRUE(m_fleet.waitForLeader());
            m_fleet.startGateway(leader);
        }
    }

    void submitUrgent(int round) {
        IntakeRequest request;
        request.m_method = "POST";
        request.m_host = JobFleet::HOST;
        request.m_path = "/urgent/" + std::to_string(1'000'000'000'000'000 + round);
        request.m_key = JobFleet::KEY;
        request.m_body =
                R"({"spec":"1500","steps":[{"count":2,"cpu":8000,"gpu":8,"est_ms":1500}]})";
        m_fleet.m_gateways[getLeader()].m_core->getIntake().handle(request,
                                                                   [](const IntakeAnswer&) {});
    }

    /** When tasks of the step were stopped, ascending. */
    std::vector<Millis> listStops() {
        std::vector<Millis> stops;
        for (const auto& sidecar : m_fleet.m_sidecars) {
            for (const auto& row : nlohmann::json::parse(sidecar.m_worker->getJournalText())) {
                const bool isOwn = row[1].get<std::string>().rfind(ID, 0) == 0;
                if (isOwn && row[0] == "stopped") {
                    stops.emplace_back(row[3].get<std::int64_t>());
                }
            }
        }
        std::sort(stops.begin(), stops.end());
        return stops;
    }
};

}  // namespace

TEST_F(TasksThatMayBeMissed, AreNotStoppedMoreOftenThanTheyMayInAnySpan) {
    Random random(20261203);
    constexpr int ROUNDS = 300;
    for (int round = 0; round < ROUNDS; ++round) {
        disturb(random, round);
        m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(1500))));
    }
    const std::vector<Millis> stops = listStops();
    EXPECT_GT(stops.size(), 20U);
    for (std::size_t i = 0; i + MAY_MISS < stops.size(); ++i) {
        EXPECT_GE(stops[i + MAY_MISS] - stops[i], SPAN) << stops[i].count();
    }
}

}  // namespace pierbank::testing
