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

/** Delay before a failed call to the store is repeated. */
constexpr Millis RETRY_DELAY{500};

/** @return the wave's number that follows the prefix, or nothing if it is not a whole number. */
std::optional<std::uint64_t> parseWaveNumber(std::string_view key, std::string_view prefix) {
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
    m_leavingWorkers.clear();
}

// Loading and watching the requested waves.

void WaveController::load() {
    m_store.list(WAVE_PREFIX, [this, term = std::weak_ptr(m_term)](const StoreList& list) {
        if (term.expired()) {
            return;
        }
        if (list.m_status != StoreStatus::OK) {
            m_loop.callLater(RETRY_DELAY, guarded([this] { load(); }));
            return;
        }
        for (const StoreItem& item : list.m_items) {
            addWave(item);
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
            m_loop.callLater(RETRY_DELAY, guarded([this] { load(); }));
            return;
        }
        m_watchedTo = changes.m_at;
        for (const StoreEvent& event : changes.m_events) {
            if (!event.m_isDeleted) {
                addWave(event.m_item);
            }
        }
        watch();
    };
    m_store.watch(WAVE_PREFIX, m_watchedTo, m_settings.m_watchWait, onChanges);
}

/** Adds a wave from its key and value; a wave that is known already does not change. */
void WaveController::addWave(const StoreItem& item) {
    const auto number = parseWaveNumber(item.m_key, WAVE_PREFIX);
    if (!number.has_value() || m_waves.count(*number) != 0) {
        return;
    }
    Findings findings;
    auto spec = m_codec.readWave(item.m_value, findings);
    if (!spec.has_value()) {
        reportUnreadable("waves", "unreadable",
                         {{"key", item.m_key}, {"findings", findings.toText()}});
        return;
    }
    spec->m_number = *number;
    logEvent(Severity::INFO, "waves", "asked",
             {{"wave", std::to_string(*number)},
              {"machines", std::to_string(spec->m_machines.size())},
              {"at_once", std::to_string(spec->m_maxMachinesDown)},
              {"within_ms", std::to_string(spec->m_duration.count())}});
    Wave& wave = m_waves[*number];
    wave.m_spec = *std::move(spec);
    wave.m_seenAt = m_loop.now();
    loadState(*number);
}

/**
 * Loads the machines whose upkeep an earlier leader has started, then continues the wave. The next
 * poll finds nothing left to start in a wave that was finished before.
 */
void WaveController::loadState(std::uint64_t number) {
    m_store.read(getWaveStateKey(number), [this, number,
                                           term = std::weak_ptr(m_term)](const StoreRead& read) {
        if (term.expired()) {
            return;
        }
        const bool isAbsent = read.m_status == StoreStatus::NOT_FOUND;
        if (read.m_status != StoreStatus::OK && !isAbsent) {
            m_loop.callLater(RETRY_DELAY, guarded([this, number] { loadState(number); }));
            return;
        }
        Wave& wave = m_waves[number];
        wave.m_revision = read.m_item.m_revision;
        const auto started =
                isAbsent ? std::nullopt : fromCbor<std::vector<std::string>>(read.m_item.m_value);
        if (started.has_value()) {
            wave.m_startedMachines.insert(started->begin(), started->end());
        }
        persist(wave);
        pollLater();
    });
}

// Upkeep of machines.

bool WaveController::hasUnfinishedWaves() const {
    return std::any_of(m_waves.begin(), m_waves.end(),
                       [](const auto& entry) { return !entry.second.m_isDone; });
}

void WaveController::pollLater() {
    if (m_pollTimer != TimerId::NONE || !hasUnfinishedWaves()) {
        return;
    }
    m_pollTimer = m_loop.callLater(m_settings.m_pollInterval, guarded([this] {
                                       m_pollTimer = TimerId::NONE;
                                       pollMachines();
                                   }));
}

/** Lists the machines and advances all unfinished waves; the schedule gets the drained workers. */
void WaveController::pollMachines() {
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
        m_leavingWorkers.clear();
        for (auto& [number, wave] : m_waves) {
            if (!wave.m_isDone) {
                advance(wave, machines);
            }
        }
        m_schedule.setLeavingWorkers(m_leavingWorkers);
    });
}

/**
 * Returns whether a machine counts towards the limit of machines that are down for the wave. The
 * list of machines decides, since a former leader may have started an upkeep that it could not
 * record; beside it counts what may have started since the list was made.
 */
bool WaveController::mayBeDown(const Wave& wave, const Machine& machine) {
    const auto progress = wave.m_progress.find(machine.m_name);
    const bool isStarting = progress != wave.m_progress.end() &&
                            (progress->second.m_isOrdered || progress->second.m_mayHaveStarted);
    const bool hasStarted = wave.m_startedMachines.count(machine.m_name) != 0;
    return isStarting || machine.m_state == MachineState::UPKEEP ||
           (hasStarted && machine.m_state != MachineState::UP);
}

/**
 * Advances the machines of a wave up to its limit of machines that are down at once, or finishes
 * the wave if the upkeep of all its machines has started. An order without an answer is repeated
 * before any other machine is taken down.
 */
void WaveController::advance(Wave& wave, const std::map<std::string, Machine>& machines) {
    std::size_t downCount = 0;
    std::size_t unfinishedCount = 0;
    std::vector<const Machine*> waitingMachines;
    for (const std::string& name : wave.m_spec.m_machines) {
        const auto found = machines.find(name);
        if (found == machines.end()) {
            // The machine no longer exists, so there is nothing left to maintain.
            continue;
        }
        const Machine& machine = found->second;
        const bool hasStarted = wave.m_startedMachines.count(name) != 0;
        const bool isDown = mayBeDown(wave, machine);
        downCount += isDown ? 1 : 0;
        unfinishedCount += hasStarted ? 0 : 1;
        if (!hasStarted && !isDown) {
            waitingMachines.push_back(&machine);
        } else if (!hasStarted && !wave.m_progress[name].m_isOrdered) {
            advanceMachine(wave, machine);
        }
    }
    if (unfinishedCount == 0) {
        wave.m_isDone = true;
        wave.m_isDirty = true;
        persist(wave);
        return;
    }
    // Machines whose draining has started come first, then those with the lowest load.
    std::stable_sort(waitingMachines.begin(), waitingMachines.end(),
                     [&](const Machine* a, const Machine* b) {
                         const auto rankOf = [&](const Machine* machine) {
                             const bool isWaiting =
                                     wave.m_progress[machine->m_name].m_drainingSince == Millis(0);
                             return std::make_pair(isWaiting,
                                                   m_schedule.getLoad(machine->m_workerId));
                         };
                         return rankOf(a) < rankOf(b);
                     });
    for (const Machine* const machine : waitingMachines) {
        if (downCount >= wave.m_spec.m_maxMachinesDown) {
            break;
        }
        if (machine->m_state != MachineState::UP) {
            continue;
        }
        ++downCount;
        advanceMachine(wave, *machine);
    }
}

/** @return the maximum time for draining a worker, derived from the wave's time for one batch. */
Millis WaveController::getMaxDrainTime(const Wave& wave) const {
    const std::size_t cap = std::max<std::size_t>(1, wave.m_spec.m_maxMachinesDown);
    const std::size_t batches =
            std::max<std::size_t>(1, (wave.m_spec.m_machines.size() + cap - 1) / cap);
    const auto batchTime =
            static_cast<double>(wave.m_spec.m_duration.count()) / static_cast<double>(batches);
    return std::min(m_settings.m_maxDrainTime,
                    Millis(static_cast<std::int64_t>(batchTime * m_settings.m_maxDrainShare)));
}

/**
 * Drains a machine's worker, and orders the upkeep once the worker is idle or has been drained for
 * the maximum time. An uninterruptible worker is never taken down.
 */
void WaveController::advanceMachine(Wave& wave, const Machine& machine) {
    MachineProgress& machineProgress = wave.m_progress[machine.m_name];
    if (machineProgress.m_drainingSince == Millis(0)) {
        machineProgress.m_drainingSince = m_loop.now();
    }
    // A worker whose upkeep was refused continues to get work: the platform may never permit it.
    const bool wasRefused = machineProgress.m_retryDelay > Millis(0);
    if (!machine.m_workerId.empty() && !wasRefused) {
        m_leavingWorkers.insert(machine.m_workerId);
    }
    const WorkerLoad load = m_schedule.getLoad(machine.m_workerId);
    const bool isOverdue = m_loop.now() - machineProgress.m_drainingSince >= getMaxDrainTime(wave);
    const bool canBeTakenDown = load == WorkerLoad::IDLE || (load == WorkerLoad::BUSY && isOverdue);
    if (!canBeTakenDown || m_loop.now() < machineProgress.m_retryAt) {
        return;
    }
    machineProgress.m_isOrdered = true;
    const std::uint64_t number = wave.m_spec.m_number;
    m_fleet.beginUpkeep({machine.m_name, number, m_settings.m_node, m_epoch},
                        [this, number, name = machine.m_name,
                         term = std::weak_ptr(m_term)](MachineOrderStatus status) {
                            if (!term.expired()) {
                                handleOrdered(number, name, status);
                            }
                        });
}

/** Records the start of a machine's upkeep, or schedules the next attempt of a refused order. */
void WaveController::handleOrdered(std::uint64_t number, const std::string& machine,
                                   MachineOrderStatus status) {
    Wave& wave = m_waves[number];
    MachineProgress& machineProgress = wave.m_progress[machine];
    machineProgress.m_isOrdered = false;
    machineProgress.m_mayHaveStarted = status == MachineOrderStatus::UNKNOWN;
    const bool hasStarted = status == MachineOrderStatus::DONE;
    logEvent(hasStarted ? Severity::INFO : Severity::WARNING, "waves",
             hasStarted ? "upkeep-begun" : "upkeep-refused",
             {{"wave", std::to_string(number)},
              {"machine", machine},
              {"status", std::to_string(static_cast<int>(status))}});
    if (hasStarted) {
        wave.m_startedMachines.insert(machine);
        wave.m_isDirty = true;
        persist(wave);
        return;
    }
    machineProgress.m_retryDelay =
            std::clamp(machineProgress.m_retryDelay * 2, m_settings.m_minRetryDelay,
                       m_settings.m_maxRetryDelay);
    machineProgress.m_retryAt = m_loop.now() + machineProgress.m_retryDelay;
}

// Persisting the progress.

/** Writes a wave's changed state and status to the store, unless a write is pending. */
void WaveController::persist(Wave& wave) {
    if (wave.m_isPersisting || !wave.m_isDirty) {
        return;
    }
    wave.m_isPersisting = true;
    wave.m_isDirty = false;
    const std::uint64_t number = wave.m_spec.m_number;
    const std::vector<std::string> started(wave.m_startedMachines.begin(),
                                           wave.m_startedMachines.end());
    StoreTransaction transaction;
    transaction.m_conditions = {{std::string(LEADER_KEY), m_epoch},
                                {getWaveStateKey(number), wave.m_revision}};
    transaction.m_puts = {{getWaveStateKey(number), toCbor(started), 0},
                          {getWaveStatusKey(number), m_codec.writeWaveStatus(wave.m_isDone), 0}};
    CommitRetryPolicy retryPolicy;
    retryPolicy.m_retriesRefusals = true;
    CommitResolver::run(
            m_store, m_loop, std::move(transaction), retryPolicy, m_term,
            [this, number](const StoreCommit& commit) { handlePersisted(number, commit); });
}

void WaveController::handlePersisted(std::uint64_t number, const StoreCommit& commit) {
    Wave& wave = m_waves[number];
    wave.m_isPersisting = false;
    if (commit.m_status != StoreStatus::OK) {
        // Leadership was lost; the next leader continues from the stored state.
        logEvent(Severity::WARNING, "waves", "not-kept",
                 {{"wave", std::to_string(number)}, {"reason", commit.m_reason}});
        return;
    }
    wave.m_revision = commit.m_revision;
    logEvent(Severity::INFO, "waves", "kept",
             {{"wave", std::to_string(number)},
              {"begun", std::to_string(wave.m_startedMachines.size())},
              {"done", wave.m_isDone ? "yes" : "no"}});
    persist(wave);
}

}  // namespace pierbank
