// SPDX-License-Identifier: Apache-2.0
// What a plan tells of jobs without an active run.
#include "pierbank/job/IdleWait.h"

#include <gtest/gtest.h>

#include "BusyRegion.h"

namespace pierbank {
namespace {

/** A job of two accelerators that has waited for a second, in two racks of two hosts. */
class IdleWaitTest : public BusyRegion {
protected:
    void SetUp() override {
        addHosts(4, 2);
        m_now -= Millis(1000);
        m_job = &submit(1, 1, 2, Millis(8000));
        m_now += Millis(1000);
    }
    void occupy(std::size_t host, std::uint32_t accelerators) {
        TestJob& entry = submit(1, 1, accelerators, Millis(60'000));
        applyPlacement(entry.m_run, {entry.m_record.m_id, 0, 0, 0}, 1, m_workers[host].m_id, m_now);
    }
    void occupyAll(std::uint32_t accelerators) {
        for (std::size_t host = 0; host < m_workers.size(); ++host) {
            occupy(host, accelerators);
        }
    }
    StepSpec& getSpec() { return m_job->m_record.m_spec.m_steps[0]; }
    std::optional<IdleWait> findWait() const {
        for (const IdleWait& wait : plan().m_idleWaits) {
            if (wait.m_job == m_job->m_record.m_id) {
                return wait;
            }
        }
        return std::nullopt;
    }
    std::string_view getReason() const {
        const auto wait = findWait();
        return wait.has_value() ? toText(wait->m_reason) : "none";
    }

    TestJob* m_job = nullptr;
};

TEST_F(IdleWaitTest, IsAbsentForAJobThatStarts) {
    EXPECT_EQ(getReason(), "none");
}

TEST_F(IdleWaitTest, NamesMissingCapacity) {
    occupyAll(8);
    EXPECT_EQ(getReason(), "capacity");
}

TEST_F(IdleWaitTest, NamesCapacityThatIsOnTooManyHosts) {
    occupyAll(7);
    EXPECT_EQ(getReason(), "shape");
    EXPECT_EQ(findWait()->m_fitting, 0U);
    EXPECT_NEAR(findWait()->m_acceleratorUse, 0.875, 0.001);
}

TEST_F(IdleWaitTest, NamesTheRackOfItsData) {
    occupy(0, 8);
    occupy(1, 7);
    getSpec().m_dataRack = "r0";
    EXPECT_EQ(getReason(), "rack");
    EXPECT_EQ(findWait()->m_fitting, 2U) << "counted up to two units";
}

TEST_F(IdleWaitTest, NamesTheHeadroomForUrgentWork) {
    occupyAll(5);
    occupy(1, 3);
    occupy(2, 3);
    occupy(3, 3);
    m_settings.m_urgentHeadroom["s"] = ACCELERATORS;
    EXPECT_EQ(getReason(), "headroom");
}

TEST_F(IdleWaitTest, NamesAReservation) {
    occupyAll(3);
    occupyAll(2);
    TestJob& gang = submitGang(1, 4, ACCELERATORS, Millis(1000));
    gang.m_record.m_spec.m_steps[0].m_adjacency = Adjacency::REGION;
    getSpec().m_estimate = Millis(600'000);
    EXPECT_EQ(getReason(), "reserved");
}

TEST_F(IdleWaitTest, NamesHostsThatItAvoids) {
    occupyAll(5);
    for (WorkerSnapshot& worker : m_workers) {
        worker.m_isSuspect = true;
    }
    m_workers[3].m_isSuspect = false;
    occupy(3, 3);
    EXPECT_EQ(getReason(), "avoided-hosts");
}

TEST_F(IdleWaitTest, NamesMissingHosts) {
    getSpec().m_requiredLabel = "nowhere";
    EXPECT_EQ(getReason(), "hosts");
}

TEST_F(IdleWaitTest, NamesMissingAdvice) {
    m_job->m_record.m_policy.m_advice.emplace();
    EXPECT_EQ(getReason(), "advice");
}

TEST_F(IdleWaitTest, NamesLossesThatAreNotResolved) {
    for (const char* incarnation : {"a", "b", "c", "d", "e"}) {
        m_job->m_run.m_occurrences[0].m_steps[0].m_tasks[0].m_losses.record(
                {{"h0", incarnation}, 0, LossCategory::UNRESOLVED, Millis(10)});
    }
    EXPECT_EQ(getReason(), "losses");
}

TEST_F(IdleWaitTest, IsAbsentWhileARunOfTheJobIsActive) {
    occupyAll(8);
    applyPlacement(m_job->m_run, {m_job->m_record.m_id, 0, 0, 0}, 1, m_workers[0].m_id, m_now);
    EXPECT_EQ(getReason(), "none");
}

}  // namespace
}  // namespace pierbank
