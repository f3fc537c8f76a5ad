// SPDX-License-Identifier: Apache-2.0
#include "pierbank/sidecar/TaskGuard.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

bool isLive(MemberState state) {
    return state == MemberState::PREPARED || state == MemberState::RUNNING;
}

MemberState toMemberState(TaskState state) {
    switch (state) {
        case TaskState::RUNNING:
            return MemberState::RUNNING;
        case TaskState::ENDED:
            return MemberState::ENDED;
        case TaskState::FAILED:
            return MemberState::FAILED;
        case TaskState::STOPPED:
            break;
    }
    return MemberState::STOPPED;
}

template <typename Number>
bool parseNumber(std::string_view text, Number& number) {
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number);
    return end.ec == std::errc() && end.ptr == text.data() + text.size();
}

}  // namespace

TaskGuard::TaskGuard(EventLoop& loop, WorkerPort& worker, LeaseHolder& lease, ReportCallback report)
        : m_loop(loop), m_worker(worker), m_lease(lease), m_report(std::move(report)) {}

TaskGuard::~TaskGuard() {
    *m_isAlive = false;
}

std::string TaskGuard::getTaskName(const MemberKey& key) {
    return key.m_attempt.toText() + "/" + std::to_string(key.m_member);
}

std::optional<TaskGuard::MemberKey> TaskGuard::parseTaskName(std::string_view name) {
    const std::size_t second = name.rfind('/');
    if (second == std::string_view::npos || second == 0) {
        return std::nullopt;
    }
    const std::size_t first = name.rfind('/', second - 1);
    if (first == std::string_view::npos) {
        return std::nullopt;
    }
    MemberKey key;
    key.m_attempt.m_job = name.substr(0, first);
    const bool isGood =
            parseNumber(name.substr(first + 1, second - first - 1), key.m_attempt.m_attempt) &&
            parseNumber(name.substr(second + 1), key.m_member);
    return isGood ? std::optional(key) : std::nullopt;
}

void TaskGuard::recover(std::function<void()> done) {
    const auto onList = [this, alive = m_isAlive, done = std::move(done)](
                                const std::optional<std::vector<TaskStatus>>& tasks) {
        if (!*alive) {
            return;
        }
        if (!tasks.has_value()) {
            m_loop.callLater(POLL_INTERVAL, [this, alive, done] {
                if (*alive) {
                    recover(done);
                }
            });
            return;
        }
        for (const TaskStatus& task : *tasks) {
            const auto key = parseTaskName(task.m_name);
            if (key.has_value()) {
                Entry& entry = m_members[*key];
                entry.m_state = toMemberState(task.m_state);
                entry.m_accelerators = task.m_accelerators;
            }
        }
        logEvent(Severity::INFO, "tasks", "recovered",
                 {{"members", std::to_string(m_members.size())}});
        scheduleLeaseCheck();
        pollWorker();
        done();
    };
    m_worker.renewAndList(Millis(0), onList);
}

void TaskGuard::prepare(const GangPrepare& frame) {
    const MemberKey key{frame.m_attempt, frame.m_member};
    checkLease();
    if (!m_lease.admitEpoch(frame.m_epoch)) {
        refuse(key, "an old epoch");
    } else if (isBuried(key)) {
        m_report({key.m_attempt, key.m_member, MemberState::STOPPED, "was stopped before"});
    } else if (m_members.count(key) != 0) {
        const Entry& entry = m_members[key];
        m_report({key.m_attempt, key.m_member, entry.m_state, entry.m_reason});
    } else if (!m_lease.isValid(m_loop.now())) {
        refuse(key, "no valid lease");
    } else if (overlaps(frame.m_accelerators)) {
        refuse(key, "accelerators are in use");
    } else {
        Entry& entry = m_members[key];
        entry.m_accelerators = frame.m_accelerators;
        entry.m_runTime = Millis(static_cast<std::int64_t>(frame.m_runTimeMs));
        change(key, MemberState::PREPARED, "");
    }
}

void TaskGuard::start(const GangStart& frame) {
    const MemberKey key{frame.m_attempt, frame.m_member};
    checkLease();
    const auto found = m_members.find(key);
    if (!m_lease.admitEpoch(frame.m_epoch) || !m_lease.isValid(m_loop.now())) {
        refuse(key, "an old epoch or no valid lease");
        return;
    }
    if (found == m_members.end()) {
        m_report({key.m_attempt, key.m_member,
                  isBuried(key) ? MemberState::STOPPED : MemberState::ABSENT, "not prepared"});
        return;
    }
    Entry& entry = found->second;
    if (entry.m_state != MemberState::PREPARED || entry.m_isStarting) {
        m_report({key.m_attempt, key.m_member, entry.m_state, entry.m_reason});
        return;
    }
    entry.m_isStarting = true;
    const TaskSpec task{getTaskName(key), entry.m_accelerators, entry.m_runTime};
    const auto onStarted = [this, alive = m_isAlive, key](bool isDone, const std::string& reason) {
        if (!*alive || m_members.count(key) == 0) {
            return;
        }
        Entry& started = m_members[key];
        started.m_isStarting = false;
        if (started.m_isStopping || started.m_state != MemberState::PREPARED) {
            return;
        }
        if (isDone) {
            change(key, MemberState::RUNNING, reason);
            return;
        }
        // The answer may be lost and the task run: FAILED is said when it surely does not.
        started.m_reason = reason;
        started.m_stateAfterStop = MemberState::FAILED;
        stopTask(key, Millis(0));
    };
    m_worker.startTask(task, onStarted);
}

void TaskGuard::stop(const GangStop& frame) {
    const MemberKey key{frame.m_attempt, frame.m_member};
    checkLease();
    if (!m_lease.admitEpoch(frame.m_epoch)) {
        refuse(key, "an old epoch");
        return;
    }
    bury(key);
    const auto found = m_members.find(key);
    if (found == m_members.end()) {
        m_report({key.m_attempt, key.m_member, MemberState::STOPPED, "was not there"});
        return;
    }
    Entry& entry = found->second;
    const bool isAtWorker = entry.m_state == MemberState::RUNNING || entry.m_isStarting;
    if (isAtWorker) {
        stopTask(key, Millis(static_cast<std::int64_t>(frame.m_graceMs)));
    } else if (entry.m_state == MemberState::PREPARED) {
        change(key, MemberState::STOPPED, "stopped before its start");
    } else {
        m_report({key.m_attempt, key.m_member, entry.m_state, entry.m_reason});
    }
}

void TaskGuard::stopTask(const MemberKey& key, Millis grace) {
    Entry& entry = m_members[key];
    if (entry.m_isStopping) {
        return;
    }
    entry.m_isStopping = true;
    entry.m_mustStop = true;
    const auto onStopped = [this, alive = m_isAlive, key](bool isDone, const std::string& reason) {
        if (!*alive || m_members.count(key) == 0) {
            return;
        }
        Entry& stopped = m_members[key];
        stopped.m_isStopping = false;
        if (isDone && stopped.m_mustStop) {
            stopped.m_mustStop = false;
            change(key, stopped.m_stateAfterStop, reason);
        }
        // Otherwise the next poll tries again.
    };
    m_worker.stopTask(getTaskName(key), grace, onStopped);
}

void TaskGuard::checkLease() {
    // Before the first grant there are only tasks that an earlier sidecar started. The worker
    // stops them itself, when the time that the earlier one gave them is over.
    if (m_lease.isValid(m_loop.now()) || !m_lease.wasGranted()) {
        return;
    }
    std::vector<MemberKey> live;
    for (const auto& [key, entry] : m_members) {
        if (isLive(entry.m_state)) {
            live.push_back(key);
        }
    }
    for (const MemberKey& key : live) {
        bury(key);
        const Entry& entry = m_members[key];
        if (entry.m_state == MemberState::RUNNING || entry.m_isStarting) {
            stopTask(key, Millis(0));
        } else {
            change(key, MemberState::STOPPED, "the lease lapsed");
        }
    }
    if (!live.empty()) {
        logEvent(Severity::WARNING, "tasks", "lease-lapsed",
                 {{"members", std::to_string(live.size())}});
    }
}

void TaskGuard::scheduleLeaseCheck() {
    m_loop.callLater(LEASE_CHECK_INTERVAL, [this, alive = m_isAlive] {
        if (*alive) {
            checkLease();
            scheduleLeaseCheck();
        }
    });
}

void TaskGuard::pollWorker() {
    m_loop.callLater(POLL_INTERVAL, [this, alive = m_isAlive] {
        if (!*alive) {
            return;
        }
        const Millis remaining = m_lease.getRemaining(m_loop.now());
        m_worker.renewAndList(remaining, [this, alive](const auto& tasks) {
            if (!*alive) {
                return;
            }
            if (tasks.has_value()) {
                compare(*tasks);
            }
            pollWorker();
        });
    });
}

void TaskGuard::compare(const std::vector<TaskStatus>& tasks) {
    std::map<std::string, const TaskStatus*> byName;
    for (const TaskStatus& task : tasks) {
        byName[task.m_name] = &task;
    }
    std::vector<MemberKey> running;
    std::vector<MemberKey> toStop;
    for (const auto& [key, entry] : m_members) {
        if (entry.m_mustStop && !entry.m_isStopping) {
            toStop.push_back(key);
        } else if (entry.m_state == MemberState::RUNNING && !entry.m_isStopping) {
            running.push_back(key);
        }
    }
    for (const MemberKey& key : toStop) {
        stopTask(key, Millis(0));
    }
    for (const MemberKey& key : running) {
        const auto found = byName.find(getTaskName(key));
        if (found == byName.end()) {
            change(key, MemberState::STOPPED, "the worker does not know the task any more");
        } else {
            takeStatus(key, *found->second);
        }
    }
    forgetOld();
}

void TaskGuard::takeStatus(const MemberKey& key, const TaskStatus& task) {
    const MemberState state = toMemberState(task.m_state);
    if (state != MemberState::RUNNING) {
        change(key, state, "as the worker reports");
    }
}

void TaskGuard::change(const MemberKey& key, MemberState state, std::string_view reason) {
    Entry& entry = m_members[key];
    entry.m_state = state;
    entry.m_reason = reason;
    if (!isLive(state)) {
        m_overOrder.push_back(key);
    }
    m_report({key.m_attempt, key.m_member, state, entry.m_reason});
}

void TaskGuard::refuse(const MemberKey& key, std::string_view reason) {
    m_report({key.m_attempt, key.m_member, MemberState::REFUSED, std::string(reason)});
}

void TaskGuard::bury(const MemberKey& key) {
    if (!m_buried.insert(key).second) {
        return;
    }
    m_buriedOrder.push_back(key);
    if (m_buriedOrder.size() > MAX_REMEMBERED) {
        m_buried.erase(m_buriedOrder.front());
        m_buriedOrder.pop_front();
    }
}

bool TaskGuard::overlaps(const std::vector<std::uint32_t>& accelerators) const {
    for (const auto& [key, entry] : m_members) {
        const bool isHolding = isLive(entry.m_state) || entry.m_mustStop || entry.m_isStarting;
        const auto isTaken = [&entry = entry](std::uint32_t accelerator) {
            return std::find(entry.m_accelerators.begin(), entry.m_accelerators.end(),
                             accelerator) != entry.m_accelerators.end();
        };
        if (isHolding && std::any_of(accelerators.begin(), accelerators.end(), isTaken)) {
            return true;
        }
    }
    return false;
}

void TaskGuard::forgetOld() {
    while (m_overOrder.size() > MAX_REMEMBERED) {
        const auto found = m_members.find(m_overOrder.front());
        if (found != m_members.end() && !isLive(found->second.m_state)) {
            m_members.erase(found);
        }
        m_overOrder.pop_front();
    }
}

std::vector<MemberReport> TaskGuard::getReports() const {
    std::vector<MemberReport> reports;
    for (const auto& [key, entry] : m_members) {
        reports.push_back({key.m_attempt, key.m_member, entry.m_state, entry.m_reason});
    }
    return reports;
}

std::size_t TaskGuard::countLive() const {
    return static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(),
                          [](const auto& e) { return isLive(e.second.m_state); }));
}

}  // namespace pierbank
