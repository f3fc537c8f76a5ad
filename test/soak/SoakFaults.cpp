// SPDX-License-Identifier: Apache-2.0
// What a soak's faults do, and how they heal.
#include <algorithm>
#include <csignal>

#include "Soak.h"

namespace pierbank::testing {

namespace {

constexpr Millis SLOW{150};

}  // namespace

void Soak::strike(const Fault& fault) {
    say(fault.toText());
    strikeProcess(fault);
    strikeLink(fault);
    strikeStore(fault);
    strikeWorker(fault);
    if (fault.m_kind == FaultKind::KEY_CHANGE) {
        configure();
    }
    if (fault.m_kind == FaultKind::DOMAIN_EVACUATED) {
        evacuate(getDomain(fault.m_target % m_sides.size()));
    }
}

void Soak::strikeProcess(const Fault& fault) {
    ChildProcess& gateway = *m_gateways[fault.m_target % m_gateways.size()].m_process;
    ChildProcess& sidecar = *m_sides[fault.m_target % m_sides.size()].m_process;
    switch (fault.m_kind) {
        case FaultKind::GATEWAY_KILL:
            gateway.signal(SIGKILL);
            break;
        case FaultKind::GATEWAY_FREEZE:
            gateway.signal(SIGSTOP);
            break;
        case FaultKind::GATEWAY_STOP:
            gateway.signal(SIGTERM);
            break;
        case FaultKind::SIDECAR_KILL:
            sidecar.signal(SIGKILL);
            break;
        case FaultKind::SIDECAR_FREEZE:
            sidecar.signal(SIGSTOP);
            break;
        case FaultKind::ALL_GATEWAYS_KILL:
        case FaultKind::EVERYTHING_KILL:
            for (const Gateway& each : m_gateways) {
                each.m_process->signal(SIGKILL);
            }
            break;
        default:
            break;
    }
    if (fault.m_kind == FaultKind::EVERYTHING_KILL) {
        for (const Side& each : m_sides) {
            each.m_process->signal(SIGKILL);
        }
    }
}

void Soak::strikeLink(const Fault& fault) {
    LoopbackProxy& toStore = *m_gateways[fault.m_target % m_gateways.size()].m_toStore;
    LoopbackProxy& link = *m_sides[fault.m_target % m_sides.size()].m_link;
    switch (fault.m_kind) {
        case FaultKind::GATEWAY_STORE_SILENT:
            toStore.setSilent(true);
            break;
        case FaultKind::GATEWAY_STORE_RESET:
            toStore.resetAll();
            break;
        case FaultKind::GATEWAY_STORE_SLOW:
            toStore.setDelay(SLOW);
            break;
        case FaultKind::SIDECAR_LINK_SILENT:
            link.setSilent(true);
            break;
        case FaultKind::SIDECAR_LINK_RESET:
            link.resetAll();
            break;
        case FaultKind::SIDECAR_LINK_SLOW:
            link.setDelay(SLOW);
            break;
        default:
            break;
    }
}

void Soak::strikeStore(const Fault& fault) {
    constexpr double SOME = 0.3;
    StoreFaults& faults = m_store.m_faults;
    switch (fault.m_kind) {
        case FaultKind::STORE_DOWN:
            faults.m_isDown = true;
            break;
        case FaultKind::STORE_SILENT:
            faults.m_isSilent = true;
            break;
        case FaultKind::STORE_SLOW:
            faults.m_delay = SLOW;
            break;
        case FaultKind::STORE_LOSES:
            faults.m_lostShare = SOME;
            break;
        case FaultKind::STORE_LATE:
            faults.m_lateShare = SOME;
            break;
        case FaultKind::STORE_DEAF:
            faults.m_isDeaf = true;
            break;
        case FaultKind::STORE_FORGETS:
            m_store.forgetHistory();
            break;
        case FaultKind::STORE_LAPSES:
            m_store.lapseLeases();
            break;
        default:
            break;
    }
}

void Soak::strikeWorker(const Fault& fault) {
    constexpr int SLOWNESS = 4;
    StandinWorker& worker = *m_sides[fault.m_target % m_sides.size()].m_worker;
    switch (fault.m_kind) {
        case FaultKind::WORKER_RESTART:
            restartWorker(worker);
            break;
        case FaultKind::WORKER_SILENT:
            worker.getTasks().m_isSilent = true;
            break;
        case FaultKind::WORKER_HANGS:
            worker.getTasks().m_isHanging = true;
            break;
        case FaultKind::WORKER_SLOW:
            worker.getTasks().m_slowness = SLOWNESS;
            break;
        case FaultKind::WORKER_DRAINS:
            worker.drain(fault.m_for);
            break;
        default:
            break;
    }
}

/** Some of the calls that are on their way then are done by the next process. */
void Soak::restartWorker(StandinWorker& worker) {
    FakeTaskWorker& tasks = worker.getTasks();
    if (!m_options.m_keepsIds) {
        tasks.restart();
        return;
    }
    constexpr Millis LATE{500};
    const unsigned turn = m_restarts++;
    tasks.m_startDelay = LATE;
    tasks.m_startsToDelay = turn % 3;
    tasks.m_holdsToDelay = turn % 2;
    tasks.restart(turn % 2 == 0 ? RestartForm::SAME_ID : RestartForm::NEW_ID);
}

/** Asked for twice, it is one request that stands until it is withdrawn. */
void Soak::evacuate(const std::string& domain) {
    const bool stands = std::any_of(m_evacuations.begin(), m_evacuations.end(),
                                    [&](const Promises::Evacuation& one) {
                                        return one.m_domain == domain && !one.m_until.has_value();
                                    });
    m_store.getState().put("op/evacuate/" + domain, "{}");
    if (!stands) {
        m_evacuations.push_back({domain, m_loop.now(), std::nullopt});
    }
}

void Soak::open(const std::string& domain) {
    m_store.getState().erase("op/evacuate/" + domain);
    for (Promises::Evacuation& one : m_evacuations) {
        if (one.m_domain == domain && !one.m_until.has_value()) {
            one.m_until = m_loop.now();
        }
    }
}

void Soak::heal(const Fault& fault) {
    if (m_isHealed) {
        return;
    }
    Gateway& gateway = m_gateways[fault.m_target % m_gateways.size()];
    Side& side = m_sides[fault.m_target % m_sides.size()];
    switch (fault.m_kind) {
        case FaultKind::GATEWAY_FREEZE:
            gateway.m_process->signal(SIGCONT);
            break;
        case FaultKind::SIDECAR_FREEZE:
            side.m_process->signal(SIGCONT);
            break;
        case FaultKind::GATEWAY_STORE_SILENT:
            gateway.m_toStore->setSilent(false);
            break;
        case FaultKind::GATEWAY_STORE_SLOW:
            gateway.m_toStore->setDelay(Millis(0));
            break;
        case FaultKind::SIDECAR_LINK_SILENT:
            side.m_link->setSilent(false);
            break;
        case FaultKind::SIDECAR_LINK_SLOW:
            side.m_link->setDelay(Millis(0));
            break;
        case FaultKind::STORE_DOWN:
        case FaultKind::STORE_SILENT:
        case FaultKind::STORE_SLOW:
        case FaultKind::STORE_LOSES:
        case FaultKind::STORE_LATE:
        case FaultKind::STORE_DEAF:
            m_store.m_faults = StoreFaults();
            break;
        case FaultKind::DOMAIN_EVACUATED:
            open(getDomain(fault.m_target % m_sides.size()));
            break;
        case FaultKind::WORKER_SILENT:
            side.m_worker->getTasks().m_isSilent = false;
            break;
        case FaultKind::WORKER_HANGS:
            side.m_worker->getTasks().m_isHanging = false;
            break;
        case FaultKind::WORKER_SLOW:
            side.m_worker->getTasks().m_slowness = 1;
            break;
        case FaultKind::WORKER_DRAINS:
            // It has left, and another comes.
            restartWorker(*side.m_worker);
            side.m_worker->stopDraining();
            break;
        default:
            break;
    }
}

void Soak::healAll() {
    for (const Fault& fault : m_faults) {
        heal(fault);
    }
    m_isHealed = true;
    say("healed");
}

}  // namespace pierbank::testing
