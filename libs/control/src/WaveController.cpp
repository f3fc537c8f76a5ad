// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/WaveController.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "pierbank/base/Archive.h"
#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/CommitResolver.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

/** Pause before a call of the store that failed is made again. */
constexpr Millis RETRY_PAUSE{500};

std::optional<std::uint64_t> readNumber(std::string_view key, std::string_view prefix) {
    std::uint64_t number = 0;
    const std::string_view digits = key.substr(prefix.size());
    const auto* const end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, number);
    const bool isNumber = result.ec == std::errc() && result.ptr == end;
    return isNumber ? std::optional(number) : std::nullopt;
}

}  // namespace

WaveController::WaveController(RecordStore& store, EventLoop& loop, MachineFleet& fleet,
                               const DocumentCodec& codec, WaveSchedule& schedule,
                               WaveControllerSettings settings)
        : m_store(store),
          m_loop(loop),
          m_fleet(fleet),
          m_codec(codec),
          m_schedule(schedule),
          m_settings(std::move(settings)) {}

std::function<void()> WaveController::guarded(std::function<void()> task) {
    return [term = std::weak_ptr(m_term), task = std::move(task)] {
        if (!term.expired()) {
            task();
        }
    };
}

void WaveController::lead(StoreRevision epoch) {
    stepDown();
    m_epoch = epoch;
    m_term = std::make_shared<bool>(true);
    load();
}

void WaveController::stepDown() {
    m_term.reset();
    m_loop.cancel(std::exchange(m_pollTimer, TimerId::NONE));
    m_waves.clear();
    m_leaving.clear();
}

// What the operators ask for.

void WaveController::load() {
    m_store.list(WAVE_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& list) {
        if (term.expired()) {
            return;
        }
        if (list.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_PAUSE, guarded([this] { load(); }));
            return;
        }
        for (const StoreItem& item : list.m_items) {
            learn(item);
        }
        m_watchedTo = list.m_at;
        watch();
    });
}

void WaveController::watch() {
    const auto onChanges = [this, term = std::weak_ptr(m_term)](const StoreChanges& changes) {
        if (term.expired()) {
            return;
        }
        if (changes.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_PAUSE, guarded([this] { load(); }));
            return;
        }
        m_watchedTo = changes.m_at;
        for (const StoreEvent& event : changes.m_events) {
            if (!event.m_isDeleted) {
                learn(event.m_item);
            }
        }
        watch();
    };
    m_store.watch(WAVE_PREFIX, m_watchedTo, m_settings.m_watchWait, onChanges);
}

void WaveController::learn(const StoreItem& item) {
    const auto number = readNumber(item.m_key, WAVE_PREFIX);
    if (!number.has_value() || m_waves.count(*number) != 0) {
        return;
    }
    Findings findings;
    auto spec = m_codec.readWave(item.m_value, findings);
    if (!spec.has_value()) {
        noteUnreadable("waves", "unreadable",
                       {{"key", item.m_key}, {"findings", findings.toText()}});
        return;
    }
    spec->m_number = *number;
    logEvent(Severity::INFO, "waves", "asked",
             {{"wave", std::to_string(*number)},
              {"machines", std::to_string(spec->m_machines.size())},
              {"at_once", std::to_string(spec->m_cap)},
              {"within_ms", std::to_string(spec->m_duration.count())}});
    Wave& wave = m_waves[*number];
    wave.m_spec = *std::move(spec);
    wave.m_seenAt = m_loop.now();
    loadState(*number);
}

/** What an earlier leader began; a wave that it declared done needs nothing more. */
void WaveController::loadState(std::uint64_t number) {
    m_store.read(getWaveStateKey(number), [this, number,
                                           term = std::weak_ptr(m_term)](const StoreRead& read) {
        if (term.expired()) {
            return;
        }
        const bool isAbsent = read.m_status == StoreStatus::NOT_FOUND;
        if (read.m_status != StoreStatus::OK && !isAbsent) {
            m_loop.callLater(RETRY_PAUSE, guarded([this, number] { loadState(number); }));
            return;
        }
        Wave& wave = m_waves[number];
        wave.m_revision = read.m_item.m_revision;
        const auto begun =
                isAbsent ? std::nullopt : fromCbor<std::vector<std::string>>(read.m_item.m_value);
        if (begun.has_value()) {
            wave.m_begun.insert(begun->begin(), begun->end());
        }
        write(wave);
        pollLater();
    });
}

// Turns of machines.

bool WaveController::isAnyOpen() const {
    return std::any_of(m_waves.begin(), m_waves.end(),
                       [](const auto& entry) { return !entry.second.m_isDone; });
}

void WaveController::pollLater() {
    if (m_pollTimer != TimerId::NONE || !isAnyOpen()) {
        return;
    }
    m_pollTimer = m_loop.callLater(m_settings.m_pollInterval, guarded([this] {
                                       m_pollTimer = TimerId::NONE;
                                       look();
                                   }));
}

void WaveController::look() {
    m_fleet.list([this, term = std::weak_ptr(m_term)](const MachineList& list) {
        if (term.expired()) {
            return;
        }
        pollLater();
        if (!list.m_isGood) {
            logEvent(Severity::WARNING, "waves", "no-list", {{"reason", list.m_reason}});
            return;
        }
        std::map<std::string, Machine> machines;
        for (const Machine& machine : list.m_machines) {
            machines[machine.m_name] = machine;
        }
        m_leaving.clear();
        for (auto& [number, wave] : m_waves) {
            if (!wave.m_isDone) {
                advance(wave, machines);
            }
        }
        m_schedule.setLeaving(m_leaving);
    });
}

void WaveController::advance(Wave& wave, const std::map<std::string, Machine>& machines) {
    std::size_t down = 0;
    std::size_t open = 0;
    std::vector<const Machine*> waiting;
    for (const std::string& name : wave.m_spec.m_machines) {
        const auto found = machines.find(name);
        if (found == machines.end()) {
            // Gone for good: nothing of it remains to be kept up.
            continue;
        }
        const bool isUp = found->second.m_state == MachineState::UP;
        const bool isBegun = wave.m_begun.count(name) != 0;
        const bool isOrdered = wave.m_turns[name].m_isOrdered;
        if (isBegun || isOrdered) {
            down += isUp && !isOrdered ? 0 : 1;
        } else {
            waiting.push_back(&found->second);
        }
        open += isBegun ? 0 : 1;
    }
    if (open == 0) {
        wave.m_isDone = true;
        wave.m_mustWrite = true;
        write(wave);
        return;
    }
    // Those whose emptying has begun first, then those with the least to lose.
    std::stable_sort(waiting.begin(), waiting.end(), [&](const Machine* a, const Machine* b) {
        const auto rankOf = [&](const Machine* machine) {
            const bool isWaiting = wave.m_turns[machine->m_name].m_emptyingSince == Millis(0);
            return std::make_pair(isWaiting, m_schedule.getLoad(machine->m_workerId));
        };
        return rankOf(a) < rankOf(b);
    });
    for (const Machine* const machine : waiting) {
        if (down >= wave.m_spec.m_cap) {
            break;
        }
        if (machine->m_state != MachineState::UP) {
            continue;
        }
        ++down;
        takeTurn(wave, *machine);
    }
}

Millis WaveController::getEmptyTime(const Wave& wave) const {
    const std::size_t cap = std::max<std::size_t>(1, wave.m_spec.m_cap);
    const std::size_t rounds =
            std::max<std::size_t>(1, (wave.m_spec.m_machines.size() + cap - 1) / cap);
    const auto turn =
            static_cast<double>(wave.m_spec.m_duration.count()) / static_cast<double>(rounds);
    return std::min(m_settings.m_emptyTime,
                    Millis(static_cast<std::int64_t>(turn * m_settings.m_emptyShare)));
}

void WaveController::takeTurn(Wave& wave, const Machine& machine) {
    Turn& turn = wave.m_turns[machine.m_name];
    if (turn.m_emptyingSince == Millis(0)) {
        turn.m_emptyingSince = m_loop.now();
    }
    // One that was refused works on: the platform may refuse it for good.
    const bool wasRefused = turn.m_pause > Millis(0);
    if (!machine.m_workerId.empty() && !wasRefused) {
        m_leaving.insert(machine.m_workerId);
    }
    const WorkerLoad load = m_schedule.getLoad(machine.m_workerId);
    const bool isOverdue = m_loop.now() - turn.m_emptyingSince >= getEmptyTime(wave);
    const bool mayGo = load == WorkerLoad::IDLE || (load == WorkerLoad::BUSY && isOverdue);
    if (!mayGo || m_loop.now() < turn.m_retryAt) {
        return;
    }
    turn.m_isOrdered = true;
    const std::uint64_t number = wave.m_spec.m_number;
    m_fleet.beginUpkeep({machine.m_name, number, m_settings.m_node, m_epoch},
                        [this, number, name = machine.m_name,
                         term = std::weak_ptr(m_term)](MachineOrderStatus status) {
                            if (!term.expired()) {
                                handleOrdered(number, name, status);
                            }
                        });
}

void WaveController::handleOrdered(std::uint64_t number, const std::string& machine,
                                   MachineOrderStatus status) {
    Wave& wave = m_waves[number];
    Turn& turn = wave.m_turns[machine];
    turn.m_isOrdered = false;
    const bool isBegun = status == MachineOrderStatus::DONE;
    logEvent(isBegun ? Severity::INFO : Severity::WARNING, "waves",
             isBegun ? "upkeep-begun" : "upkeep-refused",
             {{"wave", std::to_string(number)},
              {"machine", machine},
              {"status", std::to_string(static_cast<int>(status))}});
    if (isBegun) {
        wave.m_begun.insert(machine);
        wave.m_mustWrite = true;
        write(wave);
        return;
    }
    turn.m_pause = std::clamp(turn.m_pause * 2, m_settings.m_pause, m_settings.m_longestPause);
    turn.m_retryAt = m_loop.now() + turn.m_pause;
}

// What is kept.

void WaveController::write(Wave& wave) {
    if (wave.m_isWriting || !wave.m_mustWrite) {
        return;
    }
    wave.m_isWriting = true;
    wave.m_mustWrite = false;
    const std::uint64_t number = wave.m_spec.m_number;
    const std::vector<std::string> begun(wave.m_begun.begin(), wave.m_begun.end());
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch},
                                {getWaveStateKey(number), wave.m_revision}};
    transaction.m_puts = {{getWaveStateKey(number), toCbor(begun), 0},
                          {getWaveStatusKey(number), m_codec.writeWaveStatus(wave.m_isDone), 0}};
    CommitRetryPolicy patience;
    patience.m_retriesRefusals = true;
    CommitResolver::run(
            m_store, m_loop, std::move(transaction), patience, m_term,
            [this, number](const StoreCommit& commit) { handleWritten(number, commit); });
}

void WaveController::handleWritten(std::uint64_t number, const StoreCommit& commit) {
    Wave& wave = m_waves[number];
    wave.m_isWriting = false;
    if (commit.m_status != StoreStatus::OK) {
        // Another leader: it goes on from what was kept.
        logEvent(Severity::WARNING, "waves", "not-kept",
                 {{"wave", std::to_string(number)}, {"reason", commit.m_reason}});
        return;
    }
    wave.m_revision = commit.m_revision;
    logEvent(Severity::INFO, "waves", "kept",
             {{"wave", std::to_string(number)},
              {"begun", std::to_string(wave.m_begun.size())},
              {"done", wave.m_isDone ? "yes" : "no"}});
    write(wave);
}

}  // namespace pierbank
