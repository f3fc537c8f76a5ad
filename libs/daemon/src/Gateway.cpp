// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/Gateway.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/http/HttpStatus.h"

namespace pierbank {

namespace {

/** Time that a caller without the header is assumed to wait. */
constexpr std::int64_t DEFAULT_CALLER_TIMEOUT_MS = 3000;

std::string stripPort(std::string_view host) {
    return std::string(host.substr(0, host.find(':')));
}

Millis parseCallerTimeout(std::string_view text) {
    std::int64_t millis = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool isValid = result.ec == std::errc() && millis > 0;
    return Millis(isValid ? millis : DEFAULT_CALLER_TIMEOUT_MS);
}

std::string roundUpToSeconds(Millis time) {
    constexpr std::int64_t SECOND = 1000;
    return std::to_string((time.count() + SECOND - 1) / SECOND);
}

}  // namespace

Gateway::Gateway(const PlatformPorts& platform, EventLoop& loop, Transport& transport,
                 HttpClient& client, CallerHeaders headers, GatewaySettings settings)
        : m_loop(loop),
          m_headers(std::move(headers)),
          m_settings(std::move(settings)),
          m_store(platform.m_store),
          m_core({m_store, platform.m_advisor, platform.m_fleet, platform.m_codec}, loop, transport,
                 m_settings.m_core),
          m_callerServer([this](const HttpServerRequest& request,
                                const std::shared_ptr<HttpServerCall>& call) {
              handleCallerRequest(request, call);
          }),
          m_readinessServer(
                  [this](const HttpServerRequest&, const std::shared_ptr<HttpServerCall>& call) {
                      handleReadinessCheck(call);
                  }),
          m_backend(m_store, loop, m_core, m_callers),
          m_operators(m_backend, client, m_settings.m_tokens) {
    m_backend.setCountingStore(m_store);
}

Gateway::~Gateway() = default;

bool Gateway::start(Reason& reason) {
    if (!m_callerServer.listen(m_settings.m_callerAddress, reason) ||
        !m_readinessServer.listen(m_settings.m_readinessAddress, reason) ||
        !m_operators.listen(m_settings.m_operators, reason)) {
        return false;
    }
    logEvent(Severity::INFO, "gateway", "started",
             {{"name", m_settings.m_name},
              {"front", m_settings.m_callerAddress.toText()},
              {"operators", m_settings.m_operators.toText()},
              {"store", m_settings.m_store.toText()}});
    return m_core.start(reason);
}

void Gateway::handleCallerRequest(const HttpServerRequest& request,
                                  const std::shared_ptr<HttpServerCall>& call) {
    IntakeRequest intakeRequest;
    intakeRequest.m_method = request.m_method;
    intakeRequest.m_host = stripPort(request.getHeader("Host"));
    intakeRequest.m_path = request.m_target.substr(0, request.m_target.find('?'));
    intakeRequest.m_key = request.getHeader(m_headers.m_apiKey);
    intakeRequest.m_body = request.m_body;
    intakeRequest.m_timeout = parseCallerTimeout(request.getHeader(m_headers.m_timeout));
    ++m_pendingRequests;
    m_core.getIntake().handle(std::move(intakeRequest), [this, call, startedAt = m_loop.now()](
                                                                const IntakeAnswer& answer) {
        HttpServerAnswer response;
        response.m_status = answer.m_status;
        response.m_body = answer.m_body;
        if (!answer.m_body.empty()) {
            response.m_headers.push_back({"Content-Type", "application/json"});
        }
        if (answer.m_retryAfter > Millis(0)) {
            response.m_headers.push_back({"Retry-After", roundUpToSeconds(answer.m_retryAfter)});
        }
        if (m_isShuttingDown) {
            response.m_headers.push_back({"Connection", "close"});
        }
        ++(answer.m_status == HTTP_OK ? m_callers.m_served : m_callers.m_refused);
        m_callers.m_latency.add(m_loop.now() - startedAt);
        call->answer(response);
        --m_pendingRequests;
    });
}

void Gateway::handleReadinessCheck(const std::shared_ptr<HttpServerCall>& call) const {
    const bool isReady = !m_isShuttingDown && m_core.isReady(m_settings.m_maxReadyAge);
    HttpServerAnswer answer;
    answer.m_status = isReady ? HTTP_OK : HTTP_UNAVAILABLE;
    call->answer(answer);
}

void Gateway::shutDown(std::function<void()> done) {
    if (m_isShuttingDown) {
        return;
    }
    logEvent(Severity::INFO, "gateway", "leaving",
             {{"in_progress", std::to_string(m_pendingRequests)}});
    m_isShuttingDown = true;
    m_onShutDown = std::move(done);
    m_core.release();
    m_loop.callLater(m_settings.m_stopListeningDelay, [this] {
        m_callerServer.stopListening();
        m_hasStoppedListening = true;
        awaitPendingRequests();
    });
    m_loop.callLater(m_settings.m_drainTimeout, [this] { std::exchange(m_onShutDown, [] {})(); });
}

void Gateway::awaitPendingRequests() {
    // The last responses may not have been sent completely yet.
    constexpr Millis FLUSH_DELAY{150};
    if (m_pendingRequests == 0) {
        m_loop.callLater(FLUSH_DELAY, [this] { std::exchange(m_onShutDown, [] {})(); });
        return;
    }
    m_loop.callLater(FLUSH_DELAY, [this] { awaitPendingRequests(); });
}

}  // namespace pierbank
