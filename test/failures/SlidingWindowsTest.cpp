// SPDX-License-Identifier: Apache-2.0
// A limit of stops per period holds for each window of that length, whenever the window starts.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "JobFleetTest.h"
#include "pierbank/base/Random.h"

namespace pierbank::testing {

namespace {

constexpr const char* ID = "00000000000000a1";
constexpr std::uint32_t TASKS = 6;
constexpr std::size_t MAX_UNAVAILABLE = 2;
/** How long a stopped task counts as unavailable: the default of the settings. */
constexpr Millis UNAVAILABLE_TIME{5000};

/** A step of six long-running tasks on three failure domains; two may be unavailable at a time. */
class TasksWithLimitedUnavailability : public JobFleetTest {
protected:
    TasksWithLimitedUnavailability() : JobFleetTest(12) {}

    void SetUp() override {
        JobFleetTest::SetUp();
        m_fleet.submit(ID,
                       R"({"count":6,"cpu":4000,"gpu":4,"est_ms":1000,"long_running":true,)"
                       R"("may_miss":2})",
                       "serve");
        m_fleet.m_loop.advance(Millis(7000));
        ASSERT_EQ(countMembers(ID, TASKS), TASKS);
    }

    /** Applies a random event that moves tasks or lets them return. */
    void applyRandomEvent(Random& random, int round) {
        const std::string domain = "d" + std::to_string(random.below(3));
        const std::string host = "127.0.1." + std::to_string(1 + random.below(12)) + "-7000";
        switch (random.below(6)) {
            case 0:
                m_fleet.m_storeState.put("op/evacuate/" + domain, "{}");
                break;
            case 1:
            case 2:
                m_fleet.m_storeState.erase("op/evacuate/" + domain);
                break;
            case 3:
                m_fleet.startStatement(getLeader(), "worker drain " + host);
                break;
            case 4:
                m_fleet.startStatement(getLeader(), "worker release " + host);
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

    /** Returns the times at which tasks of the step were stopped, ascending. */
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

TEST_F(TasksWithLimitedUnavailability, AreStoppedWithinTheirLimitInEachWindow) {
    Random random(20261203);
    constexpr int ROUNDS = 300;
    for (int round = 0; round < ROUNDS; ++round) {
        applyRandomEvent(random, round);
        m_fleet.m_loop.advance(Millis(static_cast<std::int64_t>(random.below(1500))));
    }
    const std::vector<Millis> stops = listStops();
    EXPECT_GT(stops.size(), 20U);
    for (std::size_t i = 0; i + MAX_UNAVAILABLE < stops.size(); ++i) {
        EXPECT_GE(stops[i + MAX_UNAVAILABLE] - stops[i], UNAVAILABLE_TIME) << stops[i].count();
    }
}

}  // namespace pierbank::testing
