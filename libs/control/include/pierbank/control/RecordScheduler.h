// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RECORDSCHEDULER_H
#define PIERBANK_CONTROL_RECORDSCHEDULER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/control/HostRecord.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/**
 * Decides which hosts get their record from the leader, and when: only hosts about which something
 * was learned, each seldom, and few at a time. The leader calls recordChange() whenever it learns
 * something, takeDue() at intervals, and sends the frame that makeFrame() returns for each host.
 */
class RecordScheduler {
public:
    /**
     * Minimum time between two records of a host. A leader that is replaced loses what it learned
     * in this time; speeds and failures take several runs of a second or more to learn.
     */
    static constexpr Millis MIN_INTERVAL{2000};
    /** Mean number of bytes that a host gets at most, beside 1 KB/s of leases and reports. */
    static constexpr std::int64_t MAX_BYTES_PER_SECOND = 50;
    /** Maximum number of hosts that takeDue() returns, so that records never delay other work. */
    static constexpr std::size_t MAX_HOSTS_AT_ONCE = 2;
    /** Time after which a host's record is sent even if it differs little from the last one. */
    static constexpr Millis REFRESH_INTERVAL{30'000};

    /** Begins a term; forgets the previous one. @param epoch epoch of the leader. */
    void start(std::uint64_t epoch);
    /** Marks a host: something was learned about it. Cheap if the host is marked already. */
    void recordChange(const std::string& host, Millis now);
    /** Handles that a host's sidecar has a record of a former leader, which has to be replaced. */
    void recordKept(const std::string& host) { m_sent.try_emplace(host); }
    /** Handles the loss of a host's link: its sidecar may be another process when it returns. */
    void handleUnlinked(const std::string& host);
    /** Forgets a host that the leader forgets. */
    void forget(const std::string& host);
    /** Returns the marked hosts that are due, the longest due first, and removes their marks. */
    std::vector<std::string> takeDue(Millis now);
    /**
     * Returns the frame with a host's record.
     * @return empty if the record differs too little from the last one.
     */
    std::optional<LearnedRecord> makeFrame(const std::string& host, const HostRecord& record,
                                           Millis now);

private:
    /** What the sidecar of a host was sent last, or may have from a former leader. */
    struct Sent {
        /** Empty if the sidecar may have another record, or none. */
        std::optional<HostRecord> m_record;
        Millis m_at{0};
        /** Earliest time of the next record. */
        Millis m_nextAt{0};
    };

    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Sent> m_sent;
    /** Marked hosts, in the order in which they are due. */
    std::set<std::pair<Millis, std::string>> m_queue;
    /** When each marked host is due. */
    std::map<std::string, Millis> m_dueAt;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RECORDSCHEDULER_H
