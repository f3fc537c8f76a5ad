// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RecordKeeper.h"

#include <algorithm>
#include <string>
#include <utility>

#include "pierbank/base/Log.h"

namespace pierbank {

bool RecordKeeper::keep(const LearnedRecord& record, std::uint64_t epoch, Millis now) {
    if (record.m_epoch != epoch) {
        return refuse(record, "not from the present leader");
    }
    const std::pair version(record.m_epoch, record.m_sequence);
    if (m_record.has_value() && version <= std::pair(m_record->m_epoch, m_record->m_sequence)) {
        return refuse(record, "older than the kept record");
    }
    m_record = record;
    m_receivedAt = now;
    return true;
}

bool RecordKeeper::refuse(const LearnedRecord& record, std::string_view reason) const {
    const bool hasKept = m_record.has_value();
    logEvent(Severity::WARNING, "agent", "record-refused",
             {{"reason", std::string(reason)},
              {"epoch", std::to_string(record.m_epoch)},
              {"sequence", std::to_string(record.m_sequence)},
              {"kept_epoch", hasKept ? std::to_string(m_record->m_epoch) : "-"},
              {"kept_sequence", hasKept ? std::to_string(m_record->m_sequence) : "-"}});
    return false;
}

std::optional<KeptRecord> RecordKeeper::getKept(std::string_view present, Millis now) const {
    if (!m_record.has_value()) {
        return std::nullopt;
    }
    const Millis age = std::max(now - m_receivedAt, Millis(0));
    KeptRecord kept{*m_record, static_cast<std::uint64_t>(age.count())};
    if (kept.m_record.m_incarnation != present) {
        kept.m_record.m_incarnation.clear();
        kept.m_record.m_logSpeed = 0;
        kept.m_record.m_speedSamples = 0;
    }
    return kept;
}

}  // namespace pierbank
