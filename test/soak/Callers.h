// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_CALLERS_H
#define PIERBANK_TEST_SOAK_CALLERS_H

#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/http/HttpClient.h"
#include "Promises.h"

namespace pierbank::testing {

/**
 * Load generator of the soak: submits jobs to random gateways, retries as the platform's clients
 * do, polls job states and cancels some jobs. Connections are kept alive. Every result is passed to
 * Promises. Runs on the event loop.
 */
class Callers {
public:
    /**
     * The references must outlive this object.
     * @param fronts addresses of the gateways' HTTP endpoints for callers.
     * @param seed determines the jobs, the pauses and the choice of gateways.
     */
    Callers(EventLoop& loop, HttpClient& client, Promises& promises, std::vector<Address> fronts,
            std::uint64_t seed);
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /**
     * Sets the API key of all further calls. The previous key counts as revoked from now on and is
     * probed until the end of the soak.
     */
    void setKey(std::string key);
    /** Starts to submit and to poll. */
    void start();
    /** Stops submitting new jobs; the states of submitted jobs are still polled. */
    void stop() { m_isStopped = true; }

private:
    /** Schedules the next submission after a random pause. */
    void scheduleSubmission();
    /** Creates a random job and submits it; one job in six is cancelled later. */
    void submitOne();
    /** Schedules the next job that is cancelled before it is submitted. */
    void scheduleEarlyCancel();
    /**
     * Cancels a job that was not submitted yet, and submits it some time after the cancel was
     * acknowledged. To the system this looks like a submission that was delayed on its way.
     */
    void cancelInAdvance(const std::string& id, unsigned tries);
    /** Sends the POST of a job to a random gateway; `tries` counts from 1. */
    void send(const std::string& id, unsigned tries);
    /** Records the status of a POST (0: no response) and schedules a retry if necessary. */
    void handleSubmitResult(const std::string& id, unsigned tries, std::uint32_t status);
    /** Schedules the next round of polls and of probes with revoked keys. */
    void schedulePolling();
    void pollState(const std::string& id);
    void cancel(const std::string& id, unsigned tries);
    /** Calls random gateways with keys that must not be served any more. */
    void probeRevokedKeys();
    HttpCall makeCall(const std::string& method, const std::string& target, std::size_t gateway,
                      const std::string& key) const;
    std::size_t pickGateway() { return m_random.below(m_fronts.size()); }

    struct RevokedKey {
        std::string m_key;
        /** When the key was replaced. */
        Millis m_at{0};
    };

    EventLoop& m_loop;
    HttpClient& m_client;
    Promises& m_promises;
    const std::vector<Address> m_fronts;
    Random m_random;
    /** Draws the jobs that are cancelled in advance, so that the other jobs don't depend on them.
     */
    Random m_earlyCancelRandom;
    std::string m_key;
    std::vector<RevokedKey> m_revokedKeys;
    /** Request bodies by job id; a retry sends the same body. */
    std::map<std::string, std::string> m_bodies;
    bool m_isStopped = false;
    /** Number of the next job, from which makeId() forms the job's id. */
    std::uint64_t m_nextNumber = 1;
    /** Number of the next job that is cancelled in advance, from FIRST_EARLY_CANCEL. */
    std::uint64_t m_nextEarlyCancel = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_CALLERS_H
