// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SIDECAR_TASKGUARD_H
#define PIERBANK_SIDECAR_TASKGUARD_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/platform/WorkerPort.h"
#include "pierbank/sidecar/LeaseHolder.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * The fence between the leader and a worker's tasks. It starts a gang member only when it was
 * prepared, the lease is valid, and the leader that asks has the highest epoch seen. It stops
 * everything by itself when the lease lapses. An attempt that was stopped is never started again.
 *
 * The worker's own tasks survive a restart of the sidecar: recover() finds them again.
 */
class TaskGuard {
public:
    using ReportCallback = std::function<void(const MemberReport&)>;

    /** The references must outlive the guard. `report` is told of each change. */
    TaskGuard(EventLoop& loop, WorkerPort& worker, LeaseHolder& lease, ReportCallback report);
    ~TaskGuard();
    TaskGuard(const TaskGuard&) = delete;
    TaskGuard& operator=(const TaskGuard&) = delete;

    /** Asks the worker for its tasks until it answers; `done` is then called once. */
    void recover(std::function<void()> done);

    void prepare(const GangPrepare& frame);
    void start(const GangStart& frame);
    void stop(const GangStop& frame);

    /** Every member that is known, with its state. */
    std::vector<MemberReport> getReports() const;

    /** Stops everything if the lease has lapsed. Called by a timer and before each frame. */
    void checkLease();

    /** Members that are prepared or run. */
    std::size_t countLive() const;

    /** How often the worker is asked for its tasks, and the lease is looked at. */
    static constexpr Millis POLL_INTERVAL{500};
    static constexpr Millis LEASE_CHECK_INTERVAL{100};

private:
    struct MemberKey {
        AttemptId m_attempt;
        std::uint32_t m_member = 0;
        auto operator<=>(const MemberKey&) const = default;
    };
    struct Entry {
        MemberState m_state = MemberState::ABSENT;
        std::vector<std::uint32_t> m_accelerators;
        Millis m_runTime{0};
        std::string m_reason;
        bool m_isStarting = false;
        bool m_isStopping = false;
        /** Has to be stopped at the worker; tried until the worker confirms. */
        bool m_mustStop = false;
        /** The state to report when it has stopped. */
        MemberState m_stateAfterStop = MemberState::STOPPED;
    };

    static std::string getTaskName(const MemberKey& key);
    static std::optional<MemberKey> parseTaskName(std::string_view name);

    void change(const MemberKey& key, MemberState state, std::string_view reason);
    void refuse(const MemberKey& key, std::string_view reason);
    void bury(const MemberKey& key);
    bool isBuried(const MemberKey& key) const { return m_buried.count(key) != 0; }
    bool overlaps(const std::vector<std::uint32_t>& accelerators) const;
    void stopTask(const MemberKey& key, Millis grace);
    void pollWorker();
    void compare(const std::vector<TaskStatus>& tasks);
    void takeStatus(const MemberKey& key, const TaskStatus& task);
    void scheduleLeaseCheck();
    void forgetOld();

    /** Ended members and stopped attempts that are remembered. */
    static constexpr std::size_t MAX_REMEMBERED = 1024;

    EventLoop& m_loop;
    WorkerPort& m_worker;
    LeaseHolder& m_lease;
    ReportCallback m_report;
    std::map<MemberKey, Entry> m_members;
    std::set<MemberKey> m_buried;
    std::deque<MemberKey> m_buriedOrder;
    std::deque<MemberKey> m_overOrder;
    bool m_isPolling = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SIDECAR_TASKGUARD_H
