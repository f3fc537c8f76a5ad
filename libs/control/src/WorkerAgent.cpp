// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WorkerAgent.h"

#include <algorithm>

#include "pierbank/base/Log.h"

namespace pierbank {

namespace {

/** Questions whose answer may still come. */
constexpr std::size_t MAX_ASKS = 32;
/** A lease that ends sooner than this starts nothing. */
constexpr Millis LEAST_LEASE{300};
/** What runs is reported at least so often, for its progress. */
constexpr Millis REPORT_INTERVAL{1000};

}  // namespace

WorkerAgent::WorkerAgent(EventLoop& loop, TaskWorker& worker, WorkerAgentSettings settings)
        : m_loop(loop), m_worker(worker), m_settings(settings) {
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

void WorkerAgent::handleLink(std::shared_ptr<Link> link) {
    const std::weak_ptr<Link> weak = link;
    link->setCallbacks(
            [this, weak, alive = std::weak_ptr(m_isAlive)](const Frame& frame) {
                if (!alive.expired()) {
                    handleFrame(weak, frame);
                }
            },
            [this, weak, alive = std::weak_ptr(m_isAlive)] {
                if (alive.expired()) {
                    return;
                }
                const auto closed = weak.lock();
                std::erase(m_newLinks, closed);
                if (closed != nullptr && closed == m_leader) {
                    m_leader.reset();
                    logEvent(Severity::WARNING, "agent", "leader-link-lost",
                             {{"epoch", std::to_string(m_epoch)}});
                }
            });
    m_newLinks.push_back(std::move(link));
}

void WorkerAgent::handleFrame(const std::weak_ptr<Link>& from, const Frame& frame) {
    const auto link = from.lock();
    if (link == nullptr) {
        return;
    }
    if (const auto* const hello = std::get_if<LeaderHello>(&frame)) {
        adopt(link, *hello);
        return;
    }
    if (link != m_leader) {
        return;
    }
    m_heardAt = m_loop.now();
    if (const auto* const renewal = std::get_if<LeaseRenewal>(&frame)) {
        handleRenewal(*renewal);
    } else if (const auto* const kept = std::get_if<EndsKept>(&frame)) {
        handleKept(*kept);
    } else if (const auto* const order = std::get_if<RunOrder>(&frame)) {
        handleStart(*order);
    } else if (const auto* const stop = std::get_if<RunStop>(&frame)) {
        handleStop(*stop);
    }
}

void WorkerAgent::adopt(const std::shared_ptr<Link>& link, const LeaderHello& hello) {
    std::erase(m_newLinks, link);
    if (hello.m_epoch < m_epoch) {
        logEvent(Severity::WARNING, "agent", "old-leader-refused",
                 {{"epoch", std::to_string(hello.m_epoch)},
                  {"highest", std::to_string(m_epoch)},
                  {"node", hello.m_node}});
        link->close();
        return;
    }
    if (m_leader != nullptr && m_leader != link) {
        m_leader->close();
    }
    m_leader = link;
    m_heardAt = m_loop.now();
    if (hello.m_epoch != m_epoch) {
        m_epoch = hello.m_epoch;
        m_term = std::make_shared<bool>(true);
        m_isHolding = false;
        m_orders.clear();
        m_asks.clear();
    }
    logEvent(Severity::INFO, "agent", "leader",
             {{"epoch", std::to_string(m_epoch)}, {"node", hello.m_node}});
    m_sentReport = RunReport();
    sendNotice();
    ask();
    // A new leader has to know what runs now, not what ran at the last look.
    m_mustReport = true;
    hold(Millis(0));
}

bool WorkerAgent::send(const Frame& frame) {
    return m_leader != nullptr && m_leader->send(frame);
}

void WorkerAgent::askSoon() {
    m_loop.callLater(
            m_settings.m_askInterval, guarded([this] {
                if (m_leader != nullptr && m_loop.now() - m_heardAt > m_settings.m_silence) {
                    m_leader->close();
                    m_leader.reset();
                    logEvent(Severity::WARNING, "agent", "leader-silent",
                             {{"epoch", std::to_string(m_epoch)}});
                }
                ask();
                askSoon();
            }));
}

void WorkerAgent::ask() {
    if (m_leader == nullptr) {
        return;
    }
    m_asks[++m_askNumber] = m_loop.now();
    if (m_asks.size() > MAX_ASKS) {
        m_asks.erase(m_asks.begin());
    }
    send(LeaseAsk{m_askNumber});
}

void WorkerAgent::handleRenewal(const LeaseRenewal& renewal) {
    const auto asked = m_asks.find(renewal.m_sequence);
    if (asked == m_asks.end()) {
        return;
    }
    const bool hadLease = hasLease();
    m_leaseUntil = std::max(m_leaseUntil, asked->second + Millis(renewal.m_timeToLiveMs));
    m_asks.erase(m_asks.begin(), std::next(asked));
    if (!hadLease) {
        hold(Millis(0));
        pump();
    }
}

bool WorkerAgent::hasLease() const {
    return m_leaseUntil - m_loop.now() > LEAST_LEASE && m_clock.has_value();
}

// The worker's life.

void WorkerAgent::handleBeat(const WorkerBeat& beat) {
    const bool isNew = beat.m_life != m_life;
    if (!isNew && m_beat.has_value() && beat.m_sequence <= m_beat->m_sequence) {
        return;
    }
    const bool isChanged =
            isNew || !m_beat.has_value() || m_beat->m_isDraining != beat.m_isDraining || m_isGone;
    m_beat = beat;
    if (isNew) {
        beginLife(beat.m_life);
    }
    if (isChanged) {
        logEvent(Severity::INFO, "agent", "worker",
                 {{"life", m_life},
                  {"draining", beat.m_isDraining ? "yes" : "no"},
                  {"remaining_ms", std::to_string(beat.m_remaining.count())}});
        sendNotice();
    }
}

void WorkerAgent::beginLife(const std::string& life) {
    m_life = life;
    m_isGone = false;
    m_term = std::make_shared<bool>(true);
    m_isHolding = false;
    m_clock.reset();
    m_lastKept = 0;
    m_running.clear();
    m_ended.clear();
    m_orders.clear();
    m_mustReport = true;
    // The old life's notice must not be taken for this one's: send the new one first.
    sendNotice();
    hold(Millis(0));
}

void WorkerAgent::handleLeave(const std::string& life) {
    if (life != m_life) {
        return;
    }
    logEvent(Severity::INFO, "agent", "worker-left", {{"life", life}});
    m_isGone = true;
    sendNotice();
}

void WorkerAgent::sendNotice() {
    WorkerNotice notice;
    notice.m_life = m_life;
    notice.m_isGone = m_isGone;
    if (m_beat.has_value()) {
        notice.m_service = m_beat->m_service;
        notice.m_failureDomain = m_beat->m_failureDomain;
        notice.m_rack = m_beat->m_rack;
        notice.m_labels = m_beat->m_labels;
        notice.m_cpuMillis = m_beat->m_capacity.m_cpuMillis;
        notice.m_memoryMb = m_beat->m_capacity.m_memoryMb;
        notice.m_accelerators = m_beat->m_capacity.m_accelerators;
        notice.m_isDraining = m_beat->m_isDraining;
        notice.m_remainingMs = static_cast<std::uint64_t>(m_beat->m_remaining.count());
    }
    send(notice);
}

// Holding the worker's lease, and seeing what runs.

/** The end of the lease on the worker's clock, at the earliest that the clock may show it. */
std::optional<Millis> WorkerAgent::getUntil() const {
    if (!m_clock.has_value() || m_leaseUntil <= m_clock->second) {
        return std::nullopt;
    }
    const auto length = static_cast<double>((m_leaseUntil - m_clock->second).count());
    const auto least = static_cast<std::int64_t>(length * (1.0 - m_settings.m_clockSlack));
    return m_clock->first + Millis(least);
}

void WorkerAgent::holdLater(Millis pause) {
    m_loop.cancel(m_holdTimer);
    m_holdTimer = m_loop.callLater(pause, guarded([this] {
                                       m_holdTimer = TimerId::NONE;
                                       if (!m_isHolding) {
                                           hold(m_settings.m_holdWait);
                                       }
                                   }));
}

/** A hold that waits is sent one at a time; one that doesn't may overtake it. */
void WorkerAgent::hold(Millis wait) {
    if (m_life.empty() || m_epoch == 0) {
        return;
    }
    const bool isWaiting = wait > Millis(0);
    m_isHolding = m_isHolding || isWaiting;
    HoldCall call;
    call.m_lastKept = m_lastKept;
    call.m_until = getUntil();
    call.m_wait = wait;
    const std::uint64_t number = ++m_holdNumber;
    m_worker.hold(getCall(), call,
                  [this, number, isWaiting, sentAt = m_loop.now(),
                   term = std::weak_ptr(m_term)](const HoldReply& reply) {
                      if (term.expired()) {
                          return;
                      }
                      if (isWaiting) {
                          m_isHolding = false;
                      }
                      handleHold(reply, number, sentAt);
                  });
}

void WorkerAgent::handleHold(const HoldReply& reply, std::uint64_t number, Millis) {
    if (reply.m_status != WorkerStatus::OK) {
        logEvent(
                Severity::WARNING, "agent", "hold-failed",
                {{"life", m_life}, {"reason", reply.m_reason}, {"epoch", std::to_string(m_epoch)}});
        holdLater(m_settings.m_pause);
        return;
    }
    const bool isFirst = !m_clock.has_value();
    m_clock = {reply.m_clock, m_loop.now()};
    // Answers on different connections overtake each other.
    if (number > m_holdSeen) {
        m_holdSeen = number;
        m_running = reply.m_running;
        m_ended = reply.m_ended;
        std::erase_if(m_ended, [this](const ListedEnd& end) { return end.m_number <= m_lastKept; });
        checkBarred(number);
        sendReport();
    }
    if (isFirst) {
        hold(Millis(0));
        pump();
    }
    // A hold would be answered at once while ends are listed: wait until they are kept.
    if (!m_isHolding) {
        holdLater(m_ended.empty() ? Millis(0) : m_settings.m_pause);
    }
}

void WorkerAgent::sendReport() {
    RunReport report;
    report.m_life = m_life;
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
    if (!isNews && !m_mustReport && m_loop.now() - m_reportedAt < REPORT_INTERVAL) {
        return;
    }
    if (send(report)) {
        m_sentReport = std::move(report);
        m_reportedAt = m_loop.now();
        m_mustReport = false;
    }
}

void WorkerAgent::handleKept(const EndsKept& kept) {
    if (kept.m_life != m_life || kept.m_number <= m_lastKept) {
        return;
    }
    m_lastKept = kept.m_number;
    std::erase_if(m_ended, [this](const ListedEnd& end) { return end.m_number <= m_lastKept; });
    m_loop.cancel(m_holdTimer);
    hold(m_isHolding ? Millis(0) : m_settings.m_holdWait);
}

// Starting and stopping runs.

void WorkerAgent::handleStart(const RunOrder& order) {
    const auto task = TaskKey::parse(order.m_task);
    if (!task.has_value() || order.m_epoch != m_epoch) {
        return;
    }
    const RunKey key(*task, order.m_run);
    if (order.m_life != m_life) {
        send(RunAbsent{order.m_life, order.m_task, order.m_run, "another life of the worker"});
        return;
    }
    const auto [place, isNew] = m_orders.try_emplace(key);
    if (!isNew) {
        return;
    }
    place->second.m_start = order;
    if (m_isGone || (m_beat.has_value() && m_beat->m_isDraining)) {
        bar(key, "the worker is draining");
        return;
    }
    pump();
}

void WorkerAgent::handleStop(const RunStop& stop) {
    const auto task = TaskKey::parse(stop.m_task);
    if (!task.has_value() || stop.m_epoch != m_epoch) {
        return;
    }
    if (stop.m_life != m_life) {
        send(RunAbsent{stop.m_life, stop.m_task, stop.m_run, "another life of the worker"});
        return;
    }
    const RunKey key(*task, stop.m_run);
    Order& order = m_orders[key];
    if (!order.m_isBarring) {
        bar(key, "stopped on the leader's word");
    }
}

void WorkerAgent::pump() {
    if (!hasLease()) {
        return;
    }
    std::vector<RunKey> ready;
    for (const auto& [key, order] : m_orders) {
        if (!order.m_isBarring && !order.m_isSent) {
            ready.push_back(key);
        }
    }
    for (const RunKey& key : ready) {
        startRun(key, m_orders[key]);
    }
}

void WorkerAgent::startRun(const RunKey& key, Order& order) {
    order.m_isSent = true;
    ++order.m_tries;
    StartCall start;
    start.m_task = key.first;
    start.m_run = key.second;
    start.m_payload = order.m_start.m_payload;
    start.m_checkpoint = order.m_start.m_checkpoint;
    start.m_until = getUntil().value_or(Millis(0));
    m_worker.start(getCall(), start,
                   [this, key, term = std::weak_ptr(m_term)](const RunReply& reply) {
                       if (!term.expired()) {
                           handleStarted(key, reply);
                       }
                   });
}

void WorkerAgent::handleStarted(const RunKey& key, const RunReply& reply) {
    const auto found = m_orders.find(key);
    if (found == m_orders.end() || found->second.m_isBarring) {
        return;
    }
    Order& order = found->second;
    logEvent(reply.m_status == WorkerStatus::OK ? Severity::INFO : Severity::WARNING, "agent",
             "start",
             {{"task", key.first.toText()},
              {"run", std::to_string(key.second)},
              {"life", m_life},
              {"try", std::to_string(order.m_tries)},
              {"status", std::to_string(static_cast<int>(reply.m_status))},
              {"reason", reply.m_reason}});
    if (reply.m_status == WorkerStatus::OK) {
        m_orders.erase(found);
        return;
    }
    const bool mayRetry = reply.m_status == WorkerStatus::UNKNOWN || reply.m_reason == "late";
    if (mayRetry && order.m_tries < m_settings.m_startTries) {
        order.m_isSent = false;
        pump();
        return;
    }
    bar(key, reply.m_reason.empty() ? "the worker did not answer" : reply.m_reason);
}

void WorkerAgent::bar(const RunKey& key, std::string_view reason) {
    Order& order = m_orders[key];
    order.m_isBarring = true;
    order.m_reason = reason;
    sendBar(key);
}

void WorkerAgent::sendBar(const RunKey& key) {
    m_worker.stop(getCall(), key.first, key.second,
                  [this, key, term = std::weak_ptr(m_term)](const RunReply& reply) {
                      if (!term.expired()) {
                          handleBarred(key, reply);
                      }
                  });
}

void WorkerAgent::handleBarred(const RunKey& key, const RunReply& reply) {
    const auto found = m_orders.find(key);
    if (found == m_orders.end()) {
        return;
    }
    if (reply.m_status != WorkerStatus::OK) {
        logEvent(Severity::WARNING, "agent", "stop-failed",
                 {{"task", key.first.toText()},
                  {"run", std::to_string(key.second)},
                  {"reason", reply.m_reason}});
        if (reply.m_status == WorkerStatus::REFUSED && reply.m_reason == "fence") {
            m_orders.erase(found);
            return;
        }
        m_loop.callLater(m_settings.m_pause, [this, key, term = std::weak_ptr(m_term)] {
            if (!term.expired() && m_orders.count(key) != 0) {
                sendBar(key);
            }
        });
        return;
    }
    hold(Millis(0));
    found->second.m_checkHold = m_holdNumber;
}

/** After a bar, a hold sent later shows whether the run was there at all. */
void WorkerAgent::checkBarred(std::uint64_t number) {
    std::vector<RunKey> done;
    for (const auto& [key, order] : m_orders) {
        const bool isChecked = order.m_checkHold != 0 && number >= order.m_checkHold;
        if (isChecked && !isListed(key)) {
            done.push_back(key);
        }
    }
    for (const RunKey& key : done) {
        const std::string reason = m_orders[key].m_reason;
        m_orders.erase(key);
        if (!isEnded(key)) {
            sendAbsent(key, reason);
        }
    }
}

bool WorkerAgent::isListed(const RunKey& key) const {
    return std::any_of(m_running.begin(), m_running.end(), [&](const ListedRun& run) {
        return run.m_task == key.first && run.m_run == key.second;
    });
}

bool WorkerAgent::isEnded(const RunKey& key) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ListedEnd& end) {
        return end.m_task == key.first && end.m_run == key.second;
    });
}

void WorkerAgent::sendAbsent(const RunKey& key, std::string_view reason) {
    logEvent(Severity::INFO, "agent", "run-absent",
             {{"task", key.first.toText()},
              {"run", std::to_string(key.second)},
              {"reason", std::string(reason)}});
    send(RunAbsent{m_life, key.first.toText(), key.second, std::string(reason)});
}

}  // namespace pierbank
