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

/**
 * A deployment in one process: gateways, sidecars and workers on a manual clock, connected by the
 * fakes of the store and the network. Gateways and sidecars are addressed by their index.
 */
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
        std::unique_ptr<JobBackend::CallerStatistics> m_callers =
                std::make_unique<JobBackend::CallerStatistics>();
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
        /** Capacity in the worker's heartbeats. */
        Resources m_capacity{8000, 8000, 8};
        /** Whether the worker sends no heartbeats. */
        bool m_isHeartbeatSuppressed = false;
        /** Minimum time for which the worker remains available while it drains. */
        Millis m_remaining{0};
        /** Time for which the worker remains cold. */
        Millis m_warmUpRemaining{0};
    };

    /** @param taskCost processor time of each task on a gateway's loop, in microseconds. */
    JobFleet(std::size_t gateways, std::size_t workers, std::int64_t taskCost = 0);

    /**
     * Writes the next version of the operators' configuration, with these API keys of organisation
     * `a`, and of a second organisation `b` if there are any.
     */
    void configure(const std::vector<std::string>& keys = {KEY},
                   const std::vector<std::string>& keysOfSecond = {});
    /** Whether the queue `/batch/` uses placement advice, from the next configure() on. */
    bool m_hasAdvice = false;
    /** Attempts of the queues, from the next configure() on. */
    std::uint32_t m_attempts = 2;

    /** Bandwidth setting of gateways that are started from now on, in Mbit/s. */
    double m_linkMbps = 1000.0;
    /** Settings of the job controllers of gateways that are started from now on. */
    JobControllerSettings m_jobSettings;
    /** Starts a gateway as a new process. */
    void startGateway(std::size_t index);
    /** Terminates a gateway without a shutdown; its links close. */
    void killGateway(std::size_t index);
    /** Starts a sidecar as a new process and delivers its worker's heartbeat. */
    void startSidecar(std::size_t index);
    /** Terminates a sidecar without a shutdown; its worker continues. */
    void killSidecar(std::size_t index);
    /**
     * Delivers a worker's heartbeat to its sidecar, unless a fault of the worker or the sidecar
     * prevents the delivery.
     */
    void heartbeat(std::size_t index);
    /** Returns a worker's current heartbeat, for delivery now or with a delay. */
    WorkerHeartbeat makeHeartbeat(std::size_t index);
    void deliver(std::size_t index, const WorkerHeartbeat& heartbeat);
    /** Sets whether all workers return from a crash with a new id or with the same one. */
    void setRestartForm(RestartForm form);

    /** Sends a request and advances the clock until the answer arrives, for at most 10 s. */
    IntakeAnswer sendRequest(std::size_t gateway, const std::string& method,
                             const std::string& path, const std::string& body = "",
                             const std::string& key = KEY);
    /** Submits a job to the queue `/batch/` (priority 1) or `/urgent/` (priority 0). */
    IntakeAnswer submit(const std::string& id, const std::string& steps, const std::string& payload,
                        const std::string& queue = "/batch/", std::size_t gateway = 0);
    /** Returns a job's state, or the status as text if the answer is not 200. */
    std::string getState(const std::string& id, const std::string& queue = "/batch/",
                         std::size_t gateway = 0);
    /** Polls a job's state every 50 ms. Returns false if the limit passes first. */
    bool waitForState(const std::string& id, const std::string& state, Millis limit,
                      const std::string& queue = "/batch/", std::size_t gateway = 0);
    /** Sends an operator's statement to a gateway; the result is set when the answer arrives. */
    std::shared_ptr<std::optional<StatementAnswer>> startStatement(std::size_t gateway,
                                                                   const std::string& text);
    /** Executes a statement and advances the clock until the answer arrives, for at most 10 s. */
    StatementAnswer executeStatement(std::size_t gateway, const std::string& text);
    /** Returns the index of the gateway that leads, if there is one. */
    std::optional<std::size_t> findLeader() const;
    /** Advances the clock until a gateway leads. Returns false if the limit passes first. */
    bool waitForLeader(Millis limit = Millis(5000));

    ManualEventLoop m_loop;
    FakeNetwork m_network;
    FakeAdvisor m_advisor{m_loop};
    FakeMachineFleet m_machineFleet{m_loop};
    FakeStoreState m_storeState{m_loop};
    RunWitness m_witness;
    adapter::PlatformDocuments m_documents;
    std::vector<Gateway> m_gateways;
    std::vector<Sidecar> m_sidecars;

private:
    /** Sends the heartbeats of all workers, at a fixed interval. */
    void keepSendingHeartbeats();
    const std::int64_t m_taskCostMicros;
    std::uint64_t m_version = 0;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_JOBFLEET_H
