


namespace pierbank::testing {

namespace {

constexpr Millis CUT_TIMEOUT{1000};
constexpr Millis WATCH_STEP{10};

/** Bytes of the value, if it is that of the configuration. */
std::size_t countConfiguration(const StoreItem& item) {
    return item.m_key == CONFIGURATION_KEY ? item.m_value.size() : 0;
}

}  // namespace

Millis FakeStoreState::nextLatency() {
    constexpr std::uint64_t STRIDE = 37;
    const auto most = static_cast<std::uint64_t>(m_jitter.count()) + 1;
    return m_latency + Millis(static_cast<std::int64_t>(++m_calls * STRIDE % most));
}

const StoreItem* FakeStoreState::find(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

std::vector<StoreItem> FakeStoreState::list(std::string_view prefix) const {
    std::vector<StoreItem> items;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix)) {
            items.push_back(item);
        }
    }
    return items;
}

std::vector<StoreEvent> FakeStoreState::getChanges(std::string_view prefix,
                                                   StoreRevision after) const {
    std::vector<StoreEvent> events;
    for (const StoreEvent& event : m_history) {
        if (event.m_item.m_revision > after && event.m_item.m_key.starts_with(prefix)) {
            events.push_back(event);
        }
    }
    return events;
}

StoreRevision FakeStoreState::put(const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.m_puts = {{key, value, 0}};
    return apply(transaction).m_revision;
}

StoreCommit FakeStoreState::apply(const StoreTransaction& transaction) {
    dropLapsed();
    StoreCommit commit;
    commit.m_status = StoreStatus::OK;
    for (const StoreCondition& condition : transaction.m_conditions) {
        const StoreItem* const item = find(condition.m_key);
        const StoreRevision revision = item == nullptr ? 0 : item->m_revision;
        if (revision != condition.m_revision) {
            commit.m_status = StoreStatus::CONFLICT;
        }
        commit.m_items.push_back(item == nullptr ? StoreItem{condition.m_key, "", 0} : *item);
    }
    for (const StorePut& put : transaction.m_puts) {
        if (put.m_lease != 0 && m_leases.count(put.m_lease) == 0) {
            commit.m_status = StoreStatus::NOT_FOUND;
        }
    }
    if (commit.m_status != StoreStatus::OK) {
        return commit;
    }
    commit.m_items.clear();
    if (transaction.m_puts.empty() && transaction.m_removals.empty()) {
        commit.m_revision = m_revision;
        return commit;
    }
    commit.m_revision = ++m_revision;
    ++m_commits;
    for (const StorePut& put : transaction.m_puts) {
        write(put);
    }
    for (const std::string& key : transaction.m_removals) {
        remove(key);
    }
    return commit;
}

void FakeStoreState::write(const StorePut& put) {
    const StoreItem item{put.m_key, put.m_value, m_revision};
    m_items[put.m_key] = item;
    m_history.push_back({item, false});
    if (put.m_lease != 0) {
        m_leases[put.m_lease].m_keys.insert(put.m_key);
    }
}

void FakeStoreState::erase(const std::string& key) {
    ++m_revision;
    remove(key);
}

void FakeStoreState::remove(const std::string& key) {
    if (m_items.erase(key) != 0) {
        m_history.push_back({{key, "", m_revision}, true});
    }
}

StoreLease FakeStoreState::createLease(Millis timeToLive) {
    const StoreLease lease = m_nextLease++;
    m_leases[lease] = {timeToLive, m_loop.now() + timeToLive, {}};
    return lease;
}

bool FakeStoreState::renewLease(StoreLease lease) {
    dropLapsed();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.m_until = m_loop.now() + found->second.m_timeToLive;
    return true;
}

void FakeStoreState::endLease(StoreLease lease) {
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return;
    }
    ++m_revision;
    for (const std::string& key : found->second.m_keys) {
        remove(key);
    }
    m_leases.erase(found);
}

void FakeStoreState::dropLapsed() {
    std::vector<StoreLease> lapsed;
    for (const auto& [lease, entry] : m_leases) {
        if (m_loop.now() >= entry.m_until) {
            lapsed.push_back(lease);
        }
    }
    for (const StoreLease lease : lapsed) {
        endLease(lease);
    }
}

void FakeStoreState::lapseAll() {
    while (!m_leases.empty()) {
        endLease(m_leases.begin()->first);
    }
}

void FakeRecordStore::call(std::function<void(StoreStatus)> answer) {
    m_loop.callLater(m_state.nextLatency(), [this, answer = std::move(answer)] {
        m_state.dropLapsed();
        if (m_state.m_cutOff.count(m_process) != 0) {
            m_loop.callLater(CUT_TIMEOUT, [answer] { answer(StoreStatus::UNKNOWN); });
            return;
        }
        answer(m_state.m_isDown ? StoreStatus::REFUSED : StoreStatus::OK);
    });
}

void FakeRecordStore::read(std::string_view key, std::function<void(const StoreRead&)> done) {
    count();
    call([this, key = std::string(key), done = std::move(done)](StoreStatus status) {
        const StoreRead read = makeRead(key, status);
        carry(countConfiguration(read.m_item), [read, done] { done(read); });
    });
}

void FakeRecordStore::carry(std::size_t bytes, std::function<void()> answer) {
    if (bytes != 0) {
        ++m_state.m_values[m_process];
        m_state.m_bytesRead += bytes;
    }
    if (m_state.m_narrow.count(m_process) == 0) {
        answer();
        return;
    }
    Millis& busyUntil = m_state.m_busyUntil[m_process];
    busyUntil = std::max(busyUntil, m_loop.now());
    if (bytes != 0) {
        busyUntil += m_state.m_narrowLatency;
    }
    if (busyUntil <= m_loop.now()) {
        answer();
        return;
    }
    m_loop.callLater(busyUntil - m_loop.now(), std::move(answer));
}

void FakeRecordStore::readNewer(std::string_view key, StoreRevision revision,
                                std::function<void(const StoreRead&)> done) {
    count();
    call([this, key = std::string(key), revision, done = std::move(done)](StoreStatus status) {
        StoreRead read = makeRead(key, status);
        if (read.m_item.m_revision == revision) {
            read.m_item.m_value.clear();
        }
        carry(countConfiguration(read.m_item), [read, done] { done(read); });
    });
}

StoreRead FakeRecordStore::makeRead(const std::string& key, StoreStatus status) const {
    StoreRead read;
    read.m_status = status;
    if (status == StoreStatus::OK) {
        const StoreItem* const item = m_state.find(key);
        read.m_status = item == nullptr ? StoreStatus::NOT_FOUND : StoreStatus::OK;
        read.m_item = item == nullptr ? StoreItem() : *item;
        read.m_at = m_state.getRevision();
    }
    return read;
}

void FakeRecordStore::list(std::string_view prefix, std::function<void(const StoreList&)> done) {
    count();
    call([this, prefix = std::string(prefix), done = std::move(done)](StoreStatus status) {
        StoreList list;
        list.m_status = status;
        auto& lost = m_state.m_listsToLose;
        if (lost.m_count > 0 && prefix == lost.m_prefix) {
            --lost.m_count;
            list.m_status = StoreStatus::UNKNOWN;
            m_loop.callLater(CUT_TIMEOUT, [list, done] { done(list); });
            return;
        }
        if (status == StoreStatus::OK) {
            list.m_items = m_state.list(prefix);
            list.m_at = m_state.getRevision();
        }
        m_loop.callLater(m_state.m_listLatency, [list, done] { done(list); });
    });
}

void FakeRecordStore::watch(std::string_view prefix, StoreRevision after, Millis wait,
                            std::function<void(const StoreChanges&)> done) {
    count();
    watchOn(std::string(prefix), after, m_loop.now() + wait, std::move(done));
}

void FakeRecordStore::watchOn(std::string prefix, StoreRevision after, Millis until,
                              std::function<void(const StoreChanges&)> done) {
    call([this, prefix = std::move(prefix), after, until,
          done = std::move(done)](StoreStatus status) {
        StoreChanges changes;
        changes.m_status = status;
        changes.m_at = after;
        const bool isGone = after < m_state.m_historyFrom;
        if (status == StoreStatus::OK && isGone) {
            changes.m_status = StoreStatus::HISTORY_GONE;
        }
        if (changes.m_status != StoreStatus::OK) {
            done(changes);
            return;
        }
        if (!m_state.m_isDeaf) {
            changes.m_events = m_state.getChanges(prefix, after);
        }
        if (!changes.m_events.empty()) {
            changes.m_at = m_state.getRevision();
        }
        if (!changes.m_events.empty() || m_loop.now() >= until) {
            std::size_t bytes = 0;
            for (const StoreEvent& event : changes.m_events) {
                bytes += countConfiguration(event.m_item);
            }
            carry(bytes, [changes, done] { done(changes); });
            return;
        }
        m_loop.callLater(WATCH_STEP, [this, prefix, after, until, done] {
            watchOn(prefix, after, until, done);
        });
    });
}

void FakeRecordStore::commit(const StoreTransaction& transaction, Millis patience,
                             std::function<void(const StoreCommit&)> done) {
    count();
    call([this, transaction, patience, done = std::move(done)](StoreStatus status) {
        StoreCommit commit;
        commit.m_status = status;
        if (status != StoreStatus::OK) {
            done(commit);
            return;
        }
        const auto loseAnswer = [this, patience, done] {
            m_loop.callLater(patience, [done] { done(StoreCommit()); });
        };
        if (m_state.m_writesToDelay > 0) {
            --m_state.m_writesToDelay;
            m_loop.callLater(m_state.m_writeDelay,
                             [this, transaction] { m_state.apply(transaction); });
            loseAnswer();
            return;
        }
        commit = m_state.apply(transaction);
        if (m_state.m_answersToLose > 0) {
            --m_state.m_answersToLose;
            loseAnswer();
            return;
        }
        std::size_t bytes = 0;
        for (const StoreItem& item : commit.m_items) {
            bytes += countConfiguration(item);
        }
        carry(bytes, [commit, done] { done(commit); });
    });
}

void FakeRecordStore::createLease(Millis timeToLive,
                                  std::function<void(const StoreLeaseReply&)> done) {
    count();
    call([this, timeToLive, done = std::move(done)](StoreStatus status) {
        StoreLeaseReply reply;
        reply.m_status = status;
        reply.m_timeToLive = timeToLive;
        if (status == StoreStatus::OK) {
            reply.m_lease = m_state.createLease(timeToLive);
        }
        done(reply);
    });
}

void FakeRecordStore::renewLease(StoreLease lease,
                                 std::function<void(const StoreLeaseReply&)> done) {
    count();
    call([this, lease, done = std::move(done)](StoreStatus status) {
        StoreLeaseReply reply;
        reply.m_status = status;
        reply.m_lease = lease;
        if (status == StoreStatus::OK && !m_state.renewLease(lease)) {
            reply.m_status = StoreStatus::NOT_FOUND;
        }
        done(reply);
    });
}

void FakeRecordStore::endLease(StoreLease lease) {
    count();
    call([this, lease](StoreStatus status) {
        if (status == StoreStatus::OK) {
            m_state.endLease(lease);
        }
    });
}

}  // namespace pierbank::testing



namespace pierbank::testing {

namespace {

constexpr Millis LATENCY{1};
constexpr Millis STEP{10};
constexpr Millis LOST_ANSWER{700};
/** The longest lease a worker takes (users' bound). */
constexpr Millis MAX_HOLD{6000};

}  // namespace

FakeTaskWorker::FakeTaskWorker(EventLoop& loop, RunWitness& witness, std::string name)
        : m_loop(loop), m_witness(witness), m_name(std::move(name)) {
    restart();
    tick();
}

Millis FakeTaskWorker::getClock() const {
    return m_loop.now() - m_clockOffset;
}

/** Also as a log line, among those of the processes under test. */
void FakeTaskWorker::note(const char* what, const TaskKey& task, std::uint32_t run) {
    logEvent(Severity::INFO, "worker", what,
             {{"name", m_name},
              {"task", task.toText()},
              {"run", std::to_string(run)},
              {"fence", std::to_string(m_fence)},
              {"at_ms", std::to_string(m_loop.now().count())}});
    m_journal.append(m_journal.empty() ? "" : ",");
    m_journal.append("[\"").append(what).append("\",\"").append(task.toText());
    m_journal.append("\",").append(std::to_string(run)).append(",");
    m_journal.append(std::to_string(m_loop.now().count())).append("]");
}

/** A call that was left without an answer is carried out. */
void FakeTaskWorker::noteLate(const char* call, const TaskKey& task, std::uint32_t run,
                              const RunReply& reply) const {
    logEvent(Severity::INFO, "worker", "late-call",
             {{"name", m_name},
              {"call", call},
              {"task", task.toText()},
              {"run", std::to_string(run)},
              {"done", reply.m_status == WorkerStatus::OK ? "yes" : "no"},
              {"reason", reply.m_reason},
              {"at_ms", std::to_string(m_loop.now().count())}});
}

void FakeTaskWorker::restart() {
    restart(m_restartForm);
}

void FakeTaskWorker::restart(RestartForm form) {
    for (const auto& [task, run] : m_runs) {
        note("lost", task, run.m_number);
        m_witness.noteStop(task, m_name);
    }
    m_runs.clear();
    m_barred.clear();
    m_ended.clear();
    m_fence = 0;
    m_nextEnd = 1;
    m_lastPersisted = 0;
    m_lapsedThrough = 0;
    m_endEvents.clear();
    m_clockOffset = m_loop.now() - Millis(1000);
    m_until = Millis(0);
    m_beats = 0;
    ++m_incarnations;
    logEvent(Severity::INFO, "worker", "restarted",
             {{"name", m_name}, {"at_ms", std::to_string(m_loop.now().count())}});
    // Two starts within one millisecond are two starts.
    const auto wallNow = static_cast<std::uint64_t>((m_loop.wallNow() + m_wallClockError).count());
    m_processStartedAt = wallNow == m_processStartedAt ? wallNow + 1 : wallNow;
    if (form == RestartForm::NEW_ID || m_id.empty()) {
        m_id = m_name + "-" + std::to_string(m_incarnations);
    }
}

void FakeTaskWorker::crash() {
    restart();
    m_isDown = true;
    m_loop.callLater(m_awayAfterCrash, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            m_isDown = false;
        }
    });
}

void FakeTaskWorker::suspend() {
    m_suspendedAt = m_loop.now();
    for (const auto& [task, run] : m_runs) {
        m_witness.noteStop(task, m_name);
    }
}

void FakeTaskWorker::wake() {
    const Millis time = m_loop.now() - *m_suspendedAt;
    m_suspendedAt.reset();
    m_clockOffset += time;
    for (auto& [task, run] : m_runs) {
        run.m_startedAt += time;
        run.m_endsAt += time;
    }
}

RunReply FakeTaskWorker::checkCall(const WorkerCall& call) {
    if (m_suspendedAt.has_value()) {
        return {WorkerStatus::UNKNOWN, "suspended"};
    }
    if (m_isDown) {
        return {WorkerStatus::REFUSED, "connection refused"};
    }
    if (m_isSilent) {
        return {WorkerStatus::UNKNOWN, "silent"};
    }
    if (call.m_id != m_id) {
        return {WorkerStatus::OTHER_INCARNATION, "life"};
    }
    if (call.m_fence < m_fence) {
        return {WorkerStatus::REFUSED, "fence"};
    }
    m_fence = call.m_fence;
    return {WorkerStatus::OK, ""};
}

/** `x10` or `x10/2/3000`. */
FakeTaskWorker::Run FakeTaskWorker::makeRun(const StartCall& start) const {
    Run run;
    run.m_number = start.m_run;
    run.m_fails = start.m_payload.starts_with("!") || m_failsAll;
    run.m_isServing = start.m_payload == "serve";
    run.m_isFilling = start.m_payload == "fill";
    const bool lasts = run.m_isServing || run.m_isFilling;
    if (start.m_payload.starts_with("x")) {
        int after = 0;
        int index = 0;
        int others = 0;
        const int fields =
                std::sscanf(start.m_payload.c_str(), "x%d/%d/%d", &after, &index, &others);
        constexpr int WITH_OTHERS = 3;
        run.m_crashes =
                fields < WITH_OTHERS || start.m_task.m_index == static_cast<unsigned>(index);
        run.m_startedAt = m_loop.now();
        run.m_endsAt = m_loop.now() + Millis(run.m_crashes ? after : others);
        return run;
    }
    constexpr Millis FOR_EVER{100'000'000};
    const bool isMarked = start.m_payload.starts_with("!");
    constexpr Millis FAILS_AFTER{200};
    const Millis length = m_failsAll
                                  ? FAILS_AFTER
                                  : Millis(std::atoi(start.m_payload.c_str() + (isMarked ? 1 : 0)));
    run.m_startedAt = m_loop.now();
    run.m_endsAt = m_loop.now() + (lasts ? FOR_EVER : length * m_slowness);
    if (!start.m_checkpoint.empty()) {
        // What was done before, in milliseconds.
        run.m_endsAt -= Millis(std::atoi(start.m_checkpoint.c_str()));
    }
    return run;
}

RunReply FakeTaskWorker::begin(const WorkerCall& call, const StartCall& start) {
    const RunReply checked = checkCall(call);
    if (checked.m_status != WorkerStatus::OK) {
        return checked;
    }
    if (!m_refusal.empty()) {
        ++m_refused;
        return {WorkerStatus::REFUSED, m_refusal};
    }
    if (start.m_until <= getClock()) {
        return {WorkerStatus::REFUSED, "late"};
    }
    extend(start.m_until);
    const auto running = m_runs.find(start.m_task);
    if (running != m_runs.end() && running->second.m_number == start.m_run) {
        return {WorkerStatus::OK, ""};
    }
    if (m_barred.count(start.m_task) != 0 && start.m_run <= m_barred[start.m_task]) {
        return {WorkerStatus::REFUSED, "old"};
    }
    if (m_wantsTickets && start.m_ticket != "ticket-" + m_id) {
        return {WorkerStatus::REFUSED, "ticket"};
    }
    m_runs[start.m_task] = makeRun(start);
    m_witness.noteStart(start.m_task, start.m_run, m_name);
    note("start", start.m_task, start.m_run);
    return {WorkerStatus::OK, ""};
}

void FakeTaskWorker::start(const WorkerCall& call, const StartCall& start,
                           std::function<void(const RunReply&)> done) {
    m_loop.callLater(LATENCY, [this, call, start, done = std::move(done),
                               alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired()) {
            return;
        }
        if (m_startsToDelay > 0) {
            --m_startsToDelay;
            m_loop.callLater(m_startDelay, [this, call, start, alive] {
                if (!alive.expired()) {
                    const RunReply reply = begin(call, start);
                    noteLate("start", start.m_task, start.m_run, reply);
                }
            });
            m_loop.callLater(LOST_ANSWER, [done] { done({WorkerStatus::UNKNOWN, "lost"}); });
            return;
        }
        done(begin(call, start));
    });
}

void FakeTaskWorker::stop(const WorkerCall& call, const TaskKey& task, std::uint32_t run,
                          std::function<void(const RunReply&)> done) {
    const auto carryOut = [this, call, task, run] {
        const RunReply checked = checkCall(call);
        if (checked.m_status == WorkerStatus::OK) {
            m_barred[task] = std::max(m_barred[task], run);
            const auto found = m_runs.find(task);
            if (found != m_runs.end() && found->second.m_number == run) {
                end(task, RunEnd::STOPPED);
            }
        }
        return checked;
    };
    m_loop.callLater(LATENCY, [this, task, run, carryOut, done = std::move(done),
                               alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired()) {
            return;
        }
        if (m_stopsToDelay > 0) {
            --m_stopsToDelay;
            m_loop.callLater(m_startDelay, [this, task, run, carryOut, alive] {
                if (!alive.expired()) {
                    noteLate("stop", task, run, carryOut());
                }
            });
            m_loop.callLater(LOST_ANSWER, [done] { done({WorkerStatus::UNKNOWN, "lost"}); });
            return;
        }
        done(carryOut());
    });
}

void FakeTaskWorker::extend(Millis until) {
    m_until = std::max(m_until, std::min(until, getClock() + MAX_HOLD));
}

HoldReply FakeTaskWorker::look() {
    HoldReply reply;
    reply.m_status = WorkerStatus::OK;
    reply.m_processStartedAt = m_processStartedAt;
    reply.m_clock = getClock();
    for (const auto& [task, run] : m_runs) {
        const auto passed = (m_loop.now() - run.m_startedAt).count();
        const auto length = std::max<std::int64_t>(1, (run.m_endsAt - run.m_startedAt).count());
        const bool lasts = run.m_isServing || run.m_isFilling;
        const auto percent = m_isHanging ? m_hangsAtPercent
                             : lasts     ? 100
                                         : std::min<std::int64_t>(100, 100 * passed / length);
        reply.m_running.push_back({task, run.m_number, "", static_cast<std::uint32_t>(percent),
                                   run.m_isServing ? getTail() : 0U});
    }
    reply.m_ended = m_ended;
    return reply;
}

void FakeTaskWorker::hold(const WorkerCall& call, const HoldCall& hold,
                          std::function<void(const HoldReply&)> done) {
    m_loop.callLater(LATENCY, [this, call, hold, done = std::move(done)] {
        if (m_holdsToDelay > 0) {
            --m_holdsToDelay;
            m_loop.callLater(m_startDelay, [this, call, hold, alive = std::weak_ptr(m_isAlive)] {
                if (!alive.expired() && checkCall(call).m_status == WorkerStatus::OK) {
                    takeHold(hold);
                }
            });
            m_loop.callLater(LOST_ANSWER, [done] {
                HoldReply lost;
                lost.m_reason = "lost";
                done(lost);
            });
            return;
        }
        const RunReply checked = checkCall(call);
        if (checked.m_status != WorkerStatus::OK) {
            HoldReply reply;
            reply.m_status = checked.m_status;
            reply.m_reason = checked.m_reason;
            reply.m_isConnectionRefused = m_isDown;
            done(reply);
            return;
        }
        takeHold(hold);
        constexpr Millis LONGEST{100};
        const Millis wait = m_ended.empty() ? hold.m_wait : Millis(0);
        waitHeld(m_loop.now() + std::min(wait, LONGEST), m_incarnations, done);
    });
}

/** Ends up to there are forgotten at that moment; later ones are listed whatever their number. */
void FakeTaskWorker::takeHold(const HoldCall& hold) {
    m_lastPersisted = std::max(m_lastPersisted, hold.m_lastPersisted);
    forgetEnds(hold.m_lastPersisted);
    if (hold.m_until.has_value()) {
        extend(*hold.m_until);
    }
}

/** A process that goes breaks its connections at once. */
void FakeTaskWorker::waitHeld(Millis until, unsigned incarnations,
                              std::function<void(const HoldReply&)> done) {
    if (incarnations != m_incarnations || m_suspendedAt.has_value()) {
        HoldReply broken;
        broken.m_reason = "connection terminated";
        done(broken);
    } else if (m_loop.now() >= until) {
        done(look());
    } else {
        m_loop.callLater(std::min(STEP, until - m_loop.now()),
                         [this, until, incarnations, done, alive = std::weak_ptr(m_isAlive)] {
                             if (!alive.expired()) {
                                 waitHeld(until, incarnations, done);
                             }
                         });
    }
}

std::uint32_t FakeTaskWorker::getTail() const {
    constexpr std::uint32_t ALONE = 10;
    constexpr std::uint32_t WHOLE = 100;
    std::uint32_t tail = ALONE;
    for (const auto& [task, run] : m_runs) {
        tail += run.m_isFilling ? m_disturbance * run.m_percent / WHOLE : 0;
    }
    return tail;
}

std::optional<std::uint32_t> FakeTaskWorker::getPace(const TaskKey& task) const {
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? std::nullopt : std::optional(found->second.m_percent);
}

void FakeTaskWorker::pace(const WorkerCall& call, const ThrottleCall& pace,
                          std::function<void(const RunReply&)> done) {
    m_loop.callLater(LATENCY, [this, call, pace, done = std::move(done)] {
        const RunReply checked = checkCall(call);
        const auto found = m_runs.find(pace.m_task);
        if (checked.m_status == WorkerStatus::OK && found != m_runs.end()) {
            found->second.m_percent = pace.m_percent;
        }
        done(checked);
    });
}

void FakeTaskWorker::forgetEnds(std::uint64_t last) {
    for (const ListedEnd& end : m_ended) {
        // What was listed when a lease was over counts for nothing any more (users' rule).
        if (end.m_number > last || end.m_number <= m_lapsedThrough) {
            continue;
        }
        if (end.m_end == RunEnd::DONE) {
            m_witness.noteKept(end.m_task);
        }
        m_witness.noteCounted(end.m_task, end.m_end, m_endEvents[end.m_number]);
    }
    std::erase_if(m_ended, [last](const ListedEnd& e) { return e.m_number <= last; });
}

void FakeTaskWorker::end(const TaskKey& task, RunEnd how) {
    const Run run = m_runs[task];
    m_runs.erase(task);
    m_barred[task] = std::max(m_barred[task], run.m_number);
    // A stop saves what was done.
    const std::string saved =
            how == RunEnd::STOPPED ? std::to_string((m_loop.now() - run.m_startedAt).count()) : "";
    m_endEvents[m_nextEnd] = m_witness.recordRunEnd();
    m_ended.push_back({m_nextEnd++, task, run.m_number, how, saved});
    m_witness.noteStop(task, m_name);
    note(toText(how).data(), task, run.m_number);
    if (how == RunEnd::DONE) {
        m_witness.noteDone(task);
    }
}

void FakeTaskWorker::tick() {
    if (getClock() >= m_until) {
        m_lapsedThrough = m_nextEnd - 1;
    }
    std::vector<std::pair<TaskKey, RunEnd>> ends;
    for (const auto& [task, run] : m_runs) {
        if (m_suspendedAt.has_value()) {
            break;
        }
        if (getClock() >= m_until) {
            ends.emplace_back(task, RunEnd::LAPSED);
        } else if (m_loop.now() >= run.m_endsAt && !m_isHanging) {
            ends.emplace_back(task, run.m_fails ? RunEnd::FAILED : RunEnd::DONE);
        }
    }
    for (const auto& [task, how] : ends) {
        if (how == RunEnd::DONE && m_runs[task].m_crashes) {
            crash();
            break;
        }
        end(task, how);
    }
    m_loop.callLater(STEP, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            tick();
        }
    });
}

}  // namespace pierbank::testing



namespace pierbank::testing {

namespace {

constexpr Millis LATENCY{1};
constexpr Millis CONNECT_TIMEOUT{2000};

}  // namespace

/** One end of a link. The other end is held weakly: dropping an end closes both. */
class FakeLink final : public Link, public std::enable_shared_from_this<FakeLink> {
public:
    FakeLink(FakeNetwork& network, EventLoop& loop, std::string own, std::string peer)
            : m_network(network), m_loop(loop), m_own(std::move(own)), m_peer(std::move(peer)) {}

    ~FakeLink() override { close(); }

    void setCallbacks(FrameCallback onFrame, CloseCallback onClose) override {
        m_onFrame = std::move(onFrame);
        m_onClose = std::move(onClose);
    }

    bool send(const Frame& frame) override {
        const auto other = m_other.lock();
        if (m_isClosed || other == nullptr) {
            return false;
        }
        const bool isHung =
                m_network.m_hung.count(m_own) != 0 || m_network.m_hung.count(m_peer) != 0;
        const bool passes = !isHung && !m_network.isCut(m_own, m_peer) &&
                            (!m_network.m_tap || m_network.m_tap(m_own, m_peer, frame));
        if (passes) {
            const std::weak_ptr<FakeLink> target = other;
            other->m_loop.callLater(LATENCY, [target, bytes = encodeFrame(frame)] {
                const auto link = target.lock();
                if (link != nullptr) {
                    link->deliver(bytes);
                }
            });
        }
        return true;
    }

    void close() override {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        const std::weak_ptr<FakeLink> target = m_other;
        const auto other = target.lock();
        if (other != nullptr) {
            other->m_loop.callLater(LATENCY, [target] {
                const auto link = target.lock();
                if (link != nullptr) {
                    link->end();
                }
            });
        }
    }

    /** The other side is gone. */
    void end() {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        const CloseCallback onClose = std::exchange(m_onClose, nullptr);
        if (onClose) {
            onClose();
        }
    }

    /** This side's process is dead: nothing is called any more. */
    void silence() {
        m_isClosed = true;
        m_onFrame = nullptr;
        m_onClose = nullptr;
    }

    /** The network ends the link; this side learns of it on its own loop. */
    void endLater() {
        m_loop.callLater(LATENCY, [weak = weak_from_this()] {
            const auto link = weak.lock();
            if (link != nullptr) {
                link->end();
            }
        });
    }

    bool isOf(const std::string& process) const { return m_own == process; }

    void deliver(const std::string& bytes) {
        if (m_isClosed || !m_onFrame) {
            return;
        }
        Reason reason;
        const auto frame = decodeFrame(bytes, reason);
        if (!frame.has_value()) {
            throw std::logic_error("a frame did not survive its codec: " + reason);
        }
        const FrameCallback onFrame = m_onFrame;
        onFrame(*frame);
    }

    bool isBetween(const std::string& a, const std::string& b) const {
        return (m_own == a && m_peer == b) || (m_own == b && m_peer == a);
    }
    bool touches(const std::string& process) const { return m_own == process || m_peer == process; }

    std::weak_ptr<FakeLink> m_other;

private:
    FakeNetwork& m_network;
    EventLoop& m_loop;
    const std::string m_own;
    const std::string m_peer;
    FrameCallback m_onFrame;
    CloseCallback m_onClose;
    bool m_isClosed = false;
};

void FakeNetwork::cut(const std::string& a, const std::string& b) {
    m_cuts.insert({a, b});
