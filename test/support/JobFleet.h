// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_JOBFLEET_H
#define PIERBANK_TEST_SUPPORT_JOBFLEET_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "FakeAdvisor.h"
#include "FakeMachineFleet.h"
#include "FakeRecordStore.h"
#include "FakeTaskWorker.h"
#include "FakeTransport.h"
#include "ManualEventLoop.h"
#include "pierbank/adapter/Documents.h"
#include "pierbank/control/Registration.h"
#include "pierbank/control/WorkerAgent.h"
#include "pierbank/operators/JobBackend.h"

namespace pierbank::testing {

/** Gateways, sidecars and workers on a manual clock, with the store and the network between. */
class JobFleet {
public:
    static constexpr const char* KEY = "key-a";
    static constexpr const char* HOST = "jobs.example";

    struct Gateway {
        std::string m_name;
        std::unique_ptr<ProcessLoop> m_loop;
        std::unique_ptr<FakeTransport> m_transport;
        std::unique_ptr<FakeRecordStore> m_store;
        std::unique_ptr<JobCore> m_core;
        std::unique_ptr<JobBackend::CallerFigures> m_callers =
                std::make_unique<JobBackend::CallerFigures>();
        std::unique_ptr<JobBackend> m_backend;
    };
    struct Sidecar {
        std::string m_name;
        std::string m_address;
        std::unique_ptr<ProcessLoop> m_loop;
        std::unique_ptr<FakeTransport> m_transport;
        std::unique_ptr<FakeTaskWorker> m_worker;
        std::unique_ptr<FakeRecordStore> m_store;
        std::unique_ptr<WorkerAgent> m_agent;
        std::unique_ptr<Registration> m_registration;
        bool m_isDraining = false;
        /** What its worker's heartbeats say that it has. */
        Resources m_capacity{8000, 8000, 8};
        /** Its worker sends no heartbeats. */
        bool m_isMute = false;
        /** While it drains: the least time that it stays. */
        Millis m_remaining{0};
        /** How much longer its worker is slow. */
        Millis m_warmUpRemaining{0};
    };

    /** @param taskCost what each task takes of a gateway's processor, in microseconds. */
    JobFleet(std::size_t gateways, std::size_t workers, std::int64_t taskCost = 0);

    /** Writes the operators' configuration, with these keys. */
    void configure(const std::vector<std::string>& keys = {KEY});
    /** From the next configuration on, the queue `/batch/` is one with advice. */
    bool m_hasAdvice = false;

    /** Of gateways that are started from then on. */
    double m_linkMbps = 1000.0;
    void startGateway(std::size_t place);
    void killGateway(std::size_t place);
    void startSidecar(std::size_t place);
    void killSidecar(std::size_t place);
    void heartbeat(std::size_t place);
    /** What a worker would say of itself now; delivered later, it is a delayed heartbeat. */
    WorkerHeartbeat makeHeartbeat(std::size_t place);
    void deliver(std::size_t place, const WorkerHeartbeat& heartbeat);
    /** All workers are back after crashes in this form. */
    void setRestartForm(RestartForm form);

    /** Sends a request and lets time pass until it is answered. */
    IntakeAnswer ask(std::size_t gateway, const std::string& method, const std::string& path,
                     const std::string& body = "", const std::string& key = KEY);
    /** Hands in a job on queue `/batch/` (priority 1) or `/urgent/` (priority 0). */
    IntakeAnswer submit(const std::string& id, const std::string& steps, const std::string& payload,
                        const std::string& queue = "/batch/", std::size_t gateway = 0);
    std::string getState(const std::string& id, const std::string& queue = "/batch/",
                         std::size_t gateway = 0);
    bool waitForState(const std::string& id, const std::string& state, Millis limit,
                      const std::string& queue = "/batch/", std::size_t gateway = 0);
    /** Begins an operator's statement at a gateway; its answer comes with time. */
    std::shared_ptr<std::optional<StatementAnswer>> begin(std::size_t gateway,
                                                          const std::string& text);
    /** The same, and lets time pass until it is answered. */
    StatementAnswer state(std::size_t gateway, const std::string& text);
    /** The place of the gateway that leads. */
    std::optional<std::size_t> findLeader() const;
    bool waitForLeader(Millis limit = Millis(5000));

    ManualEventLoop m_loop;
    FakeNetwork m_network;
    FakeAdvisor m_advisor{m_loop};
    FakeMachineFleet m_fleet{m_loop};
    FakeStoreState m_state{m_loop};
    RunWitness m_witness;
    adapter::PlatformDocuments m_documents;
    std::vector<Gateway> m_gateways;
    std::vector<Sidecar> m_sidecars;

private:
    void keepSendingHeartbeats();
    const std::int64_t m_taskCost;
    std::uint64_t m_version = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_JOBFLEET_H
