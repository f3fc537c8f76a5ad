// SPDX-License-Identifier: Apache-2.0
#include "TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace pierbank::testing {

namespace {

constexpr Millis CALL_LATENCY{2};
constexpr int WORKER_PORT = 500;
constexpr int ENDPOINT_PORT = 600;

Address makeAddress(int base, int number) {
    return {"127.0.0.1", static_cast<std::uint16_t>(base + number)};
}

Host makeHost(HostRole role, const std::string& name, const Address& address, int rack) {
    Host host;
    host.m_name = name;
    host.m_role = role;
    host.m_address = address;
    host.m_region = "north";
    host.m_rack = "r" + std::to_string(rack);
    host.m_failureDomain = "d" + std::to_string(rack);
    return host;
}

std::uint64_t toNumber(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}  // namespace

void FakeWorker::startTask(const TaskSpec& task, DoneCallback done) {
    if (m_isSilent) {
        return;
    }
    m_loop.callLater(CALL_LATENCY, [this, task, done] {
        const std::string problem = m_tasks.start(task);
        done(problem.empty(), problem);
    });
}

void FakeWorker::stopTask(std::string_view name, Millis grace, DoneCallback done) {
    if (m_isSilent) {
        return;
    }
    m_loop.callLater(CALL_LATENCY + grace, [this, name = std::string(name), done] {
        m_tasks.stop(name);
        done(true, "");
    });
}

void FakeWorker::renewAndList(Millis timeToLive, ListCallback done) {
    if (m_isSilent) {
        return;
    }
    m_loop.callLater(CALL_LATENCY,
                     [this, timeToLive, done] { done(m_tasks.renewAndList(timeToLive)); });
}

void FakeEndpoint::send(const EndpointRequest& request, Callback done) {
    EndpointReply reply;
    if (m_refuses) {
        reply.m_outcome = EndpointOutcome::NOT_SENT;
        m_loop.callLater(Millis(1), [done, reply] { done(reply); });
        return;
    }
    ++m_ran[request.m_path];
    reply.m_outcome = m_cutsAnswers ? EndpointOutcome::CUT : EndpointOutcome::ANSWERED;
    reply.m_status = m_cutsAnswers ? 0 : 200;
    reply.m_body = m_cutsAnswers ? "" : "answer to " + request.m_path;
    if (m_time > request.m_timeout) {
        reply = EndpointReply();
        reply.m_reason = "timed out";
        m_loop.callLater(request.m_timeout, [done, reply] { done(reply); });
        return;
    }
    m_loop.callLater(m_time, [done, reply] { done(reply); });
}

TestCluster::TestCluster(int gateways, int workers, int endpoints, int workersPerRack) {
    m_settings.m_routing.m_failureDomain = "d1";
    m_settings.m_election.m_region = "north";
    m_settings.m_schedule.m_region = "north";
    m_settings.m_schedule.m_leases.m_outageGrace = Millis(60'000);
    m_settings.m_schedule.m_policy.m_checkpointGrace = Millis(500);
    for (int i = 1; i <= workers; ++i) {
        Host host = makeHost(HostRole::WORKER, "w" + std::to_string(i), makeAddress(WORKER_PORT, i),
                             1 + (i - 1) / workersPerRack);
        host.m_accelerators = 8;
        m_hosts.push_back(host);
        m_workers[i] = std::make_unique<FakeWorker>(m_loop);
        startWorkerSidecar(i);
    }
    for (int i = 1; i <= endpoints; ++i) {
        Host host = makeHost(HostRole::ENDPOINT, "e" + std::to_string(i),
                             makeAddress(ENDPOINT_PORT, i), i);
        host.m_service = "assess";
        m_hosts.push_back(host);
        m_endpoints[i] = std::make_unique<FakeEndpoint>(m_loop);
        startEndpointSidecar(i);
    }
    for (int i = 1; i <= gateways; ++i) {
        startGateway(i);
    }
}

TestCluster::~TestCluster() {
    m_gateways.clear();
    m_workerSidecars.clear();
    m_endpointSidecars.clear();
}

void TestCluster::startGateway(int number) {
    GatewayProcess& process = m_gateways[number];
    const std::string name = "g" + std::to_string(number);
    GatewaySettings settings = m_settings;
    settings.m_name = name;
    settings.m_election.m_ownAddress = makeAddress(100, number);
    process.m_loop = std::make_unique<ProcessLoop>(m_loop);
    process.m_transport = std::make_unique<FakeTransport>(m_network, *process.m_loop, name);
    process.m_service = std::make_unique<FakeKeyValueService>(*process.m_loop, m_loop, m_store);
    process.m_hostList = std::make_unique<FakeHostList>(*process.m_loop, m_hosts);
    process.m_core =
            std::make_unique<GatewayCore>(*process.m_loop, m_random, *process.m_transport,
                                          *process.m_service, *process.m_hostList, settings);
    process.m_core->start();
}

void TestCluster::killGateway(int number) {
    m_network.kill("g" + std::to_string(number));
    m_gateways.erase(number);
}

void TestCluster::startWorkerSidecar(int number) {
    SidecarProcess& process = m_workerSidecars[number];
    SidecarSettings settings;
    settings.m_name = "w" + std::to_string(number);
    settings.m_listen = makeAddress(WORKER_PORT, number);
    process.m_loop = std::make_unique<ProcessLoop>(m_loop);
    process.m_transport =
            std::make_unique<FakeTransport>(m_network, *process.m_loop, settings.m_name);
    process.m_server =
            std::make_unique<SidecarServer>(*process.m_loop, m_random, *process.m_transport,
                                            nullptr, m_workers[number].get(), settings);
    Reason reason;
    ASSERT_TRUE(process.m_server->start(reason)) << reason;
}

void TestCluster::killWorkerSidecar(int number) {
    m_network.kill("w" + std::to_string(number));
    m_workerSidecars.erase(number);
}

void TestCluster::startEndpointSidecar(int number) {
    SidecarProcess& process = m_endpointSidecars[number];
    SidecarSettings settings;
    settings.m_name = "e" + std::to_string(number);
    settings.m_listen = makeAddress(ENDPOINT_PORT, number);
    process.m_loop = std::make_unique<ProcessLoop>(m_loop);
    process.m_transport =
            std::make_unique<FakeTransport>(m_network, *process.m_loop, settings.m_name);
    process.m_server =
            std::make_unique<SidecarServer>(*process.m_loop, m_random, *process.m_transport,
                                            m_endpoints[number].get(), nullptr, settings);
    Reason reason;
    ASSERT_TRUE(process.m_server->start(reason)) << reason;
}

void TestCluster::killEndpointSidecar(int number) {
    m_network.kill("e" + std::to_string(number));
    m_endpointSidecars.erase(number);
}

int TestCluster::findLeader() const {
    for (const auto& [number, gateway] : m_gateways) {
        if (gateway.m_core->isLeading() && !gateway.m_loop->isFrozen()) {
            return number;
        }
    }
    return 0;
}

bool TestCluster::waitForLeader() {
    return m_loop.advanceUntil(Millis(20'000), [this] { return findLeader() != 0; });
}

bool TestCluster::waitForReady() {
    if (!waitForLeader()) {
        return false;
    }
    const auto isReady = [this] {
        const ScheduleRecord record = readRecord();
        const auto& workers = record.m_state.m_workers;
        const bool allLive = std::all_of(workers.begin(), workers.end(), [](const Worker& w) {
            return w.m_state == WorkerState::LIVE;
        });
        const auto hasLinks = [this](const auto& g) {
            return nlohmann::json::parse(g.second.m_core->getHealth())["sidecars_linked"] ==
                   m_hosts.size();
        };
        return allLive && workers.size() == m_workers.size() &&
               std::all_of(m_gateways.begin(), m_gateways.end(), hasLinks);
    };
    return m_loop.advanceUntil(Millis(20'000), isReady);
}

std::shared_ptr<std::optional<StatementAnswer>> TestCluster::begin(
        int gateway, const std::string& text, const std::string& operatorName) {
    const auto answer = std::make_shared<std::optional<StatementAnswer>>();
    const ParseResult parsed = parseStatement(text);
    EXPECT_TRUE(parsed.m_statement.has_value()) << text << ": " << parsed.m_error.m_message;
    StatementRequest request;
    request.m_statement = *parsed.m_statement;
    request.m_text = text;
    request.m_operator = operatorName;
    m_gateways.at(gateway).m_core->execute(
            request, [answer](const StatementAnswer& given) { *answer = given; });
    return answer;
}

StatementAnswer TestCluster::execute(int gateway, const std::string& text,
                                     const std::string& operatorName) {
    const auto answer = begin(gateway, text, operatorName);
    m_loop.advanceUntil(Millis(10'000), [&] { return answer->has_value(); });
    return answer->value_or(StatementAnswer());
}

void TestCluster::run(const std::string& text) {
    const StatementAnswer answer = execute(findLeader(), text);
    EXPECT_EQ(answer.m_status, StatementStatus::DONE) << text << ": " << answer.m_message;
}

ScheduleRecord TestCluster::readRecord() {
    const KeyValueReply reply = m_store.get("schedule/north");
    return decodeRecord(reply.m_value).value_or(ScheduleRecord());
}

std::optional<Job> TestCluster::findJob(const std::string& name) {
    const ScheduleRecord record = readRecord();
    const Job* const job = record.m_state.findJob(name);
    return job == nullptr ? std::nullopt : std::optional(*job);
}

bool TestCluster::waitForJob(const std::string& name, JobState state, Millis limit) {
    return m_loop.advanceUntil(limit, [&] {
        const auto job = findJob(name);
        return job.has_value() && job->m_state == state;
    });
}

AnswerPtr TestCluster::send(int gateway, const std::string& path, std::vector<HttpHeader> headers,
                            const std::string& method) {
    const auto answer = std::make_shared<std::optional<CallerAnswer>>();
    CallerRequest request;
    request.m_service = "assess";
    request.m_method = method;
    request.m_path = path;
    request.m_headers = std::move(headers);
    request.m_headers.push_back({"Pierbank-Organisation", "factoring"});
    const auto exchange = std::make_shared<CallerExchange>(
            request, m_loop.now(), [answer](const CallerAnswer& given) { *answer = given; });
    m_gateways.at(gateway).m_core->handleRequest(exchange);
    return answer;
}

bool TestCluster::waitForAnswer(const AnswerPtr& answer, Millis limit) {
    return m_loop.advanceUntil(limit, [&] { return answer->has_value(); });
}

std::vector<TestCluster::Interval> TestCluster::getIntervals(const std::string& job) {
    std::vector<Interval> intervals;
    for (auto& [number, worker] : m_workers) {
        worker->getTasks().renewAndList(Millis(0));
        std::map<std::string, Interval> open;
        for (const standin::WorkerEvent& event : worker->getTasks().getJournal()) {
            const std::size_t second = event.m_task.rfind('/');
            const std::size_t first = event.m_task.rfind('/', second - 1);
            if (event.m_task.substr(0, first) != job) {
                continue;
            }
            Interval& interval = open[event.m_task];
            if (event.m_state == TaskState::RUNNING) {
                interval.m_attempt = toNumber(event.m_task.substr(first + 1, second - first - 1));
                interval.m_member =
                        static_cast<std::uint32_t>(toNumber(event.m_task.substr(second + 1)));
                interval.m_from = event.m_at;
                interval.m_to = m_loop.now();
            } else {
                interval.m_to = event.m_at;
            }
        }
        for (const auto& [task, interval] : open) {
            intervals.push_back(interval);
        }
    }
    return intervals;
}

Millis TestCluster::findDoubleRun(const std::string& job) {
    Millis longest{0};
    const auto intervals = getIntervals(job);
    for (const Interval& a : intervals) {
        for (const Interval& b : intervals) {
            if (a.m_attempt < b.m_attempt) {
                longest =
                        std::max(longest, std::min(a.m_to, b.m_to) - std::max(a.m_from, b.m_from));
            }
        }
    }
    return longest;
}

Millis TestCluster::findPartAlone(const std::string& job, std::uint32_t members) {
    std::map<std::uint64_t, std::vector<Interval>> attempts;
    for (const Interval& interval : getIntervals(job)) {
        attempts[interval.m_attempt].push_back(interval);
    }
    Millis longest{0};
    for (const auto& [attempt, intervals] : attempts) {
        Millis firstFrom = Millis::max();
        Millis lastFrom{0};
        Millis firstTo = Millis::max();
        Millis lastTo{0};
        for (const Interval& interval : intervals) {
            firstFrom = std::min(firstFrom, interval.m_from);
            lastFrom = std::max(lastFrom, interval.m_from);
            firstTo = std::min(firstTo, interval.m_to);
            lastTo = std::max(lastTo, interval.m_to);
        }
        const bool isWhole = intervals.size() == members;
        const Millis alone =
                isWhole ? std::max(lastFrom - firstFrom, lastTo - firstTo) : lastTo - firstFrom;
        longest = std::max(longest, alone);
    }
    return longest;
}

}  // namespace pierbank::testing
