// SPDX-License-Identifier: Apache-2.0
// pierbank-load: a bounded load of requests on one address, over a fixed number of connections in
// flight. Prints the rate, quantiles of the latency, and what became of the requests.
#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "pierbank/base/GlibEventLoop.h"
#include "pierbank/platform/HttpClient.h"

namespace {

using namespace pierbank;
namespace po = boost::program_options;
using SteadyClock = std::chrono::steady_clock;

struct LoadOptions {
    std::string m_address;
    std::string m_path = "/";
    std::string m_label = "load";
    std::uint32_t m_requests = 5000;
    std::uint32_t m_inFlight = 16;
    std::uint32_t m_bodyBytes = 200;
    bool m_isNever = false;
};

/** Keeps a number of requests in flight until all are answered. */
class Load {
public:
    Load(GlibEventLoop& loop, const LoadOptions& options, Address address)
            : m_loop(loop), m_options(options), m_address(std::move(address)) {}

    void run() {
        m_startedAt = SteadyClock::now();
        for (std::uint32_t i = 0; i < m_options.m_inFlight; ++i) {
            sendNext();
        }
        m_loop.run();
        report();
    }

private:
    void sendNext() {
        if (m_sent == m_options.m_requests) {
            return;
        }
        HttpCall call;
        call.m_method = "POST";
        call.m_address = m_address;
        call.m_target = m_options.m_path;
        call.m_timeout = Millis(30'000);
        call.m_body.assign(m_options.m_bodyBytes, 'x');
        const std::string id = m_options.m_label + "-" + std::to_string(m_sent++);
        call.m_headers = {{"Pierbank-Organisation", "factoring"}, {"X-Test-Id", id}};
        call.m_headers.push_back({"Pierbank-Repeat", m_options.m_isNever ? "never" : "allowed"});
        const auto sentAt = SteadyClock::now();
        m_client.send(call, [this, id, sentAt](const HttpResult& result) {
            const std::chrono::duration<double, std::milli> took = SteadyClock::now() - sentAt;
            m_latencies.push_back(took.count());
            std::string outcome = result.getHeader("Pierbank-Outcome");
            if (outcome.empty()) {
                outcome = result.m_status == 0 ? "no answer" : std::to_string(result.m_status);
            }
            ++m_outcomes[outcome];
            const bool isAnswered = result.m_status == 200;
            m_wrong += isAnswered && result.getHeader("X-Echo-Id") != id ? 1 : 0;
            if (m_latencies.size() == m_options.m_requests) {
                m_loop.quit();
            }
            sendNext();
        });
    }

    void report() {
        const std::chrono::duration<double> took = SteadyClock::now() - m_startedAt;
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto at = [this](double part) {
            return m_latencies[static_cast<std::size_t>(
                    part * static_cast<double>(m_latencies.size() - 1))];
        };
        std::printf(
                "%s: %u requests, %u in flight: %.0f a second; ms: median %.3f, p95 %.3f, "
                "p99 %.3f, worst %.3f; wrong answers %u;",
                m_options.m_label.c_str(), m_options.m_requests, m_options.m_inFlight,
                m_options.m_requests / took.count(), at(0.5), at(0.95), at(0.99), at(1.0), m_wrong);
        for (const auto& [outcome, count] : m_outcomes) {
            std::printf(" %s %u", outcome.c_str(), count);
        }
        std::puts("");
    }

    GlibEventLoop& m_loop;
    const LoadOptions& m_options;
    Address m_address;
    HttpClient m_client;
    std::uint32_t m_sent = 0;
    std::uint32_t m_wrong = 0;
    std::vector<double> m_latencies;
    std::map<std::string, std::uint32_t> m_outcomes;
    SteadyClock::time_point m_startedAt;
};

}  // namespace

int main(int argc, char** argv) {
    LoadOptions options;
    po::options_description description("pierbank-load");
    description.add_options()("address", po::value(&options.m_address)->required(),
                              "IP:PORT, on the loopback")(
            "path", po::value(&options.m_path), "path")("label", po::value(&options.m_label),
                                                        "for the report")(
            "requests", po::value(&options.m_requests), "how many")(
            "in-flight", po::value(&options.m_inFlight), "at a time")(
            "body", po::value(&options.m_bodyBytes), "bytes of each body")(
            "never", po::bool_switch(&options.m_isNever), "marked as not to be repeated");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    const auto address = Address::parse(options.m_address);
    const bool isLoopback = address.has_value() && address->m_host.starts_with("127.");
    if (!isLoopback || options.m_requests == 0) {
        std::cerr << "pierbank-load: an address on the loopback and at least one request\n";
        return 2;
    }
    GlibEventLoop loop;
    Load(loop, options, *address).run();
    return 0;
}
