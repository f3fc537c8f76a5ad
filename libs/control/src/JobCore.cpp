// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/JobCore.h"

namespace pierbank {

JobCore::JobCore(RecordStore& store, EventLoop& loop, Transport& transport,
                 const DocumentCodec& codec, const JobCoreSettings& settings)
        : m_configuration(store, loop, codec, settings.m_configuration),
          m_intake(store, loop, m_configuration, codec, settings.m_intake),
          m_lock(store, loop, settings.m_leader),
          m_jobs(store, loop, m_configuration, transport, settings.m_workers, settings.m_jobs) {
    m_configuration.onChange([this] { m_jobs.handleConfiguration(); });
    m_lock.onAcquired([this](StoreRevision epoch) {
        m_jobs.lead(epoch, [this] { return m_lock.getConfirmedAt(); });
    });
    m_lock.onLost([this] { m_jobs.stepDown(); });
    m_jobs.onDisowned([this] { m_lock.abandon(); });
}

void JobCore::start() {
    m_configuration.start();
    m_lock.start();
}

}  // namespace pierbank
