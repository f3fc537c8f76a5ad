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
    /** Faults strike for so long; then everything heals. */
    Millis m_length{20'000};
    std::size_t m_gateways = 3;
    std::size_t m_workers = 4;
    /** Failure domains, of two workers each then, are evacuated and opened again meanwhile. */
    bool m_evacuates = false;
    /** Of two restarts of workers one is under the id that the worker had, and calls come late. */
    bool m_keepsIds = false;
    /** Only these kinds of faults; empty for all. */
    std::vector<std::string> m_faults;
    /** Where the programs are. */
    std::string m_tools;
    /** Logs and settings go here. */
    std::string m_folder;
    std::uint16_t m_basePort = 21'000;
    bool m_isQuiet = false;
};

/**
 * Runs gateways and sidecars as real processes against stand-ins in this process, with a proxy on
 * each way to the store and to each sidecar, strikes them with faults, and checks the promises.
 */
class Soak {
public:
    explicit Soak(SoakOptions options);

    /** @return the promises that were broken; one about `soak` when it could not begin. */
    std::vector<Breach> run();
    std::size_t countJobs() { return m_promises.getJobs().size(); }
    /** Lines of all processes' logs that name something, the last ones. */
    std::vector<std::string> findLogLines(const std::string& name) const;

private:
    struct Gateway {
        std::unique_ptr<LoopbackProxy> m_toStore;
        std::unique_ptr<ChildProcess> m_process;
    };
    struct Side {
        std::unique_ptr<LoopbackProxy> m_toStore;
        /** The leader's way to the sidecar. */
        std::unique_ptr<LoopbackProxy> m_link;
        std::unique_ptr<StandinWorker> m_worker;
        std::unique_ptr<ChildProcess> m_process;
    };

    bool prepare(Reason& reason);
    bool prepareGateway(std::size_t place, Reason& reason);
    bool prepareSide(std::size_t place, Reason& reason);
    void configure();
    void schedule();
    void strike(const Fault& fault);
    void strikeProcess(const Fault& fault);
    void strikeLink(const Fault& fault);
    void strikeStore(const Fault& fault);
    void restartWorker(StandinWorker& worker);
    void strikeWorker(const Fault& fault);
    void heal(const Fault& fault);
    std::string getDomain(std::size_t place) const;
    void evacuate(const std::string& domain);
    void open(const std::string& domain);
    std::vector<Promises::Start> listStarts() const;
    void healAll();
    void look();
    void waitForEnd(Millis since);
    Address getAddress(std::size_t group, std::size_t place) const;
    void write(const std::string& name, const std::string& text) const;
    void say(const std::string& line) const;

    const SoakOptions m_options;
    GlibEventLoop m_loop;
    HttpClient m_client;
    RunWitness m_witness;
    Promises m_promises{m_witness};
    StandinStore m_store;
    std::vector<Gateway> m_gateways;
    std::vector<Side> m_sides;
    std::unique_ptr<Callers> m_callers;
    std::vector<Fault> m_faults;
    std::vector<Promises::Evacuation> m_evacuations;
    std::uint64_t m_version = 0;
    unsigned m_restarts = 0;
    bool m_isHealed = false;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_SOAK_H
