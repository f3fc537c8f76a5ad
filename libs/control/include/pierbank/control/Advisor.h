// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_ADVISOR_H
#define PIERBANK_CONTROL_ADVISOR_H

#include <functional>
#include <string>
#include <vector>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** A worker that may run a step, and what a start there has to bring. */
struct AdvisedWorker {
    std::string m_incarnation;
    std::string m_ticket;
};

struct AdviceReply {
    /** False: no whole answer, or refused; ask again later. */
    bool m_isGood = false;
    /** Those of the workers asked about that may run the step. */
    std::vector<AdvisedWorker> m_workers;
    std::string m_reason;
};

/** The service that alone knows which workers may run the steps of a queue with advice. */
class Advisor {
public:
    /** Workers of one question at most (users' bound). */
    static constexpr std::size_t MAX_WORKERS = 100;

    virtual ~Advisor() = default;

    /**
     * @param step `JOB.OCCURRENCE.STEP`.
     * @param patience after this time without an answer the reply is not good.
     */
    virtual void advise(const std::string& step, const std::vector<std::string>& incarnations,
                        Millis patience, std::function<void(const AdviceReply&)> done) = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_ADVISOR_H
