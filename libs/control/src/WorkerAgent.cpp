// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerAgent.h"

#include <algorithm>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Questions whose answer may still come. */
constexpr std::size_t MAX_ASKS = 32;
/** What runs is reported so often, for its progress, or as often as the lease is asked for. */
constexpr Millis REPORT_INTERVAL{1000};

}  // namespace

WorkerAgent::WorkerAgent(EventLoop& loop, TaskWorker& worker, WorkerAgentSettings settings)
        : m_loop(loop),
          m_worker(worker),
          m_settings(settings),
          m_leader(
                  loop, "agent",
                  [this](const LeaderHello& hello, bool isNewEpoch) {
                      handleLeader(hello, isNewEpoch);
                  },
                  [this](const Frame& frame) { handleFrame(frame); }),
          m_orders(loop, worker, *this, settings.m_orders),
          m_requestInterval(settings.m_requestInterval) {
    askSoon();
}

WorkerAgent::~WorkerAgent() = default;

std::function<void()> WorkerAgent::guarded(std::function<void()> task) {
    return [alive = std::weak_ptr(m_isAlive), task = std::move(task)] {
        if (!alive.expired()) {
            task();
        }
    };
}

// The leader's link.

void WorkerAgent::handleLeader(const LeaderHello& hello, bool isNewEpoch) {
    m_fence.handleLink(hello.m_epoch, hello.m_link);
    // The leader may have placed anew what it ordered over an earlier link, its own too: only what
    // it orders over this one counts. It sends again what it does not see running.
    m_orders.clear();
    m_asks.clear();
    if (isNewEpoch) {
        m_term = std::make_shared<bool>(true);
        m_isHolding = false;
        m_isVerifying = false;
    }
    m_sentReport = RunReport();
    sendNotice();
    ask();
    // A new leader has to know what runs now, not what ran at the last look.
    m_mustReport = true;
    hold(Millis(0));
    verifyClaim();
}

void WorkerAgent::handleFrame(const Frame& frame) {
    if (const auto* const renewal = std::get_if<LeaseRenewal>(&frame)) {
        handleRenewal(*renewal);
    } else if (const auto* const kept = std::get_if<EndsPersisted>(&frame)) {
        handleEndsPersisted(*kept);
    } else if (const auto* const order = std::get_if<RunOrder>(&frame)) {
        handleStart(*order);
    } else if (const auto* const stop = std::get_if<RunStop>(&frame)) {
        handleStop(*stop);
    }
}

void WorkerAgent::askSoon() {
    m_loop.callLater(
            m_requestInterval, guarded([this] {
                if (m_leader.getIdleTime() > m_requestInterval + m_settings.m_linkTimeout) {
                    m_leader.drop("silent");
                }
                ask();
                askSoon();
            }));
}

void WorkerAgent::ask() {
    if (!m_leader.isLinked()) {
        return;
    }
    m_asks[++m_askNumber] = m_loop.now();
    if (m_asks.size() > MAX_ASKS) {
        m_asks.erase(m_asks.begin());
    }
    m_leader.send(LeaseRequest{m_askNumber, isWorkerUnresponsive()});
}

bool WorkerAgent::isWorkerUnresponsive() const {
    const bool isLong = m_loop.now() - m_answeredAt > m_settings.m_workerTimeout;
    return !m_incarnation.isEmpty() && (m_isConnectionRefused || isLong);
}

void WorkerAgent::handleRenewal(const LeaseRenewal& renewal) {
    const auto asked = m_asks.find(renewal.m_sequence);
    if (asked == m_asks.end()) {
        return;
    }
    if (renewal.m_nextRequestMs != 0) {
        m_requestInterval = Millis(renewal.m_nextRequestMs);
    }
    const bool hadLease = hasLease();
    m_leaseUntil = std::max(m_leaseUntil, asked->second + Millis(renewal.m_timeToLiveMs));
    m_asks.erase(m_asks.begin(), std::next(asked));
    if (!hadLease) {
        hold(Millis(0));
        m_orders.pump();
    }
}

void WorkerAgent::handleEndsPersisted(const EndsPersisted& kept) {
    if (kept.m_incarnation != m_incarnationName || kept.m_number <= m_lastPersisted) {
        return;
    }
    m_lastPersisted = kept.m_number;
    m_mustAcknowledge = true;
    std::erase_if(m_ended,
                  [this](const ListedEnd& end) { return end.m_number <= m_lastPersisted; });
    m_loop.cancel(m_holdTimer);
    hold(Millis(0));
}

void WorkerAgent::handleStart(const RunOrder& order) {
    const auto task = TaskKey::parse(order.m_task);
    if (!task.has_value() || order.m_epoch != m_leader.getEpoch() || m_incarnation.isEmpty()) {
        // Without a life nothing is known of what runs: the leader sends it again with the report.
        return;
    }
    if (order.m_incarnation != m_incarnationName) {
        if (!isConfirmed()) {
            // Which of the two is over is not known; the leader sends it again.
            return;
        }
        m_leader.send(RunAbsent{order.m_incarnation, order.m_task, order.m_run,
                                "another life of the worker"});
        return;
    }
    m_pacer.learn({*task, order.m_run}, {Millis(order.m_latencyTargetMs), order.m_isFilling});
    if (isListed(*task, order.m_run)) {
        return;
    }
    if (m_hasExited || (m_heartbeat.has_value() && m_heartbeat->m_isDraining)) {
        m_orders.preventStart(*task, order.m_run, "the worker is draining");
        return;
    }
    m_orders.start(*task, order);
}

void WorkerAgent::handleStop(const RunStop& stop) {
    const auto task = TaskKey::parse(stop.m_task);
    if (!task.has_value() || stop.m_epoch != m_leader.getEpoch() || m_incarnation.isEmpty()) {
        return;
    }
    if (stop.m_incarnation != m_incarnationName) {
        if (!isConfirmed()) {
            return;
        }
        m_leader.send(RunAbsent{stop.m_incarnation, stop.m_task, stop.m_run,
                                "another life of the worker"});
        return;
    }
    m_orders.preventStart(*task, stop.m_run, "stopped on the leader's word");
}

/** A heartbeat may be a former life's that was delayed: the leader hears of a confirmed life only.
 */
void WorkerAgent::sendNotice() {
    if (!m_incarnation.isEmpty() && !isConfirmed()) {
        return;
    }
    WorkerNotice notice;
    notice.m_incarnation = m_incarnationName;
    notice.m_hasExited = m_hasExited;
    notice.m_crashes.assign(m_crashes.begin(), m_crashes.end());
    if (m_heartbeat.has_value()) {
        notice.m_service = m_heartbeat->m_service;
        notice.m_failureDomain = m_heartbeat->m_failureDomain;
        notice.m_rack = m_heartbeat->m_rack;
        notice.m_labels = m_heartbeat->m_labels;
        notice.m_cpuMillis = m_heartbeat->m_capacity.m_cpuMillis;
        notice.m_memoryMb = m_heartbeat->m_capacity.m_memoryMb;
        notice.m_accelerators = m_heartbeat->m_capacity.m_accelerators;
        notice.m_fullCpuMillis = m_fullCapacity.m_cpuMillis;
        notice.m_fullMemoryMb = m_fullCapacity.m_memoryMb;
        notice.m_fullAccelerators = m_fullCapacity.m_accelerators;
        notice.m_isDraining = m_heartbeat->m_isDraining;
        notice.m_remainingMs = static_cast<std::uint64_t>(m_heartbeat->m_remaining.count());
        notice.m_coldLeftMs = static_cast<std::uint64_t>(getColdLeft().count());
    }
    m_leader.send(notice);
}

void WorkerAgent::sendReport() {
    RunReport report;
    report.m_incarnation = m_incarnationName;
    for (const ListedRun& run : m_running) {
        report.m_running.push_back(
                {run.m_task.toText(), run.m_run, run.m_checkpoint, run.m_percent});
    }
    for (const ListedEnd& end : m_ended) {
        report.m_ended.push_back({end.m_number, end.m_task.toText(), end.m_run,
                                  static_cast<std::uint32_t>(end.m_end), end.m_checkpoint});
    }
    const bool isNews = report.m_ended != m_sentReport.m_ended ||
                        report.m_running.size() != m_sentReport.m_running.size();
    if (!isNews && !m_mustReport &&
        m_loop.now() - m_reportedAt < std::max(REPORT_INTERVAL, m_requestInterval)) {
        return;
    }
    if (m_leader.send(report)) {
        m_sentReport = std::move(report);
        m_reportedAt = m_loop.now();
        m_mustReport = false;
    }
}

// OrderContext.

std::optional<Millis> WorkerAgent::getStartLease() const {
    // After a call that failed the next process may be there, whose clock began anew: by a time of
    // the former one's, what it starts is leased for longer than anybody counts.
    return hasLease() && m_isAnswering ? getUntil() : std::nullopt;
}

bool WorkerAgent::isListed(const TaskKey& task, std::uint32_t run) const {
    return std::any_of(m_running.begin(), m_running.end(), [&](const ListedRun& listed) {
        return listed.m_task == task && listed.m_run == run;
    });
}

bool WorkerAgent::isEnded(const TaskKey& task, std::uint32_t run) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ListedEnd& end) {
        return end.m_task == task && end.m_run == run;
    });
}

std::uint64_t WorkerAgent::pollAgain() {
    hold(Millis(0));
    return m_holdNumber;
}

void WorkerAgent::recordSent(const TaskKey& task, std::uint32_t run) {
    m_account.recordSent({task, run}, m_loop.now());
}

void WorkerAgent::recordStarted(const TaskKey& task, std::uint32_t run) {
    m_account.recordStarted({task, run}, m_loop.now());
}

void WorkerAgent::recordRefused(const TaskKey& task, std::uint32_t run) {
    m_account.recordAbsent({task, run});
}

void WorkerAgent::reportAbsent(const TaskKey& task, std::uint32_t run, std::string_view reason) {
    m_account.recordAbsent({task, run});
    logEvent(Severity::INFO, "agent", "run-absent",
             {{"task", task.toText()},
              {"run", std::to_string(run)},
              {"reason", std::string(reason)}});
    m_leader.send(RunAbsent{m_incarnationName, task.toText(), run, std::string(reason)});
}

}  // namespace pierbank
