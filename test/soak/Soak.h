// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_SOAK_H
#define PIERBANK_TEST_SOAK_SOAK_H

#include <memory>
#include <string>
#include <vector>

#include "Callers.h"
#include "ChildProcess.h"
#include "FaultPlan.h"
#include "LoopbackProxy.h"
#include "pierbank/base/GlibEventLoop.h"
#include "Promises.h"
#include "StandinStore.h"
#include "StandinWorker.h"

namespace pierbank::testing {

struct SoakOptions {
    std::uint64_t m_seed = 1;
    /** Duration of the fault injection. All faults heal at its end. */
    Millis m_length{20'000};
    std::size_t m_gateways = 3;
    std::size_t m_workers = 4;
    /**
     * Requests and withdraws the evacuation of failure domains during the soak. Each failure domain
     * has two workers with this option and four without.
     */
    bool m_evacuates = false;
    /**
     * Every second restart of a worker keeps the worker's id, and some calls to a restarted worker
     * are delayed.
     */
    bool m_keepsIds = false;
    /** Number of ends that workers list at once; small, so that many lists go on. */
    std::size_t m_maxListedEnds = 2;
    /** Names of the kinds of faults to inject; empty for all. */
    std::vector<std::string> m_faults;
    /** Folder of the programs pierbank-gateway and pierbank-sidecar. */
    std::string m_tools;
    /** Folder for the logs and settings of the processes. */
    std::string m_folder;
    /** First port of the range on loopback. */
    std::uint16_t m_basePort = 21'000;
    /** Whether to omit the faults from the output. */
    bool m_isQuiet = false;
};

/**
 * Runs gateways and sidecars as real processes against a simulated store and simulated workers in
 * this process, injects faults and checks the promises. A proxy is placed in front of the store for
 * each process, and in front of each sidecar.
 */
class Soak {
public:
    explicit Soak(SoakOptions options);

    /**
     * Runs the soak to its end.
     * @return the violations of promises; if the soak could not be started, a single violation with
     * the subject `soak`.
     */
    std::vector<Breach> run();
    /** Number of jobs that were submitted. */
    std::size_t countJobs() { return m_promises.getJobs().size(); }
    /** Returns the last log lines of all processes that contain the name, ordered by time. */
    std::vector<std::string> findLogLines(const std::string& name) const;

private:
    /** A gateway process and the proxy to the store that it uses. */
    struct Gateway {
        std::unique_ptr<LoopbackProxy> m_storeProxy;
        std::unique_ptr<ChildProcess> m_process;
    };
    /** A simulated worker, its sidecar process and the proxies of the sidecar. */
    struct WorkerNode {
        std::unique_ptr<LoopbackProxy> m_storeProxy;
        /** Proxy for the connections from gateways to the sidecar. */
        std::unique_ptr<LoopbackProxy> m_linksProxy;
        std::unique_ptr<StandinWorker> m_worker;
        std::unique_ptr<ChildProcess> m_process;
    };

    /** Creates and starts everything. @return false, with a reason, if a port is unavailable. */
    bool prepare(Reason& reason);
    bool prepareGateway(std::size_t index, Reason& reason);
    bool prepareWorkerNode(std::size_t index, Reason& reason);
    /** Writes the next version of the platform's configuration, with a new API key. */
    void configure();
    /** Schedules the injection and healing of all faults, and the end of the soak. */
    void schedule();
    /** Injects a fault; the functions below each handle the kinds of one group. */
    void inject(const Fault& fault);
    void injectProcessFault(const Fault& fault);
    void injectNetworkFault(const Fault& fault);
    void injectStoreFault(const Fault& fault);
    static void refuseStarts(FakeTaskWorker& tasks, Millis duration);
    void restartWorker(StandinWorker& worker);
    void injectWorkerFault(const Fault& fault);
    /** Undoes a fault; does nothing for kinds without lasting effect and after healAll(). */
    void heal(const Fault& fault);
    /** Returns the failure domain of a worker. */
    std::string getDomain(std::size_t index) const;
    void evacuate(const std::string& domain);
    /** Withdraws the evacuation of a failure domain. */
    void reopen(const std::string& domain);
    /** Returns the starts of runs on all workers. */
    std::vector<Promises::Start> listStarts() const;
    void healAll();
    /** Checks promises that must hold at any time, at intervals until the end. */
    void checkInvariants();
    /** Ends the loop when all jobs have settled or the timeout since `since` has passed. */
    void waitForEnd(Millis since);
    /** Returns the address of process `index` in a PortGroup. */
    Address getAddress(std::size_t group, std::size_t index) const;
    /** Writes a file in the folder of the soak. */
    void write(const std::string& name, const std::string& text) const;
    /** Prints a line unless the soak is quiet. */
    void print(const std::string& line) const;

    const SoakOptions m_options;
    GlibEventLoop m_loop;
    HttpClient m_client;
    RunWitness m_witness;
    Promises m_promises{m_witness};
    StandinStore m_store;
    std::vector<Gateway> m_gateways;
    std::vector<WorkerNode> m_workerNodes;
    std::unique_ptr<Callers> m_callers;
    std::vector<Fault> m_faults;
    std::vector<Promises::Evacuation> m_evacuations;
    /** Version of the configuration that was written last. */
    std::uint64_t m_version = 0;
    /**
     * Number of restarts of workers with m_keepsIds; determines the RestartForm of the next
     * restart.
     */
    unsigned m_restarts = 0;
    /** All faults have healed; pending calls of heal() have no effect. */
    bool m_isHealed = false;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_SOAK_H
