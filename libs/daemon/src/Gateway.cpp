// SPDX-License-Identifier: Apache-2.0
#include "pierbank/daemon/Gateway.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/http/HttpStatus.h"

namespace pierbank {

namespace {

/** A caller that names no timeout. */
constexpr std::int64_t DEFAULT_PATIENCE_MS = 3000;

std::string stripPort(std::string_view host) {
    return std::string(host.substr(0, host.find(':')));
}

Millis readTimeout(std::string_view text) {
    std::int64_t millis = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), millis);
    const bool isGood = result.ec == std::errc() && millis > 0;
    return Millis(isGood ? millis : DEFAULT_PATIENCE_MS);
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
          m_front([this](const HttpServerRequest& request,
                         const std::shared_ptr<HttpServerCall>& call) {
              handleCaller(request, call);
          }),
          m_ready([this](const HttpServerRequest&, const std::shared_ptr<HttpServerCall>& call) {
              handleReady(call);
          }),
          m_backend(m_store, loop, m_core, m_callers),
          m_operators(m_backend, client, m_settings.m_tokens) {
    m_backend.setCountingStore(m_store);
}

Gateway::~Gateway() = default;

bool Gateway::start(Reason& reason) {
    if (!m_front.listen(m_settings.m_front, reason) ||
        !m_ready.listen(m_settings.m_ready, reason) ||
        !m_operators.listen(m_settings.m_operators, reason)) {
        return false;
    }
    logEvent(Severity::INFO, "gateway", "started",
             {{"name", m_settings.m_name},
              {"front", m_settings.m_front.toText()},
              {"operators", m_settings.m_operators.toText()},
              {"store", m_settings.m_store.toText()}});
    return m_core.start(reason);
}

void Gateway::handleCaller(const HttpServerRequest& request,
                           const std::shared_ptr<HttpServerCall>& call) {
    IntakeRequest asked;
    asked.m_method = request.m_method;
    asked.m_host = stripPort(request.getHeader("Host"));
    asked.m_path = request.m_target.substr(0, request.m_target.find('?'));
    asked.m_key = request.getHeader(m_headers.m_key);
    asked.m_body = request.m_body;
    asked.m_timeout = readTimeout(request.getHeader(m_headers.m_patience));
    ++m_inProgress;
    m_core.getIntake().handle(
            std::move(asked), [this, call, startedAt = m_loop.now()](const IntakeAnswer& answer) {
                HttpServerAnswer out;
                out.m_status = answer.m_status;
                out.m_body = answer.m_body;
                if (!answer.m_body.empty()) {
                    out.m_headers.push_back({"Content-Type", "application/json"});
                }
                if (answer.m_retryAfter > Millis(0)) {
                    out.m_headers.push_back({"Retry-After", roundUpToSeconds(answer.m_retryAfter)});
                }
                if (m_isLeaving) {
                    out.m_headers.push_back({"Connection", "close"});
                }
                ++(answer.m_status == HTTP_OK ? m_callers.m_served : m_callers.m_refused);
                m_callers.m_latency.add(m_loop.now() - startedAt);
                call->answer(out);
                --m_inProgress;
            });
}

void Gateway::handleReady(const std::shared_ptr<HttpServerCall>& call) const {
    const bool isReady = !m_isLeaving && m_core.isReady(m_settings.m_readyAge);
    HttpServerAnswer answer;
    answer.m_status = isReady ? HTTP_OK : HTTP_UNAVAILABLE;
    call->answer(answer);
}

void Gateway::leave(std::function<void()> done) {
    if (m_isLeaving) {
        return;
    }
    logEvent(Severity::INFO, "gateway", "leaving", {{"in_progress", std::to_string(m_inProgress)}});
    m_isLeaving = true;
    m_onLeft = std::move(done);
    m_core.release();
    m_loop.callLater(m_settings.m_leaveTime, [this] {
        m_front.stopListening();
        m_isClosing = true;
        finishLeaving();
    });
    m_loop.callLater(m_settings.m_drainTime, [this] { std::exchange(m_onLeft, [] {})(); });
}

void Gateway::finishLeaving() {
    // Answers given a moment ago may still be on their way out.
    constexpr Millis FLUSH{150};
    if (m_inProgress == 0) {
        m_loop.callLater(FLUSH, [this] { std::exchange(m_onLeft, [] {})(); });
        return;
    }
    m_loop.callLater(FLUSH, [this] { finishLeaving(); });
}

}  // namespace pierbank
