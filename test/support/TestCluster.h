// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_TESTCLUSTER_H
#define PIERBANK_TEST_SUPPORT_TESTCLUSTER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "FakeKeyValueService.h"
#include "FakeTransport.h"
#include "KeyValueStore.h"
#include "ManualEventLoop.h"
#include "pierbank/gateway/GatewayCore.h"
#include "pierbank/sidecar/SidecarServer.h"
#include "WorkerTasks.h"

namespace pierbank::testing {

/** A worker that lives on when its sidecar dies. */
class FakeWorker final : public WorkerPort {
public:
    FakeWorker(ManualEventLoop& loop) : m_loop(loop), m_tasks(loop) {}

    void startTask(const TaskSpec& task, DoneCallback done) override;
    void stopTask(std::string_view name, Millis grace, DoneCallback done) override;
    void renewAndList(Millis timeToLive, ListCallback done) override;

    standin::WorkerTasks& getTasks() { return m_tasks; }
    /** From now on the worker answers nothing. */
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

private:
    ManualEventLoop& m_loop;
    standin::WorkerTasks m_tasks;
    bool m_isSilent = false;
};

/** An endpoint that counts what it ran by path. */
class FakeEndpoint final : public EndpointPort {
public:
    explicit FakeEndpoint(ManualEventLoop& loop) : m_loop(loop) {}

    void send(const EndpointRequest& request, Callback done) override;

    std::map<std::string, int> m_ran;
    Millis m_time{10};
    /** The endpoint runs the request, but its answer is cut short. */
    bool m_cutsAnswers = false;
    bool m_refuses = false;

private:
    ManualEventLoop& m_loop;
};

class FakeHostList final : public HostList {
public:
    FakeHostList(EventLoop& loop, const std::vector<Host>& hosts) : m_loop(loop), m_hosts(hosts) {}
    void fetch(Callback done) override {
        m_loop.callLater(Millis(1), [this, done] { done(m_hosts); });
    }

private:
    EventLoop& m_loop;
    const std::vector<Host>& m_hosts;
};

/** A sidecar process beside a worker or an endpoint. */
struct SidecarProcess {
    std::unique_ptr<ProcessLoop> m_loop;
    std::unique_ptr<FakeTransport> m_transport;
    std::unique_ptr<SidecarServer> m_server;
};

/** A gateway process. */
struct GatewayProcess {
    std::unique_ptr<ProcessLoop> m_loop;
    std::unique_ptr<FakeTransport> m_transport;
    std::unique_ptr<FakeKeyValueService> m_service;
    std::unique_ptr<FakeHostList> m_hostList;
    std::unique_ptr<GatewayCore> m_core;
};

/** Answer of a request that a test has sent. */
using AnswerPtr = std::shared_ptr<std::optional<CallerAnswer>>;

/**
 * Gateways, sidecars, workers and endpoints in one process, on one manual clock, over a fake
 * network and one key-value store: a few nodes for focused tests of failures.
 */
class TestCluster {
public:
    /** Workers w1.. of 8 accelerators, `workersPerRack` to a rack; endpoints e1.. of `assess`. */
    TestCluster(int gateways, int workers, int endpoints, int workersPerRack = 2);
    ~TestCluster();

    ManualEventLoop& loop() { return m_loop; }
    FakeNetwork& network() { return m_network; }
    standin::KeyValueStore& store() { return m_store; }
    GatewayProcess& gateway(int number) { return m_gateways.at(number); }
    FakeWorker& worker(int number) { return *m_workers.at(number); }
    FakeEndpoint& endpoint(int number) { return *m_endpoints.at(number); }
    SidecarProcess& workerSidecar(int number) { return m_workerSidecars.at(number); }
    SidecarProcess& endpointSidecar(int number) { return m_endpointSidecars.at(number); }
    std::vector<Host>& hosts() { return m_hosts; }

    void startGateway(int number);
    void killGateway(int number);
    void startWorkerSidecar(int number);
    void killWorkerSidecar(int number);
    void startEndpointSidecar(int number);
    void killEndpointSidecar(int number);

    /** The number of the gateway that leads; zero when none does. */
    int findLeader() const;
    bool waitForLeader();
    /** Waits until all workers are live in the leader's record and all endpoints are linked. */
    bool waitForReady();

    /** Executes a statement at a gateway and waits for the answer. */
    StatementAnswer execute(int gateway, const std::string& text,
                            const std::string& operatorName = "alice");
    /** Begins a statement; the answer comes later. */
    std::shared_ptr<std::optional<StatementAnswer>> begin(
            int gateway, const std::string& text, const std::string& operatorName = "alice");
    /** Executes at the leader, and fails the test when it is not done. */
    void run(const std::string& text);

    /** A job as the record in the store has it: what is committed, whoever leads. */
    std::optional<Job> findJob(const std::string& name);
    ScheduleRecord readRecord();
    bool waitForJob(const std::string& name, JobState state, Millis limit = Millis(30'000));

    /** Sends a caller's request. */
    AnswerPtr send(int gateway, const std::string& path, std::vector<HttpHeader> headers = {},
                   const std::string& method = "POST");
    bool waitForAnswer(const AnswerPtr& answer, Millis limit = Millis(20'000));

    /** The longest time at which two attempts of a job ran at once; zero is right. */
    Millis findDoubleRun(const std::string& job);
    /** The longest time at which a part of an attempt ran while another part did not. */
    Millis findPartAlone(const std::string& job, std::uint32_t members);

    GatewaySettings m_settings;

private:
    struct Interval {
        std::uint64_t m_attempt = 0;
        std::uint32_t m_member = 0;
        Millis m_from{0};
        Millis m_to{0};
    };
    std::vector<Interval> getIntervals(const std::string& job);

    ManualEventLoop m_loop;
    FakeNetwork m_network;
    standin::KeyValueStore m_store{m_loop};
    Random m_random{42};
    std::vector<Host> m_hosts;
    std::map<int, std::unique_ptr<FakeWorker>> m_workers;
    std::map<int, std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::map<int, SidecarProcess> m_workerSidecars;
    std::map<int, SidecarProcess> m_endpointSidecars;
    std::map<int, GatewayProcess> m_gateways;
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_TESTCLUSTER_H
