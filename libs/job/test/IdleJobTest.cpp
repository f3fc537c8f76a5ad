// SPDX-License-Identifier: Apache-2.0
// Jobs without an active run beside free capacity.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "BusyRegion.h"
#include "pierbank/job/ReservationPolicy.h"
#include "RegionSimulation.h"

namespace pierbank {
namespace {

/** The platform's contract: no job may be without a run for so long while there is capacity. */
constexpr Millis MAX_IDLE_TIME{3000};

/** Two racks of two hosts, hardly used. Runs that are there outlast every test. */
class IdleJobBesideFreeCapacity : public BusyRegion {
protected:
    static constexpr Millis RUN_TIME{8500};
    static constexpr Millis LONG{60'000};

    void SetUp() override {
        addHosts(4, 2);
        for (WorkerSnapshot& worker : m_workers) {
            worker.m_slowness = 1.0;
            worker.m_isProven = true;
        }
    }
    void addHostInRackOfItsOwn(const std::string& name) {
        WorkerSnapshot worker = m_workers.front();
        worker.m_id.m_host = name;
        worker.m_rack = "rack of " + name;
        m_workers.push_back(worker);
    }
    /** Occupies accelerators of a host until after the end of the test. */
    void occupy(std::size_t host, std::uint32_t accelerators) {
        TestJob& entry = submit(1, 1, accelerators, LONG);
        applyPlacement(entry.m_run, {entry.m_record.m_id, 0, 0, 0}, 1, m_workers[host].m_id, m_now);
    }
    void submitGangOverAllHosts() {
        TestJob& gang = submitGang(1, 4, ACCELERATORS, Millis(1000));
        gang.m_record.m_spec.m_steps[0].m_adjacency = Adjacency::REGION;
    }
    TestJob& submitJob(std::uint32_t tasks = 1, std::uint32_t accelerators = 2) {
        return submit(1, tasks, accelerators, RUN_TIME);
    }
    static StepSpec& getSpec(TestJob& entry) { return entry.m_record.m_spec.m_steps[0]; }
    static const StepSpec& getSpec(const TestJob& entry) {
        return entry.m_record.m_spec.m_steps[0];
    }
    static TaskRun& getTask(TestJob& entry) {
        return entry.m_run.m_occurrences[0].m_steps[0].m_tasks[0];
    }
    /** Fails a run of the job on a host; the job may fail once more. */
    void fail(TestJob& entry, std::size_t host) {
        const TaskKey key{entry.m_record.m_id, 0, 0, 0};
        const std::uint32_t run = getNextRunNumber(entry.m_record, entry.m_run, key);
        applyPlacement(entry.m_run, key, run, m_workers[host].m_id, m_now - RUN_TIME);
        applyEnd(entry.m_record, entry.m_run, key, run, RunEnd::FAILED, "", m_now);
    }
    bool isIdle(const std::string& id) const {
        return std::any_of(m_jobs.begin(), m_jobs.end(), [&](const TestJob& entry) {
            return entry.m_record.m_id == id && entry.m_run.isIdle();
        });
    }
    void expectStart(const std::string& id) {
        const Millis from = m_now;
        while (m_now - from < MAX_IDLE_TIME && isIdle(id)) {
            pass();
        }
        EXPECT_FALSE(isIdle(id)) << "no run within 3 s";
    }
};

TEST_F(IdleJobBesideFreeCapacity, StartsThoughTheRackOfItsDataIsFull) {
    occupy(0, 8);
    occupy(1, 8);
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r0";
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughTheRackOfItsDataDoesNotExist) {
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r9";
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughItsGangFitsOnlyOverSeveralRacks) {
    occupy(0, 4);
    occupy(2, 4);
    TestJob& gang = submitGang(1, 2, 8, RUN_TIME);
    gang.m_record.m_spec.m_steps[0].m_need = {20'000, 40'000, 5};
    gang.m_record.m_spec.m_steps[0].m_allowsRemote = true;
    addHostInRackOfItsOwn("h4");
    addHostInRackOfItsOwn("h5");
    expectStart(gang.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughHostsAreReservedForAStarvedGang) {
    for (std::size_t host = 0; host < m_workers.size(); ++host) {
        occupy(host, 1);
    }
    m_now -= LONG;
    submitGangOverAllHosts();
    m_now += LONG;
    TestJob& job = submit(1, 1, 2, 2 * LONG);
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughHostsAreReservedForALargeGang) {
    for (std::size_t host = 0; host < m_workers.size(); ++host) {
        occupy(host, 1);
    }
    submitGangOverAllHosts();
    TestJob& job = submit(2, 1, 2, 2 * LONG);
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughTheFreeHostIsKeptForUrgentWork) {
    occupy(1, 8);
    m_settings.m_urgentHeadroom["s"] = ACCELERATORS;
    TestJob& job = submitJob();
    m_workers[0].m_labels = {"wanted"};
    getSpec(job).m_requiredLabel = "wanted";
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughItFailedOnTheHostsThatAreFree) {
    occupy(1, 8);
    TestJob& job = submitJob();
    for (std::size_t host : {0U, 1U}) {
        m_workers[host].m_labels = {"wanted"};
    }
    getSpec(job).m_requiredLabel = "wanted";
    fail(job, 0);
    expectStart(job.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughTheFreeHostsAreSuspect) {
    occupy(2, 8);
    occupy(0, 1);
    occupy(1, 1);
    occupy(3, 1);
    for (std::size_t host : {0U, 1U, 3U}) {
        m_workers[host].m_isSuspect = true;
    }
    expectStart(submitJob().m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughTheFreeHostsAreTested) {
    occupy(2, 8);
    for (std::size_t host : {0U, 1U, 3U}) {
        occupy(host, 1);
        m_workers[host].m_isSuspect = true;
        m_workers[host].m_maxTasksPerJob = 1;
    }
    expectStart(submitJob(20).m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, StartsThoughSuspectTasksRunOnTheFreeHosts) {
    occupy(2, 8);
    for (std::size_t host : {0U, 1U, 3U}) {
        occupy(host, 1);
        getTask(m_jobs.back())
                .m_losses.record({m_workers[host].m_id, 0, LossCategory::SUSPECT, MAX_IDLE_TIME});
    }
    TestJob& gang = submitGang(1, 2, 2, RUN_TIME);
    gang.m_record.m_spec.m_steps[0].m_adjacency = Adjacency::REGION;
    expectStart(gang.m_record.m_id);
}

TEST_F(IdleJobBesideFreeCapacity, WaitsForTheRackOfItsDataWhenItsLastRunHasJustEnded) {
    occupy(0, 8);
    occupy(1, 8);
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r0";
    m_now += RUN_TIME;
    job.m_idleSince = m_now;
    pass();
    EXPECT_TRUE(isIdle(job.m_record.m_id)) << "its own rack takes a third of the time";
    expectStart(job.m_record.m_id);
}

// Work waited for twice its declared time for a rack that could not take it in any case.
TEST_F(IdleJobBesideFreeCapacity, StartsAtOnceIfTheRackOfItsDataDoesNotExist) {
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r9";
    pass();
    EXPECT_FALSE(isIdle(job.m_record.m_id));
}

TEST_F(IdleJobBesideFreeCapacity, StartsAtOnceIfTheRackOfItsDataIsEvacuated) {
    for (std::size_t host : {0U, 1U}) {
        m_workers[host].m_acceptsWork = false;
        m_workers[host].m_isEvacuated = true;
    }
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r0";
    pass();
    EXPECT_FALSE(isIdle(job.m_record.m_id));
}

TEST_F(IdleJobBesideFreeCapacity, StartsAtOnceIfNoRackCanHoldItsGang) {
    TestJob& gang = submitGang(1, 3, ACCELERATORS, RUN_TIME);
    getSpec(gang).m_allowsRemote = true;
    pass();
    EXPECT_FALSE(isIdle(gang.m_record.m_id));
}

TEST_F(IdleJobBesideFreeCapacity, WaitsForTheRackOfItsDataWhileItsHostsAreNotLinked) {
    for (std::size_t host : {0U, 1U}) {
        m_workers[host].m_acceptsWork = false;
    }
    TestJob& job = submitJob();
    getSpec(job).m_dataRack = "r0";
    pass();
    EXPECT_TRUE(isIdle(job.m_record.m_id));
}

/** Hosts, runs, jobs and everything that may keep a job off a host, drawn at random. */
class RandomRegion : public IdleJobBesideFreeCapacity {
protected:
    static bool isTrueFor(int percent) { return drawInt(1, 100) <= percent; }

    void draw() {
        m_workers.clear();
        m_jobs.clear();
        addHosts(static_cast<std::size_t>(drawInt(4, 12)), static_cast<std::size_t>(drawInt(1, 4)));
        for (std::size_t host = 0; host < m_workers.size(); ++host) {
            drawHost(host);
        }
        m_settings.m_urgentHeadroom["s"] = static_cast<std::uint32_t>(drawInt(0, 40));
        m_settings.m_maxHeadroomShare = 0.01 * drawInt(0, 100);
        const int jobs = drawInt(1, 12);
        for (int i = 0; i < jobs; ++i) {
            drawJob();
        }
    }

    /** Returns an idle job that the plan leaves waiting though its unit would fit twice. */
    std::optional<std::string> findForgottenJob() const {
        const TaskPlan made = plan();
        std::map<std::string, Resources> free;
        for (const WorkerSnapshot& worker : m_workers) {
            free[worker.m_id.m_host] = worker.m_capacity;
        }
        std::set<std::string> hasRun;
        for (const TestJob& entry : m_jobs) {
            for (const ActiveRun& run : listActiveRuns(entry.m_record.m_id, entry.m_run)) {
                free[run.m_worker.m_host] -= getSpec(entry).m_need;
                hasRun.insert(entry.m_record.m_id);
            }
        }
        for (const Placement& placement : made.m_placements) {
            free[placement.m_worker.m_host] -= getSpec(find(placement.m_task.m_job)).m_need;
            hasRun.insert(placement.m_task.m_job);
        }
        for (const TestJob& entry : m_jobs) {
            const std::uint32_t members = getSpec(entry).m_isGang ? getSpec(entry).m_tasks : 1;
            if (hasRun.count(entry.m_record.m_id) == 0 && countPlaces(entry, free) >= 2 * members) {
                return entry.m_record.m_id;
            }
        }
        return std::nullopt;
    }

private:
    void drawHost(std::size_t host) {
        WorkerSnapshot& worker = m_workers[host];
        worker.m_labels = {isTrueFor(50) ? "a" : "b"};
        worker.m_isSuspect = isTrueFor(30);
        worker.m_isProven = isTrueFor(50);
        worker.m_maxTasksPerJob = isTrueFor(30) ? 1 : 0;
        worker.m_acceptsWork = !isTrueFor(10);
        if (isTrueFor(50)) {
            occupy(host, static_cast<std::uint32_t>(drawInt(1, 4)));
        }
        if (!m_jobs.empty() && isTrueFor(10)) {
            TaskRun& task = getTask(m_jobs.back());
            task.m_losses.record({{"h0", "before"}, 0, LossCategory::SUSPECT, LONG});
        }
    }
    void drawJob() {
        const bool isGang = isTrueFor(40);
        TestJob& entry = submit(static_cast<std::uint32_t>(drawInt(1, 2)),
                                static_cast<std::uint32_t>(drawInt(1, 6)),
                                static_cast<std::uint32_t>(drawInt(1, 8)), RUN_TIME);
        entry.m_record.m_acceptedAt -= MAX_IDLE_TIME;
        StepSpec& spec = getSpec(entry);
        spec.m_isGang = isGang;
        spec.m_adjacency = isTrueFor(50) ? Adjacency::RACK : Adjacency::REGION;
        spec.m_allowsRemote = true;
        spec.m_dataRack = isTrueFor(40) ? "r" + std::to_string(drawInt(0, 4)) : "";
        spec.m_requiredLabel = isTrueFor(20) ? "a" : "";
        spec.m_maxPerWorker = isTrueFor(20) ? 1 : 0;
        entry.m_run = makeJobRun(entry.m_record);
        if (isTrueFor(30)) {
            getTask(entry).m_failures = 1;
            getTask(entry).m_failedHosts.add("h" + std::to_string(drawInt(0, 11)));
        }
    }
    const TestJob& find(const std::string& id) const {
        return *std::find_if(m_jobs.begin(), m_jobs.end(),
                             [&](const TestJob& entry) { return entry.m_record.m_id == id; });
    }
    std::uint32_t countPlaces(const TestJob& entry, std::map<std::string, Resources>& free) const {
        const StepSpec& spec = getSpec(entry);
        std::uint32_t places = 0;
        for (const WorkerSnapshot& worker : m_workers) {
            const bool isAllowed =
                    worker.m_acceptsWork && (spec.m_requiredLabel.empty() ||
                                             worker.m_labels.count(spec.m_requiredLabel) != 0);
            const std::uint32_t limit = spec.m_maxPerWorker > 0 ? spec.m_maxPerWorker : 100;
            places += isAllowed ? ReservationPolicy::countFitting(spec.m_need,
                                                                  free[worker.m_id.m_host], limit)
                                : 0;
        }
        return places;
    }
};

RC_GTEST_FIXTURE_PROP(RandomRegion, LeavesNoIdleJobWithoutARunBesideTwiceItsRoom, ()) {
    draw();
    const auto forgotten = findForgottenJob();
    RC_ASSERT(!forgotten.has_value());
}

}  // namespace
}  // namespace pierbank
