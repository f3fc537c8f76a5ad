// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerAgent.h"

#include <algorithm>

#include "pierbank/base/Log.h"
#include "pierbank/control/StartRefusals.h"

namespace pierbank {

namespace {

/** Maximum number of lease requests whose answers are awaited. */
constexpr std::size_t MAX_PENDING_LEASE_REQUESTS = 32;
/**
 * Interval of the reports on the progress of runs, unless the interval of the lease requests is
 * longer.
 */
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
    scheduleLeaseRequest();
}

WorkerAgent::~WorkerAgent() = default;

std::function<void()> WorkerAgent::guarded(std::function<void()> task) {
    return [alive = std::weak_ptr(m_isAlive), task = std::move(task)] {
        if (!alive.expired()) {
            task();
        }
    };
}

// Communication with the leader.

void WorkerAgent::handleLeader(const LeaderHello& hello, bool isNewEpoch) {
    m_fence.handleLink(hello.m_epoch, hello.m_link);
    // Runs that were ordered over an earlier link may have been placed elsewhere since, even if the
    // same leader opened that link. Only orders over the present link are valid. The leader repeats
    // orders for runs that the reports do not list.
    m_orders.clear();
    m_pendingLeaseRequests.clear();
    if (isNewEpoch) {
        m_term = std::make_shared<bool>(true);
        m_isLongPolling = false;
        m_isVerifying = false;
    }
    m_sentReport = RunReport();
    sendKeptRecord();
    sendNotice();
    requestLease();
    // A new leader needs the runs that are present now, not those of the last poll.
    m_mustReport = true;
    poll(Millis(0));
    verifyCandidate();
}

void WorkerAgent::handleFrame(const Frame& frame) {
    if (const auto* const renewal = std::get_if<LeaseRenewal>(&frame)) {
        handleRenewal(*renewal);
    } else if (const auto* const persisted = std::get_if<EndsPersisted>(&frame)) {
        handleEndsPersisted(*persisted);
    } else if (const auto* const order = std::get_if<RunOrder>(&frame)) {
        handleStart(*order);
    } else if (const auto* const stop = std::get_if<RunStop>(&frame)) {
        handleStop(*stop);
    } else if (const auto* const record = std::get_if<LearnedRecord>(&frame)) {
        m_recordKeeper.keep(*record, m_leader.getEpoch(), m_loop.now());
    }
}

void WorkerAgent::scheduleLeaseRequest() {
    m_loop.callLater(
            m_requestInterval, guarded([this] {
                if (m_leader.getIdleTime() > m_requestInterval + m_settings.m_linkTimeout) {
                    m_leader.drop("silent");
                }
                requestLease();
                scheduleLeaseRequest();
            }));
}

void WorkerAgent::requestLease() {
    if (!m_leader.isLinked()) {
        return;
    }
    m_pendingLeaseRequests[++m_leaseRequestNumber] = m_loop.now();
    if (m_pendingLeaseRequests.size() > MAX_PENDING_LEASE_REQUESTS) {
        m_pendingLeaseRequests.erase(m_pendingLeaseRequests.begin());
    }
    m_leader.send(LeaseRequest{m_leaseRequestNumber, isWorkerUnresponsive()});
}

/**
 * Returns whether a worker is known that has not answered a poll for m_workerTimeout, or that
 * refused the last connection.
 */
bool WorkerAgent::isWorkerUnresponsive() const {
    const bool isOverdue = m_loop.now() - m_answeredAt > m_settings.m_workerTimeout;
    return !m_incarnation.isEmpty() && (m_isConnectionRefused || isOverdue);
}

void WorkerAgent::handleRenewal(const LeaseRenewal& renewal) {
    const auto request = m_pendingLeaseRequests.find(renewal.m_sequence);
    if (request == m_pendingLeaseRequests.end()) {
        return;
    }
    if (renewal.m_nextRequestMs != 0) {
        m_requestInterval = Millis(renewal.m_nextRequestMs);
    }
    const bool hadLease = hasLease();
    m_leaseUntil = std::max(m_leaseUntil, request->second + Millis(renewal.m_timeToLiveMs));
    m_pendingLeaseRequests.erase(m_pendingLeaseRequests.begin(), std::next(request));
    if (!hadLease) {
        poll(Millis(0));
        m_orders.sendWaitingStarts();
    }
}

void WorkerAgent::handleEndsPersisted(const EndsPersisted& persisted) {
    if (persisted.m_incarnation != m_incarnationName || persisted.m_number <= m_lastPersisted) {
        return;
    }
    m_lastPersisted = persisted.m_number;
    m_mustAcknowledge = true;
    std::erase_if(m_ended,
                  [this](const ListedEnd& end) { return end.m_number <= m_lastPersisted; });
    m_loop.cancel(m_pollTimer);
    poll(Millis(0));
}

void WorkerAgent::handleStart(const RunOrder& order) {
    const auto task = TaskKey::parse(order.m_task);
    if (!task.has_value() || order.m_epoch != m_leader.getEpoch() || m_incarnation.isEmpty()) {
        // Without an incarnation, the running tasks are unknown. The leader repeats the order after
        // the first report.
        return;
    }
    if (order.m_incarnation != m_incarnationName) {
        if (!isConfirmed()) {
            // It is unknown which of the two incarnations has ended. The leader repeats the order.
            return;
        }
        m_leader.send(RunAbsent{order.m_incarnation, order.m_task, order.m_run,
                                std::string(absence::OTHER_INCARNATION)});
        return;
    }
    m_throttle.addRun({*task, order.m_run}, {Millis(order.m_latencyTargetMs), order.m_isFilling});
    if (isListed(*task, order.m_run)) {
        return;
    }
    if (m_hasExited || (m_heartbeat.has_value() && m_heartbeat->m_isDraining)) {
        m_orders.preventStart(*task, order.m_run, absence::DRAINING);
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
                                std::string(absence::OTHER_INCARNATION)});
        return;
    }
    m_orders.preventStart(*task, stop.m_run, absence::STOPPED);
}

/** Gives the kept record back. It precedes the reports, so that the leader restores it first. */
void WorkerAgent::sendKeptRecord() {
    const auto kept = m_recordKeeper.getKept(m_incarnationName, m_loop.now());
    if (kept.has_value()) {
        m_leader.send(*kept);
    }
}

/**
 * Sends the state of the worker to the leader. Nothing is sent for an unconfirmed incarnation,
 * because its heartbeat may be a delayed heartbeat of a previous incarnation.
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
        notice.m_warmUpRemainingMs = static_cast<std::uint64_t>(getRemainingColdTime().count());
    }
    m_leader.send(notice);
}

/**
 * Reports the runs to the leader if the number of running runs or the finished runs have changed,
 * if a report is due, or if m_mustReport is set.
 */
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
    report.m_coverage = m_areAllRunsListed ? ReportCoverage::ALL_RUNS : ReportCoverage::SOME_RUNS;
    const bool hasChanged = report.m_ended != m_sentReport.m_ended ||
                            report.m_coverage != m_sentReport.m_coverage ||
                            report.m_running.size() != m_sentReport.m_running.size();
    if (!hasChanged && !m_mustReport &&
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
    // After a failed call, the next process may be running, whose clock has restarted. A run that
    // is started with a time on the previous clock would have a longer lease than the leader
    // assumes.
    return hasLease() && m_isAnswering ? getWorkerLeaseEnd() : std::nullopt;
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
    poll(Millis(0));
    return m_pollNumber;
}

void WorkerAgent::recordSent(const TaskKey& task, std::uint32_t run) {
    m_incarnationRuns.recordSent({task, run}, m_loop.now());
}

void WorkerAgent::recordStarted(const TaskKey& task, std::uint32_t run) {
    m_incarnationRuns.recordStarted({task, run}, m_loop.now());
}

void WorkerAgent::recordRefused(const TaskKey& task, std::uint32_t run) {
    m_incarnationRuns.recordAbsent({task, run});
    // Possibly no process is listening any more. The poll in progress does not tell if it was lost.
    if (m_isAnswering) {
        poll(Millis(0));
    }
}

void WorkerAgent::reportAbsent(const TaskKey& task, std::uint32_t run, std::string_view reason) {
    m_incarnationRuns.recordAbsent({task, run});
    logEvent(Severity::INFO, "agent", "run-absent",
             {{"task", task.toText()},
              {"run", std::to_string(run)},
              {"reason", std::string(reason)}});
    m_leader.send(RunAbsent{m_incarnationName, task.toText(), run, std::string(reason)});
}

}  // namespace pierbank
