// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBINTAKECALL_H
#define PIERBANK_CONTROL_JOBINTAKECALL_H

#include <optional>
#include <string>

#include "pierbank/control/JobIntake.h"

namespace pierbank {

/** One request on its way through the intake. */
struct JobIntake::Call {
    IntakeRequest m_request;
    AnswerCallback m_done;
    Millis m_startedAt{0};
    /** Set by route(); before it only what the path seems to name, for the log. */
    std::string m_id;
    /** Set by route(). */
    QueuePolicy m_policy;
    std::string m_organisation;
    /** The queue by the configuration at hand, which nothing may have confirmed. */
    std::optional<QueuePolicy> m_likelyPolicy;
    StoreRevision m_configurationRevision = 0;
    /** The leader was asked how old the configuration is. */
    bool m_isRefreshed = false;
    /** The configuration was confirmed by a read sent after the request came. */
    bool m_isConfirmed = false;
    /** When it last went out. */
    Millis m_submittedAt{0};
    /** The record that goes to the store. */
    std::string m_written;
    std::uint32_t m_tries = 0;
    bool m_isAnswered = false;

    /** An answer that is given if the leader has no better one. */
    struct Fallback {
        std::uint32_t m_status = 0;
        std::string m_reason;
    };
    /** What this gateway itself came to; empty while it still tries. */
    std::optional<Fallback> m_own;
    enum class Relay : std::uint8_t { NOT_ASKED, ASKED, ENDED };
    Relay m_relay = Relay::NOT_ASKED;
    /** The leader's answer; empty when none came in time. */
    std::optional<IntakeAnswer> m_relayed;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBINTAKECALL_H
