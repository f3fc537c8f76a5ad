// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/EvacuationFeed.h"

#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/base/UnreadableInputs.h"
#include "pierbank/control/StoreKeys.h"

namespace pierbank {

namespace {

/** Maximum age of a list that is used for placing work, as a share of m_maxEnforcementDelay. */
constexpr double MAX_AGE_SHARE = 0.6;

}  // namespace

void EvacuationFeed::start() {
    stop();
    m_term = std::make_shared<bool>(true);
    read();
}

void EvacuationFeed::stop() {
    m_term.reset();
    m_domains.clear();
    m_confirmedAt.reset();
}

bool EvacuationFeed::isUpToDate() const {
    const auto maxAge =
            MAX_AGE_SHARE * static_cast<double>(m_settings.m_maxEnforcementDelay.count());
    return m_confirmedAt.has_value() &&
           static_cast<double>((m_loop.now() - *m_confirmedAt).count()) <= maxAge;
}

void EvacuationFeed::read() {
    const Millis sentAt = m_loop.now();
    m_store.list(EVACUATION_PREFIX,
                 [this, sentAt, term = std::weak_ptr(m_term)](const StoreList& list) {
                     if (term.expired()) {
                         return;
                     }
                     if (list.m_status == StoreStatus::OK) {
                         handleRead(list, sentAt);
                     }
                     m_loop.callLater(m_settings.m_interval, [this, term] {
                         if (!term.expired()) {
                             read();
                         }
                     });
                 });
}

void EvacuationFeed::handleRead(const StoreList& list, Millis sentAt) {
    const bool wasUpToDate = isUpToDate();
    m_confirmedAt = sentAt;
    const Domains before = std::exchange(m_domains, readDomains(list));
    if (m_domains != before) {
        logChanges(before);
    }
    if ((m_domains != before || !wasUpToDate) && m_onChange) {
        m_onChange();
    }
}

EvacuationFeed::Domains EvacuationFeed::readDomains(const StoreList& list) {
    Domains domains;
    for (const StoreItem& item : list.m_items) {
        const std::string domain = item.m_key.substr(EVACUATION_PREFIX.size());
        if (domain.empty() || domain.find('/') != std::string::npos) {
            reportUnreadable("evacuations", "unreadable", {{"key", item.m_key}});
            continue;
        }
        domains.emplace(domain, item.m_revision);
    }
    return domains;
}

void EvacuationFeed::logChanges(const Domains& before) const {
    for (const auto& [domain, revision] : m_domains) {
        const auto known = before.find(domain);
        if (known == before.end() || known->second != revision) {
            logEvent(Severity::INFO, "evacuations", "asked",
                     {{"domain", domain}, {"revision", std::to_string(revision)}});
        }
    }
    for (const auto& [domain, revision] : before) {
        if (m_domains.count(domain) == 0) {
            logEvent(Severity::INFO, "evacuations", "withdrawn",
                     {{"domain", domain}, {"asked_at", std::to_string(revision)}});
        }
    }
}

}  // namespace pierbank
