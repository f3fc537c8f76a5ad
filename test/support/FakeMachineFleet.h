// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_FAKEMACHINEFLEET_H
#define PIERBANK_TEST_SUPPORT_FAKEMACHINEFLEET_H

#include <algorithm>
#include <map>
#include <set>

#include "pierbank/base/EventLoop.h"
#include "pierbank/control/MachineFleet.h"

namespace pierbank::testing {

/**
 * Machines of a test. Upkeep takes two seconds; a test restarts the machine's worker through
 * m_onUpkeepStart.
 */
class FakeMachineFleet final : public MachineFleet {
public:
    explicit FakeMachineFleet(EventLoop& loop) : m_loop(loop) {}

    void list(std::function<void(const MachineList&)> done) override {
        MachineList list;
        list.m_isGood = !m_isDown;
        for (const auto& [name, machine] : m_machines) {
            list.m_machines.push_back(machine);
        }
        m_loop.callLater(LATENCY, [list, done = std::move(done)] { done(list); });
    }

    void beginUpkeep(const UpkeepOrder& order,
                     std::function<void(MachineOrderStatus)> done) override {
        m_loop.callLater(LATENCY,
                         [this, order, done = std::move(done)] { done(startUpkeep(order)); });
    }

    /** Machines by name. */
    std::map<std::string, Machine> m_machines;
    /** Number of upkeeps of each machine that has had one. */
    std::map<std::string, unsigned> m_upkeeps;
    /** Largest number of machines that were in upkeep at the same time. */
    std::size_t m_maxConcurrentUpkeeps = 0;
    /** Whether listing the machines fails. */
    bool m_isDown = false;
    /** Whether every upkeep order is refused as BUSY. */
    bool m_isBusy = false;
    /** Number of next upkeep orders that are carried out but answered as UNKNOWN. */
    unsigned m_answersToLose = 0;
    /** Called with a machine's name when its upkeep starts. */
    std::function<void(const std::string&)> m_onUpkeepStart = [](const std::string&) {
    };

private:
    static constexpr Millis LATENCY{5};

    /** Starts the upkeep unless the machine has already had it; BUSY if it isn't up. */
    MachineOrderStatus startUpkeep(const UpkeepOrder& order) {
        Machine& machine = m_machines[order.m_machine];
        if (m_completedOrders.count(order.m_machine) != 0) {
            return MachineOrderStatus::DONE;
        }
        if (m_isBusy || machine.m_state != MachineState::UP) {
            return MachineOrderStatus::BUSY;
        }
        m_completedOrders.insert(order.m_machine);
        ++m_upkeeps[order.m_machine];
        machine.m_state = MachineState::UPKEEP;
        m_onUpkeepStart(order.m_machine);
        const auto down = std::count_if(
                m_machines.begin(), m_machines.end(),
                [](const auto& entry) { return entry.second.m_state == MachineState::UPKEEP; });
        m_maxConcurrentUpkeeps = std::max(m_maxConcurrentUpkeeps, static_cast<std::size_t>(down));
        constexpr Millis UPKEEP{2000};
        m_loop.callLater(UPKEEP, [this, name = order.m_machine] {
            m_machines[name].m_state = MachineState::UP;
        });
        if (m_answersToLose > 0) {
            --m_answersToLose;
            return MachineOrderStatus::UNKNOWN;
        }
        return MachineOrderStatus::DONE;
    }

    EventLoop& m_loop;
    std::set<std::string> m_completedOrders;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_FAKEMACHINEFLEET_H
