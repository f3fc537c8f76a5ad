// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobCore.h"

#include "pierbank/control/Registration.h"
#include "pierbank/control/StoreKeys.h"
#include "pierbank/wire/HttpHeaders.h"

namespace pierbank {

namespace {

// Fields of a relayed request.
constexpr const char* HOST_FIELD = "host";
constexpr const char* KEY_FIELD = "key";

}  // namespace

JobCore::JobCore(RecordStore& store, EventLoop& loop, Transport& transport,
                 const DocumentCodec& codec, const JobCoreSettings& settings)
        : m_store(store),
          m_loop(loop),
          m_transport(transport),
          m_links(settings.m_links),
          m_configuration(store, loop, codec, settings.m_configuration),
          m_intake(store, loop, m_configuration, codec, settings.m_intake),
          m_lock(store, loop, settings.m_leader),
          m_jobs(store, loop, m_configuration, transport, settings.m_workers, settings.m_jobs),
          m_leaderLink(loop) {
    m_intake.onWritten([this](std::string_view key) { m_leaderLink.notify(key); });
    m_configuration.onChange([this] { m_jobs.handleConfiguration(); });
    m_lock.onAcquired([this](StoreRevision epoch) {
        m_jobs.lead(epoch, [this] { return m_lock.getConfirmedAt(); });
    });
    m_lock.onLost([this] { m_jobs.stepDown(); });
    // A leader that can't reach the store learns in this way that it was replaced.
    m_leaderLink.onLeader([this](std::uint64_t epoch) {
        if (m_lock.isHeld() && epoch > m_lock.getEpoch()) {
            m_lock.abandon();
        }
    });
    m_intake.setRelay(*this);
    m_jobs.onRelayed(
            [this](const ForwardRequest& request, std::function<void(const ForwardAnswer&)> done) {
                answerRelayed(request, std::move(done));
            });
    m_jobs.onDisowned([this] { m_lock.abandon(); });
}

bool JobCore::start(Reason& reason) {
    const auto onLink = [this](std::shared_ptr<Link> link) {
        m_leaderLink.handleLink(std::move(link));
    };
    if (!m_transport.listen(m_links, onLink, reason)) {
        return false;
    }
    registerAddress(m_store, m_loop, getGatewayKey(m_links.toText()), m_isAlive);
    m_configuration.start();
    m_lock.start();
    return true;
}

bool JobCore::isReady(Millis maxAge) const {
    const auto age = m_configuration.getAge();
    return (age.has_value() && *age <= maxAge) || isUsable();
}

bool JobCore::isUsable() const {
    return !m_jobs.isLeading() && m_leaderLink.isUsable();
}

void JobCore::relay(const IntakeRequest& request, Millis patience,
                    std::function<void(const std::optional<IntakeAnswer>&)> done) {
    ForwardRequest forward;
    forward.m_method = request.m_method;
    forward.m_path = request.m_path;
    forward.m_headers = {{HOST_FIELD, request.m_host}, {KEY_FIELD, request.m_key}};
    forward.m_body = request.m_body;
    forward.m_remainingMs = static_cast<std::uint64_t>(patience.count());
    m_leaderLink.relay(std::move(forward), patience,
                       [done = std::move(done)](const ForwardAnswer& answer) {
                           if (answer.m_status == 0) {
                               done(std::nullopt);
                               return;
                           }
                           IntakeAnswer relayed;
                           relayed.m_status = answer.m_status;
                           relayed.m_body = answer.m_body;
                           done(relayed);
                       });
}

void JobCore::answerRelayed(const ForwardRequest& request,
                            std::function<void(const ForwardAnswer&)> done) {
    IntakeRequest asked;
    asked.m_method = request.m_method;
    asked.m_path = request.m_path;
    asked.m_host = findHeader(request.m_headers, HOST_FIELD);
    asked.m_key = findHeader(request.m_headers, KEY_FIELD);
    asked.m_body = request.m_body;
    asked.m_patience = Millis(request.m_remainingMs);
    asked.m_isRelayed = true;
    m_intake.handle(std::move(asked), [done = std::move(done)](const IntakeAnswer& answer) {
        ForwardAnswer out;
        out.m_status = answer.m_status;
        out.m_body = answer.m_body;
        done(out);
    });
}

}  // namespace pierbank
