// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_WAVECONTROLLER_H
#define PIERBANK_CONTROL_WAVECONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/Documents.h"
#include "pierbank/control/MachineFleet.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/** Whether taking down a worker would interrupt work, from the least to the most severe. */
enum class WorkerLoad {
    /** Nothing runs on the worker. */
    IDLE,
    /** Work would be lost or restarted on another worker. */
    BUSY,
    /** The worker runs tasks of a step that bounds how many of its tasks may be unavailable. */
    UNINTERRUPTIBLE,
};

/** The part of the schedule that upkeep waves depend on. */
class WaveSchedule {
public:
    virtual ~WaveSchedule() = default;
    /** Returns the load of a worker, IDLE if the worker is unknown. @param worker its id. */
    virtual WorkerLoad getLoad(const std::string& worker) const = 0;
    /** Replaces the set of workers, by id, that get no new work and that runs migrate from. */
    virtual void setLeavingWorkers(std::set<std::string, std::less<>> workers) = 0;
};

/** Settings of a WaveController. */
struct WaveControllerSettings {
    /** Name of this gateway's node, which each order for upkeep states as its holder. */
    std::string m_node;
    /** Duration of one long-polling watch call for waves. */
    Millis m_watchWait{10'000};
    /** Interval between polls of the machines while a wave is unfinished. */
    Millis m_pollInterval{500};
    /**
     * Maximum time for draining a worker before its upkeep, absolute and as a share of the time
     * that the wave has for one batch of machines. The smaller limit applies.
     */
    Millis m_maxDrainTime{6000};
    double m_maxDrainShare = 0.5;
    /** Delay before a refused order is repeated; doubles with each refusal up to the maximum. */
    Millis m_minRetryDelay{500};
    Millis m_maxRetryDelay{8000};
};

/**
 * Carries out upkeep waves while this gateway leads. In a wave, the operators request the upkeep of
 * each machine of a list within a given time and with a limit on the machines that are down at
 * once. Workers are drained before the upkeep of their machine as far as time permits. The machines
 * whose upkeep has started are recorded in the store, so that the next leader does not start their
 * upkeep twice. Owned by JobCore; runs on the event loop only.
 */
class WaveController {
public:
    /** The references must outlive the controller. */
    WaveController(RecordStore& store, EventLoop& loop, MachineFleet& fleet,
                   const DocumentCodec& codec, WaveSchedule& schedule,
                   WaveControllerSettings settings);
    WaveController(const WaveController&) = delete;
    WaveController& operator=(const WaveController&) = delete;

    /** Starts a term of leadership: loads the waves and continues them. */
    void lead(StoreRevision epoch);
    /** Ends the term and discards its state; callbacks that are still pending are ignored. */
    void stepDown();

private:
    /** Preparation of one machine for its upkeep. */
    struct MachineProgress {
        /** When draining of its worker started; zero if it has not. */
        Millis m_drainingSince{0};
        Millis m_retryAt{0};
        Millis m_retryDelay{0};
        /** Whether an order is pending. */
        bool m_isOrdered = false;
        /** Whether the last order got no answer, so that the upkeep may have started. */
        bool m_mayHaveStarted = false;
    };
    /** An upkeep wave and its progress. */
    struct Wave {
        WaveSpec m_spec;
        Millis m_seenAt{0};
        /** Names of the machines whose upkeep has started. */
        std::set<std::string> m_startedMachines;
        std::map<std::string, MachineProgress> m_progress;
        /** Store revision of the wave's state; zero if none is stored. */
        StoreRevision m_revision = 0;
        bool m_isDone = false;
        bool m_isPersisting = false;
        /** Whether the state differs from what is stored or being written. */
        bool m_isDirty = true;
    };

    void load();
    void watch();
    void addWave(const StoreItem& item);
    void loadState(std::uint64_t number);
    void pollMachines();
    void pollLater();
    void advance(Wave& wave, const std::map<std::string, Machine>& machines);
    static bool mayBeDown(const Wave& wave, const Machine& machine);
    void advanceMachine(Wave& wave, const Machine& machine);
    void handleOrdered(std::uint64_t number, const std::string& machine, MachineOrderStatus status);
    Millis getMaxDrainTime(const Wave& wave) const;
    void persist(Wave& wave);
    void handlePersisted(std::uint64_t number, const StoreCommit& commit);
    bool hasUnfinishedWaves() const;
    /** Wraps a task so that it does nothing once the current term has ended. */
    std::function<void()> guarded(std::function<void()> task);

    RecordStore& m_store;
    EventLoop& m_loop;
    MachineFleet& m_fleet;
    const DocumentCodec& m_codec;
    WaveSchedule& m_schedule;
    const WaveControllerSettings m_settings;
    StoreRevision m_epoch = 0;
    StoreRevision m_watchedTo = 0;
    std::map<std::uint64_t, Wave> m_waves;
    std::set<std::string, std::less<>> m_leavingWorkers;
    TimerId m_pollTimer = TimerId::NONE;
    /** Replaced with each term of leadership, so that callbacks of earlier terms are ignored. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WAVECONTROLLER_H
