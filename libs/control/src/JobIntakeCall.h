// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBINTAKECALL_H
#define PIERBANK_CONTROL_JOBINTAKECALL_H

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
    StoreRevision m_configurationRevision = 0;
    /** The configuration was confirmed by a read sent after the request came. */
    bool m_isConfirmed = false;
    std::uint32_t m_tries = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBINTAKECALL_H
