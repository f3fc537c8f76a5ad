// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobCore.h"

#include "pierbank/control/Registration.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

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

}  // namespace pierbank
