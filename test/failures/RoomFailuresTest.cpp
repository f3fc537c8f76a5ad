// SPDX-License-Identifier: Apache-2.0
/*
 * Users announced it, a trial showed it: a worker's room shrinks and grows while it runs. Six tasks
 * of one accelerator were begun at once on a worker that had told of two. Its sidecar passed
 * heartbeats on only when the life or the draining had changed, so that the leader went on with the
 * room of before.
 */
#include <gtest/gtest.h>

#include "JobFleetTest.h"

namespace pierbank::testing {

namespace {

constexpr const char* SMALL = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"est_ms":1000})";
constexpr Resources SHRUNK{8000, 8000, 2};
constexpr Resources WHOLE{8000, 8000, 8};

/** One worker. */
class AWorkerWhoseRoomShrinks : public JobFleetTest {
protected:
    AWorkerWhoseRoomShrinks() : JobFleetTest(1) {}

    void tell(const Resources& room) {
        getSidecar(0).m_capacity = room;
        m_fleet.heartbeat(0);
        m_fleet.m_loop.advance(Millis(50));
    }

    void handIn(int jobs, const char* length, const char* queue = "/batch/") {
        for (int i = 0; i < jobs; ++i) {
            m_fleet.submit(idOf(m_jobs++), SMALL, length, queue);
        }
    }

    static std::string idOf(int number) { return "000000000000a0" + std::to_string(10 + number); }

    std::size_t countRunning() { return getSidecar(0).m_worker->countRunning(); }

    int m_jobs = 0;
};

}  // namespace

TEST_F(AWorkerWhoseRoomShrinks, StartsNoMoreThanItHasLeft) {
    tell(SHRUNK);
    handIn(6, "2000");
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(countRunning(), 2U);
}

TEST_F(AWorkerWhoseRoomShrinks, GoesOnWithWhatRunsAndStartsNothingBesideIt) {
    handIn(6, "3000");
    m_fleet.m_loop.advance(Millis(300));
    ASSERT_EQ(countRunning(), 6U);
    tell(SHRUNK);
    handIn(2, "3000");
    m_fleet.m_loop.advance(Millis(2000));
    EXPECT_EQ(countRunning(), 6U) << "work that fits into nothing is not thrown away for it";
    m_fleet.m_loop.advance(Millis(1500));
    EXPECT_EQ(countRunning(), 2U);
}

TEST_F(AWorkerWhoseRoomShrinks, IsUsedWholeAgainOnceItGrows) {
    tell(SHRUNK);
    handIn(8, "5000");
    m_fleet.m_loop.advance(Millis(300));
    tell(WHOLE);
    m_fleet.m_loop.advance(Millis(300));
    EXPECT_EQ(countRunning(), 8U);
}

/** The next leader hears of it with the link. */
TEST_F(AWorkerWhoseRoomShrinks, StaysSmallForTheNextLeader) {
    tell(SHRUNK);
    m_fleet.killGateway(getLeader());
    ASSERT_TRUE(m_fleet.waitForLeader());
    m_fleet.m_loop.advance(Millis(300));
    m_fleet.submit(idOf(m_jobs++), SMALL, "2000", "/batch/", getLeader());
    m_fleet.submit(idOf(m_jobs++), SMALL, "2000", "/batch/", getLeader());
    m_fleet.submit(idOf(m_jobs++), SMALL, "2000", "/batch/", getLeader());
    m_fleet.m_loop.advance(Millis(500));
    EXPECT_EQ(countRunning(), 2U);
}

/** Six run where two have room: four stops only make up for what is gone, so that five are needed.
 */
TEST_F(AWorkerWhoseRoomShrinks, MakesRoomForUrgentWorkByAsManyStopsAsItTakesAndNoMore) {
    handIn(6, "20000");
    m_fleet.m_loop.advance(Millis(300));
    tell(SHRUNK);
    const std::string urgent = idOf(m_jobs);
    handIn(1, "1000", "/urgent/");
    for (int i = 0; i < 100; ++i) {
        m_fleet.m_loop.advance(Millis(20));
        const bool isThere = m_fleet.m_witness.isRunning(taskOf(urgent));
        ASSERT_LE(countRunning(), isThere ? 2U : 6U) << "a start beyond the room";
    }
    EXPECT_TRUE(m_fleet.m_witness.isDone(taskOf(urgent)));
}

/** What an operator asks is judged by the room that the worker has when it is whole. */
TEST_F(AWorkerWhoseRoomShrinks, RefusesNoJobForGoodThatItCouldHoldWhenWhole) {
    tell(SHRUNK);
    m_fleet.submit(idOf(0), R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":4,"est_ms":1000})", "500");
    m_fleet.m_loop.advance(Millis(300));
    const StatementAnswer why = m_fleet.state(getLeader(), "why job " + idOf(0));
    EXPECT_EQ(why.m_message.find("can't run"), std::string::npos) << why.m_message;
    tell(WHOLE);
    EXPECT_TRUE(m_fleet.waitForState(idOf(0), "succeeded", Millis(3000)));
}

TEST_F(AWorkerWhoseRoomShrinks, IsShownToOperatorsWithWhatItHasLeft) {
    tell(SHRUNK);
    const StatementAnswer workers = m_fleet.state(getLeader(), "show workers");
    ASSERT_TRUE(workers.m_table.has_value());
    const auto& columns = workers.m_table->m_columns;
    const auto place = std::find(columns.begin(), columns.end(), "shrunk_by");
    ASSERT_NE(place, columns.end());
    EXPECT_EQ(workers.m_table->m_rows.at(0)
                      .at(static_cast<std::size_t>(place - columns.begin()))
                      .m_number,
              6.0);
}

/** Whatever shrinks, grows, ends, is stopped or handed in: no start goes beyond the room last told.
 */
TEST_F(AWorkerWhoseRoomShrinks, StartsNothingBeyondTheRoomLastToldWhateverHappens) {
    std::uint32_t random = 20261203;
    const auto pick = [&random](std::uint32_t below) {
        random = random * 1664525 + 1013904223;
        return (random >> 8) % below;
    };
    std::size_t running = 0;
    for (int step = 0; step < 400; ++step) {
        switch (pick(5)) {
            case 0:
                tell({8000, 8000, pick(9)});
                break;
            case 1:
                if (m_jobs < 80) {
                    handIn(1, pick(2) == 0 ? "400" : "1500", pick(3) == 0 ? "/urgent/" : "/batch/");
                }
                break;
            case 2:
                if (m_jobs > 0) {
                    m_fleet.ask(0, "DELETE", "/batch/" + idOf(static_cast<int>(pick(m_jobs))));
                }
                break;
            default:
                break;
        }
        for (int i = 0; i < 5; ++i) {
            const std::size_t before = countRunning();
            m_fleet.m_loop.advance(Millis(10));
            running = countRunning();
            ASSERT_TRUE(running <= before || running <= getSidecar(0).m_capacity.m_accelerators)
                    << "step " << step << ": " << before << " -> " << running << " of "
                    << getSidecar(0).m_capacity.m_accelerators;
        }
    }
}

/** A worker that guards its room, and whose heartbeat is late: 96 starts were refused in a second.
 */
TEST_F(AWorkerWhoseRoomShrinks, IsNotAskedWithoutEndWhenItRefusesWhatItHasNoRoomFor) {
    getSidecar(0).m_worker->m_refusal = "room";
    handIn(1, "1000");
    m_fleet.m_loop.advance(Millis(3000));
    EXPECT_LE(getSidecar(0).m_worker->m_refused, 8U);
    getSidecar(0).m_worker->m_refusal.clear();
    EXPECT_TRUE(m_fleet.waitForState(idOf(0), "succeeded", Millis(4000)));
}

}  // namespace pierbank::testing
