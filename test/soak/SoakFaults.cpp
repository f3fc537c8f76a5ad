// SPDX-License-Identifier: Apache-2.0
// Injection and healing of each kind of fault.
#include <algorithm>
#include <csignal>

#include "Soak.h"

namespace pierbank::testing {

namespace {

/** Delay of a slow store or link. */
constexpr Millis ADDED_DELAY{150};

}  // namespace

void Soak::inject(const Fault& fault) {
    print(fault.toText());
    injectProcessFault(fault);
    injectNetworkFault(fault);
    injectStoreFault(fault);
    injectWorkerFault(fault);
    if (fault.m_kind == FaultKind::KEY_CHANGE) {
        configure();
    }
    if (fault.m_kind == FaultKind::DOMAIN_EVACUATED) {
        evacuate(getDomain(fault.m_target % m_workerNodes.size()));
    }
}

void Soak::injectProcessFault(const Fault& fault) {
    ChildProcess& gateway = *m_gateways[fault.m_target % m_gateways.size()].m_process;
    ChildProcess& sidecar = *m_workerNodes[fault.m_target % m_workerNodes.size()].m_process;
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
        for (const WorkerNode& each : m_workerNodes) {
            each.m_process->signal(SIGKILL);
        }
    }
}

void Soak::injectNetworkFault(const Fault& fault) {
    LoopbackProxy& storeProxy = *m_gateways[fault.m_target % m_gateways.size()].m_storeProxy;
    LoopbackProxy& linksProxy = *m_workerNodes[fault.m_target % m_workerNodes.size()].m_linksProxy;
    switch (fault.m_kind) {
        case FaultKind::GATEWAY_STORE_SILENT:
            storeProxy.setSilent(true);
            break;
        case FaultKind::GATEWAY_STORE_RESET:
            storeProxy.resetAll();
            break;
        case FaultKind::GATEWAY_STORE_SLOW:
            storeProxy.setDelay(ADDED_DELAY);
            break;
        case FaultKind::SIDECAR_LINK_SILENT:
            linksProxy.setSilent(true);
            break;
        case FaultKind::SIDECAR_LINK_RESET:
            linksProxy.resetAll();
            break;
        case FaultKind::SIDECAR_LINK_SLOW:
            linksProxy.setDelay(ADDED_DELAY);
            break;
        default:
            break;
    }
}

void Soak::injectStoreFault(const Fault& fault) {
    /** Share of the transactions that are lost or late. */
    constexpr double AFFECTED_SHARE = 0.3;
    StoreFaults& faults = m_store.m_faults;
    switch (fault.m_kind) {
        case FaultKind::STORE_DOWN:
            faults.m_isDown = true;
            break;
        case FaultKind::STORE_SILENT:
            faults.m_isSilent = true;
            break;
        case FaultKind::STORE_SLOW:
            faults.m_delay = ADDED_DELAY;
            break;
        case FaultKind::STORE_LOSES:
            faults.m_lostShare = AFFECTED_SHARE;
            break;
        case FaultKind::STORE_LATE:
            faults.m_lateShare = AFFECTED_SHARE;
            break;
        case FaultKind::STORE_DEAF:
            faults.m_dropsWatchEvents = true;
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

void Soak::injectWorkerFault(const Fault& fault) {
    constexpr int SLOWDOWN_FACTOR = 4;
    StandinWorker& worker = *m_workerNodes[fault.m_target % m_workerNodes.size()].m_worker;
    switch (fault.m_kind) {
        case FaultKind::WORKER_RESTART:
            restartWorker(worker);
            break;
        case FaultKind::WORKER_SILENT:
            worker.getTasks().m_isSilent = true;
            break;
        case FaultKind::WORKER_HANGS:
            worker.getTasks().m_areRunsStalled = true;
            break;
        case FaultKind::WORKER_SLOW:
            worker.getTasks().m_slowness = SLOWDOWN_FACTOR;
            break;
        case FaultKind::WORKER_DRAINS:
            worker.drain(fault.m_duration);
            break;
        case FaultKind::WORKER_REFUSES:
            refuseStarts(worker.getTasks(), fault.m_duration);
            break;
        default:
            break;
    }
}

/** The duration, which is drawn, selects the form: for lack of capacity, with 503, or silently. */
void Soak::refuseStarts(FakeTaskWorker& tasks, Millis duration) {
    constexpr std::int64_t FORMS = 3;
    const std::int64_t form = duration.count() % FORMS;
    tasks.m_refusal = form == 0 ? "room" : "status 503";
    tasks.m_refusalStatus = form == 2 ? WorkerStatus::UNKNOWN : WorkerStatus::REFUSED;
}

/**
 * With m_keepsIds, delays some starts and holds, so that calls which were sent to one incarnation
 * are executed by the next. The restarts alternate between the same and a new id.
 */
void Soak::restartWorker(StandinWorker& worker) {
    FakeTaskWorker& tasks = worker.getTasks();
    if (!m_options.m_keepsIds) {
        tasks.restart();
        return;
    }
    constexpr Millis CALL_DELAY{500};
    const unsigned restartIndex = m_restarts++;
    tasks.m_startDelay = CALL_DELAY;
    tasks.m_startsToDelay = restartIndex % 3;
    tasks.m_holdsToDelay = restartIndex % 2;
    tasks.restart(restartIndex % 2 == 0 ? RestartForm::SAME_ID : RestartForm::NEW_ID);
}

/** A second request for a domain that is already being evacuated counts as the same request. */
void Soak::evacuate(const std::string& domain) {
    const bool isAlreadyRequested =
            std::any_of(m_evacuations.begin(), m_evacuations.end(),
                        [&](const Promises::Evacuation& evacuation) {
                            return evacuation.m_domain == domain && !evacuation.m_until.has_value();
                        });
    m_store.getState().put("op/evacuate/" + domain, "{}");
    if (!isAlreadyRequested) {
        m_evacuations.push_back({domain, m_loop.now(), std::nullopt});
    }
}

void Soak::reopen(const std::string& domain) {
    m_store.getState().erase("op/evacuate/" + domain);
    for (Promises::Evacuation& evacuation : m_evacuations) {
        if (evacuation.m_domain == domain && !evacuation.m_until.has_value()) {
            evacuation.m_until = m_loop.now();
        }
    }
}

void Soak::heal(const Fault& fault) {
    if (m_isHealed) {
        return;
    }
    Gateway& gateway = m_gateways[fault.m_target % m_gateways.size()];
    WorkerNode& node = m_workerNodes[fault.m_target % m_workerNodes.size()];
    switch (fault.m_kind) {
        case FaultKind::GATEWAY_FREEZE:
            gateway.m_process->signal(SIGCONT);
            break;
        case FaultKind::SIDECAR_FREEZE:
            node.m_process->signal(SIGCONT);
            break;
        case FaultKind::GATEWAY_STORE_SILENT:
            gateway.m_storeProxy->setSilent(false);
            break;
        case FaultKind::GATEWAY_STORE_SLOW:
            gateway.m_storeProxy->setDelay(Millis(0));
            break;
        case FaultKind::SIDECAR_LINK_SILENT:
            node.m_linksProxy->setSilent(false);
            break;
        case FaultKind::SIDECAR_LINK_SLOW:
            node.m_linksProxy->setDelay(Millis(0));
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
            reopen(getDomain(fault.m_target % m_workerNodes.size()));
            break;
        case FaultKind::WORKER_SILENT:
            node.m_worker->getTasks().m_isSilent = false;
            break;
        case FaultKind::WORKER_HANGS:
            node.m_worker->getTasks().m_areRunsStalled = false;
            break;
        case FaultKind::WORKER_SLOW:
            node.m_worker->getTasks().m_slowness = 1;
            break;
        case FaultKind::WORKER_REFUSES:
            node.m_worker->getTasks().m_refusal.clear();
            break;
        case FaultKind::WORKER_DRAINS:
            // The drained worker has left; another incarnation takes its place.
            restartWorker(*node.m_worker);
            node.m_worker->stopDraining();
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
    print("healed");
}

}  // namespace pierbank::testing
