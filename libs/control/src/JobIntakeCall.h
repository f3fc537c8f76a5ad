// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBINTAKECALL_H
#define PIERBANK_CONTROL_JOBINTAKECALL_H

#include <optional>
#include <string>

#include "pierbank/control/JobIntake.h"

namespace pierbank {

/** Maximum number of a request's writes while other writes keep conflicting with them. */
inline constexpr std::uint32_t MAX_TRIES = 5;

/** State of one request until its answer. */
struct JobIntake::Call {
    IntakeRequest m_request;
    AnswerCallback m_done;
    Millis m_startedAt{0};
    /** Job id. Set by route(); before that, the id that the path ends in, if any, for the log. */
    std::string m_id;
    /** Queue and organisation of the request; set by route(). */
    QueuePolicy m_policy;
    std::string m_organisation;
    /** Queue according to the local configuration, which may not be confirmed. */
    std::optional<QueuePolicy> m_likelyPolicy;
    StoreRevision m_configurationRevision = 0;
    /** Whether the age of the configuration was queried for this request. */
    bool m_isRefreshed = false;
    /** Whether a read sent after the arrival of the request confirmed the configuration. */
    bool m_isConfirmed = false;
    /** Time of the last write of the job record. */
    Millis m_submittedAt{0};
    /** Encoded job record, as written to the store. */
    std::string m_encodedRecord;
    /**
     * Request to cancel the job in advance that the store has returned; revision 0 without one.
     */
    StoreItem m_earlyCancel;
    /** Whether the job is written as cancelled, by the organisation that submits it. */
    bool m_isCancelledInAdvance = false;
    /**
     * Number of writes that conflicted with a change of the configuration or with a cancel in
     * advance.
     */
    std::uint32_t m_tries = 0;
    /** Minimum delay that a refused caller is told. */
    Millis m_minRetryDelay{0};
    bool m_isAnswered = false;

    /** Answer that this gateway gives unless the leader has a better answer. */
    struct Fallback {
        std::uint32_t m_status = 0;
        std::string m_reason;
    };
    /** Empty while this gateway still tries to complete the request itself. */
    std::optional<Fallback> m_fallback;
    enum class RelayState : std::uint8_t { NOT_SENT, SENT, FINISHED };
    RelayState m_relayState = RelayState::NOT_SENT;
    /** Answer of the leader; empty if no answer came in time. */
    std::optional<IntakeAnswer> m_leaderAnswer;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBINTAKECALL_H
