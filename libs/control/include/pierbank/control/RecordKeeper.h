// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RECORDKEEPER_H
#define PIERBANK_CONTROL_RECORDKEEPER_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "pierbank/base/Clock.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * Keeps at a sidecar the latest record of what a leader has learned about the worker, for the next
 * leader. The record is lost when the sidecar terminates. Owned by WorkerAgent.
 */
class RecordKeeper {
public:
    /**
     * Replaces the kept record, unless the new one is not from the obeyed leader or is older than
     * the kept one; this is logged.
     * @param epoch epoch of the leader that the sidecar obeys.
     * @return whether the record was kept.
     */
    bool keep(const LearnedRecord& record, std::uint64_t epoch, Millis now);
    /**
     * Returns the kept record with its age; empty if there is none. The speed is left out if it
     * belongs to another incarnation than the present one, which may run on another machine.
     * Evidence against the host is not: it belongs to the address.
     * @param present present incarnation of the worker.
     */
    std::optional<KeptRecord> getKept(std::string_view present, Millis now) const;

private:
    bool refuse(const LearnedRecord& record, std::string_view reason) const;

    std::optional<LearnedRecord> m_record;
    Millis m_receivedAt{0};
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RECORDKEEPER_H
