// SPDX-License-Identifier: Apache-2.0
#include "Promises.h"
#include "pierbank/http/HttpStatus.h"

#include <utility>

namespace pierbank::testing {

namespace {

/** Returns the state from a body `{"state":"..."}`, or an empty string for any other body. */
std::string readState(const std::string& body) {
    constexpr std::string_view HEAD = R"({"state":")";
    constexpr std::string_view TAIL = R"("})";
    if (!body.starts_with(HEAD) || !body.ends_with(TAIL)) {
        return {};
    }
    return body.substr(HEAD.size(), body.size() - HEAD.size() - TAIL.size());
}

bool isFinished(const std::string& state) {
    return state == "succeeded" || state == "failed" || state == "canceled";
}

}  // namespace

SoakJob& Promises::add(SoakJob job) {
    const std::string id = job.m_id;
    return m_jobs.emplace(id, std::move(job)).first->second;
}

void Promises::recordBreach(std::string promise, std::string subject, std::string detail) {
    if (m_reported.insert(promise + subject).second) {
        m_breaches.push_back({std::move(promise), std::move(subject), std::move(detail)});
    }
}

bool Promises::isDone(const SoakJob& job) const {
    // The success of one member counts as the success of the whole gang.
    std::uint32_t done = 0;
    for (std::uint32_t i = 0; i < job.m_tasks; ++i) {
        done += m_witness.isDone({job.m_id, 0, 0, i}) ? 1 : 0;
    }
    return job.m_isGang ? done > 0 : done == job.m_tasks;
}

std::size_t Promises::countRunning(const SoakJob& job) const {
    std::size_t running = 0;
    for (std::uint32_t i = 0; i < job.m_tasks; ++i) {
        running += m_witness.isRunning({job.m_id, 0, 0, i}) ? 1 : 0;
    }
    return running;
}

std::size_t Promises::countStarts(const SoakJob& job) const {
    std::size_t starts = 0;
    for (std::uint32_t i = 0; i < job.m_tasks; ++i) {
        starts += m_witness.countStarts({job.m_id, 0, 0, i});
    }
    return starts;
}

void Promises::recordSubmission(SoakJob& job, std::uint32_t status) {
    const bool isRefusal =
            status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY || status == HTTP_UNAUTHORIZED;
    job.m_isAccepted = job.m_isAccepted || status == HTTP_OK;
    job.m_isOnlyRefused = job.m_isOnlyRefused && isRefusal;
}

void Promises::recordState(SoakJob& job, std::uint32_t status, const std::string& body,
                           Millis requestedAt, Millis now) {
    if (status == HTTP_GONE) {
        if (job.m_isAccepted) {
            recordBreach("nothing accepted is lost", job.m_id, "410 for an accepted job");
        }
        return;
    }
    if (status != HTTP_OK) {
        return;
    }
    const std::string state = readState(body);
    if (state.empty()) {
        recordBreach("whole answers to the right caller", job.m_id,
                     "unexpected body `" + body + "`");
        return;
    }
    if (requestedAt <= job.m_lastStateAt) {
        // Two GETs were in flight at once: either response may be the older one.
        return;
    }
    if (isFinished(job.m_lastState) && state != job.m_lastState) {
        recordBreach("whole answers to the right caller", job.m_id,
                     job.m_lastState + " and later " + state);
    }
    if (state == "succeeded" && !isDone(job)) {
        recordBreach("whole answers to the right caller", job.m_id,
                     "reported as succeeded, but not all tasks succeeded on a worker");
    }
    if (state == "failed" && !job.m_isPoison) {
        recordBreach("nothing accepted is lost", job.m_id,
                     "failed although no run of the job fails");
    }
    if (state == "canceled" && !job.m_isCancelRequested) {
        recordBreach("nothing accepted is lost", job.m_id, "canceled without a DELETE");
    }
    job.m_lastState = state;
    job.m_lastStateAt = now;
    job.m_isReportedFinished = isFinished(state);
}

void Promises::recordCancellation(SoakJob& job, std::uint32_t status, bool wasAccepted) {
    job.m_isCancelRequested = true;
    if (status == HTTP_GONE && wasAccepted) {
        recordBreach("nothing accepted is lost", job.m_id, "410 to a DELETE of an accepted job");
    }
}

void Promises::recordEarlyCancellation(SoakJob& job, std::uint32_t status) {
    job.m_isCancelRequested = true;
    job.m_isCancelledInAdvance = status == HTTP_OK || status == HTTP_GONE;
}

void Promises::recordRevokedKeyProbe(std::uint32_t status, const std::string& gateway) {
    if (status == HTTP_OK) {
        recordBreach("no revoked key is served", gateway,
                     "200 for a key that was revoked long ago");
    }
}

void Promises::recordUnexpectedExit(const std::string& process) {
    recordBreach("no process ends by itself", process, "ended without a signal from the soak");
}

void Promises::checkInvariants(Millis now) {
    const auto& violations = m_witness.getViolations();
    for (; m_violationsSeen < violations.size(); ++m_violationsSeen) {
        const std::string& text = violations[m_violationsSeen];
        recordBreach("nothing runs twice", text.substr(0, text.find('.')), text);
    }
    for (auto& [id, job] : m_jobs) {
        const std::size_t running = job.m_isGang ? countRunning(job) : 0;
        const bool isPartial = running > 0 && running < job.m_tasks;
        if (!isPartial) {
            job.m_partialSince = Millis(0);
        } else if (job.m_partialSince == Millis(0)) {
            job.m_partialSince = now;
        } else if (now - job.m_partialSince > MAX_PARTIAL_GANG_TIME) {
            recordBreach("gangs run whole", id, "only some members ran for too long");
        }
    }
}

void Promises::checkEvacuations(const std::vector<Evacuation>& evacuations,
                                const std::vector<Start>& starts) {
    for (const Start& start : starts) {
        for (const Evacuation& evacuation : evacuations) {
            const bool isWithdrawn =
                    evacuation.m_until.has_value() && start.m_at >= *evacuation.m_until;
            if (start.m_domain == evacuation.m_domain && !isWithdrawn &&
                start.m_at > evacuation.m_since + MAX_EVACUATION_DELAY) {
                const Millis after = start.m_at - evacuation.m_since;
                recordBreach("nothing begins where it is evacuated", start.m_task,
                             std::to_string(after.count()) + " ms after the request, in " +
                                     start.m_domain);
            }
        }
    }
}

bool Promises::isSettled() const {
    for (const auto& [id, job] : m_jobs) {
        if ((job.m_isAccepted && !job.m_isReportedFinished) || countRunning(job) > 0) {
            return false;
        }
    }
    return true;
}

void Promises::finish() {
    for (const auto& [id, job] : m_jobs) {
        if (job.m_isAccepted && !job.m_isReportedFinished) {
            recordBreach("nothing accepted is lost", id,
                         "accepted, but the last state is `" + job.m_lastState + "`");
        }
        if (!job.m_isAccepted && job.m_isOnlyRefused && countStarts(job) > 0) {
            recordBreach("no refused job runs", id,
                         "every submission was refused, but a task was started");
        }
        if (job.m_isCancelledInAdvance && countStarts(job) > 0) {
            recordBreach("work cancelled in advance never starts", id,
                         "submitted after its cancelling was acknowledged, and started");
        }
        if (job.m_lastState == "canceled" && countRunning(job) > 0) {
            recordBreach("cancelled work is gone", id, "canceled, but still running");
        }
        if (job.m_isAccepted && !job.m_isCancelRequested && !job.m_isPoison && !isDone(job)) {
            recordBreach("nothing accepted is lost", id,
                         "accepted, but not all tasks have succeeded");
        }
    }
}

}  // namespace pierbank::testing
