// SPDX-License-Identifier: Apache-2.0
#include "Promises.h"
#include "pierbank/http/HttpStatus.h"

#include <utility>

namespace pierbank::testing {

namespace {

/** The state in `{"state":"..."}`; empty for any other body. */
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

void Promises::breach(std::string promise, std::string about, std::string detail) {
    if (m_told.insert(promise + about).second) {
        m_breaches.push_back({std::move(promise), std::move(about), std::move(detail)});
    }
}

bool Promises::isDone(const SoakJob& job) const {
    // One end counts for all members of a gang.
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

void Promises::noteSubmitted(SoakJob& job, std::uint32_t status) {
    const bool isRefusal =
            status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY || status == HTTP_UNAUTHORIZED;
    job.m_isAccepted = job.m_isAccepted || status == HTTP_OK;
    job.m_isOnlyRefused = job.m_isOnlyRefused && isRefusal;
}

void Promises::noteState(SoakJob& job, std::uint32_t status, const std::string& body,
                         Millis askedAt, Millis now) {
    if (status == HTTP_GONE) {
        if (job.m_isAccepted) {
            breach("nothing accepted is lost", job.m_id, "410 for an accepted job");
        }
        return;
    }
    if (status != HTTP_OK) {
        return;
    }
    const std::string state = readState(body);
    if (state.empty()) {
        breach("whole answers to the right caller", job.m_id, "the body is `" + body + "`");
        return;
    }
    if (askedAt <= job.m_lastStateAt) {
        // Two questions were open at once: either answer may be the older one.
        return;
    }
    if (isFinished(job.m_lastState) && state != job.m_lastState) {
        breach("whole answers to the right caller", job.m_id,
               job.m_lastState + " and later " + state);
    }
    if (state == "succeeded" && !isDone(job)) {
        breach("whole answers to the right caller", job.m_id, "succeeded, but it did not run");
    }
    if (state == "failed" && !job.m_isPoison) {
        breach("nothing accepted is lost", job.m_id, "failed without cause");
    }
    if (state == "canceled" && !job.m_isCancelRequested) {
        breach("nothing accepted is lost", job.m_id, "canceled, which nobody asked for");
    }
    job.m_lastState = state;
    job.m_lastStateAt = now;
    job.m_isToldOver = isFinished(state);
}

void Promises::noteCancelled(SoakJob& job, std::uint32_t status, bool wasAccepted) {
    job.m_isCancelRequested = true;
    if (status == HTTP_GONE && wasAccepted) {
        breach("nothing accepted is lost", job.m_id, "410 to a DELETE of an accepted job");
    }
}

void Promises::noteRevokedKey(std::uint32_t status, const std::string& gateway) {
    if (status == HTTP_OK) {
        breach("no revoked key is served", gateway, "200 to a key that was taken away long ago");
    }
}

void Promises::noteOwnEnd(const std::string& process) {
    breach("no process ends by itself", process, "it ended without a signal");
}

void Promises::look(Millis now) {
    const auto& violations = m_witness.getViolations();
    for (; m_violationsSeen < violations.size(); ++m_violationsSeen) {
        const std::string& text = violations[m_violationsSeen];
        breach("nothing runs twice", text.substr(0, text.find('.')), text);
    }
    for (auto& [id, job] : m_jobs) {
        const std::size_t running = job.m_isGang ? countRunning(job) : 0;
        const bool isPart = running > 0 && running < job.m_tasks;
        if (!isPart) {
            job.m_partSince = Millis(0);
        } else if (job.m_partSince == Millis(0)) {
            job.m_partSince = now;
        } else if (now - job.m_partSince > PART_BOUND) {
            breach("gangs run whole", id, "a part ran alone for too long");
        }
    }
}

void Promises::checkEvacuations(const std::vector<Evacuation>& evacuations,
                                const std::vector<Start>& starts) {
    for (const Start& start : starts) {
        for (const Evacuation& one : evacuations) {
            const bool isOpen = one.m_until.has_value() && start.m_at >= *one.m_until;
            if (start.m_domain == one.m_domain && !isOpen &&
                start.m_at > one.m_since + EVACUATION_BOUND) {
                const Millis after = start.m_at - one.m_since;
                breach("nothing begins where it is evacuated", start.m_task,
                       std::to_string(after.count()) + " ms after that was asked for, in " +
                               start.m_domain);
            }
        }
    }
}

bool Promises::isSettled() const {
    for (const auto& [id, job] : m_jobs) {
        if ((job.m_isAccepted && !job.m_isToldOver) || countRunning(job) > 0) {
            return false;
        }
    }
    return true;
}

void Promises::finish() {
    for (const auto& [id, job] : m_jobs) {
        if (job.m_isAccepted && !job.m_isToldOver) {
            breach("nothing accepted is lost", id,
                   "accepted, and at the end `" + job.m_lastState + "`");
        }
        if (!job.m_isAccepted && job.m_isOnlyRefused && countStarts(job) > 0) {
            breach("no refused job runs", id, "refused each time, and started");
        }
        if (job.m_lastState == "canceled" && countRunning(job) > 0) {
            breach("cancelled work is gone", id, "canceled, and it still runs");
        }
        if (job.m_isAccepted && !job.m_isCancelRequested && !job.m_isPoison && !isDone(job)) {
            breach("nothing accepted is lost", id, "accepted, and it was not run to its end");
        }
    }
}

}  // namespace pierbank::testing
