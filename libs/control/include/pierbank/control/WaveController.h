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

/** What runs on a worker, as far as taking it down goes. */
enum class WorkerLoad {
    IDLE,
    /** Work that would be lost, or begins again elsewhere. */
    BUSY,
    /** Tasks that must not be away just now: their step's promise would be broken. */
    HELD,
};

/** The schedule, as a wave needs it. */
class WaveSchedule {
public:
    virtual ~WaveSchedule() = default;
    virtual WorkerLoad getLoad(const std::string& worker) const = 0;
    /** These workers get no new work, and what can moves off them. */
    virtual void setLeaving(std::set<std::string, std::less<>> workers) = 0;
};

struct WaveControllerSettings {
    std::string m_node;
    /** Time of one waiting watch of the waves. */
    Millis m_watchWait{10'000};
    /** Between two looks at the machines while a wave is under way. */
    Millis m_pollInterval{500};
    /** A worker is emptied for so long at most, and for this share of a machine's turn in its wave.
     */
    Millis m_emptyTime{6000};
    double m_emptyShare = 0.5;
    /** Pause before an order that was refused for now is given again; doubles up to the longest. */
    Millis m_pause{500};
    Millis m_longestPause{8000};
};

/**
 * The leader's part in upkeep waves: the operators ask that each machine of a list gets its upkeep
 * in time, with at most so many down at once. Machines are emptied before their turn as far as
 * there is time; which ones have begun is kept in the store, so that a successor takes none twice.
 */
class WaveController {
public:
    /** The references must outlive the controller. */
    WaveController(RecordStore& store, EventLoop& loop, MachineFleet& fleet,
                   const DocumentCodec& codec, WaveSchedule& schedule,
                   WaveControllerSettings settings);
    WaveController(const WaveController&) = delete;
    WaveController& operator=(const WaveController&) = delete;

    void lead(StoreRevision epoch);
    void stepDown();

private:
    struct Turn {
        /** Emptying began; zero: not yet its turn. */
        Millis m_emptyingSince{0};
        Millis m_retryAt{0};
        Millis m_pause{0};
        bool m_isOrdered = false;
    };
    struct Wave {
        WaveSpec m_spec;
        Millis m_seenAt{0};
        std::set<std::string> m_begun;
        std::map<std::string, Turn> m_turns;
        StoreRevision m_revision = 0;
        bool m_isDone = false;
        bool m_isWriting = false;
        bool m_mustWrite = true;
    };

    void load();
    void watch();
    void learn(const StoreItem& item);
    void loadState(std::uint64_t number);
    void look();
    void pollLater();
    void advance(Wave& wave, const std::map<std::string, Machine>& machines);
    void takeTurn(Wave& wave, const Machine& machine);
    void handleOrdered(std::uint64_t number, const std::string& machine, MachineOrderStatus status);
    Millis getEmptyTime(const Wave& wave) const;
    void write(Wave& wave);
    void handleWritten(std::uint64_t number, const StoreCommit& commit);
    bool isAnyOpen() const;
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
    std::set<std::string, std::less<>> m_leaving;
    TimerId m_pollTimer = TimerId::NONE;
    /** Replaced with each term of leadership. */
    std::shared_ptr<bool> m_term;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_WAVECONTROLLER_H
