// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_ADVISOR_H
#define PIERBANK_CONTROL_ADVISOR_H

#include <functional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** A worker that may run a step, with the ticket that a start on this worker must present. */
struct AdvisedWorker {
    std::string m_incarnation;
    std::string m_ticket;
};

/** Answer of the advisor to one query. */
struct AdviceReply {
    /**
     * False if the query was refused or no complete answer arrived. The query may be repeated
     * later.
     */
    bool m_isComplete = false;
    /** The queried workers that may run the step; the others may not. */
    std::vector<AdvisedWorker> m_workers;
    /** Reason for the failure. */
    std::string m_reason;
};

/**
 * The service that decides which workers may run the steps of a queue with placement advice. No
 * other component can derive this decision.
 */
class Advisor {
public:
    /** Maximum number of workers in one query, as limited by the platform. */
    static constexpr std::size_t MAX_WORKERS = 100;

    virtual ~Advisor() = default;

    /**
     * Queries which workers may run a step. `done` is called with the answer.
     *
     * @param step `JOB.OCCURRENCE.STEP`.
     * @param incarnations workers to query, at most MAX_WORKERS.
     * @param timeout if no answer arrives within this time, the reply is marked as failed.
     */
    virtual void advise(const std::string& step, const std::vector<std::string>& incarnations,
                        Millis timeout, std::function<void(const AdviceReply&)> done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_ADVISOR_H
