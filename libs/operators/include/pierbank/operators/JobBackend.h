// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_JOBBACKEND_H
#define PIERBANK_OPERATORS_JOBBACKEND_H

#include <memory>
#include <string>

#include "pierbank/base/Metrics.h"
#include "pierbank/control/JobCore.h"
#include "pierbank/operators/AuditTrail.h"
#include "pierbank/operators/OperatorServer.h"
#include "pierbank/store/CountingStore.h"

namespace pierbank {

/**
 * Executes operators' statements on the leader. Jobs that operators submit are stored in the same
 * form as the jobs of callers. Queries are answered from the leader's memory. Changes are written
 * to the store in one transaction with their entry in the audit trail, and the controller reads the
 * changes from the store. Organisations, guarantees and queues are defined in the platform's
 * configuration: statements that would change them are refused, and the message names the
 * configuration.
 */
class JobBackend final : public OperatorBackend {
public:
    /** Statistics of callers' requests, for the metrics. */
    struct CallerStatistics {
        std::uint64_t m_served = 0;
        std::uint64_t m_refused = 0;
        LatencySummary m_latency;
    };

    /** The references must outlive the backend. */
    JobBackend(RecordStore& store, EventLoop& loop, JobCore& core, const CallerStatistics& callers)
            : m_loop(loop), m_core(core), m_callers(callers), m_audit(store, loop) {}

    /** Sets the store whose calls are shown in the metrics; it must outlive the backend. */
    void setCountingStore(const CountingStore& store) { m_countingStore = &store; }

    bool isLeading() const override { return m_core.getJobs().isLeading(); }
    std::optional<Address> getLeader() const override { return m_core.getLock().getLeader(); }
    void execute(StatementRequest request, StatementCallback done) override;
    std::string getHealth() const override;
    std::string getMetrics() const override;

private:
    void show(const Show& show, const StatementCallback& done);
    StatementAnswer explainJob(const std::string& name) const;
    StatementAnswer explainWorker(const std::string& name) const;
    StatementAnswer explainOrganisation(const std::string& name) const;
    StatementAnswer explainDomain(const std::string& name) const;

    void submit(const StatementRequest& request, const SubmitJob& submit, StatementCallback done);
    /**
     * Makes the record of a submitted job. Returns nothing, and sets `reason`, if the configuration
     * has no such organisation or queue, or if no worker of the queue's service is known.
     */
    std::optional<JobRecord> makeRecord(const SubmitJob& submit, Reason& reason) const;
    /**
     * Returns the policy of the submission's queue, or of the default queue; see
     * SubmitJob::m_queue. Returns nothing, and sets `reason`, if the organisation or the queue is
     * unknown.
     */
    std::optional<QueuePolicy> findQueue(const SubmitJob& submit, Reason& reason) const;
    std::optional<Resources> getMemberDemand(const SubmitJob& submit,
                                             const std::string& service) const;
    StatementAnswer describeTrial(const JobRecord& record) const;
    void withdraw(const StatementRequest& request, const std::string& name, StatementCallback done);
    void changeWorker(const StatementRequest& request, const ChangeWorker& change,
                      StatementCallback done);
    void changeDomain(const StatementRequest& request, const ChangeDomain& change,
                      StatementCallback done);
    void setWeights(const StatementRequest& request, const SetWeights& weights,
                    StatementCallback done);
    /** Adds the work of ended runs, kept and thrown away. */
    void addEarlyCancels(MetricsPage& page) const;
    void addRelays(MetricsPage& page) const;
    void addIdleJobs(MetricsPage& page) const;
    void addWork(MetricsPage& page) const;
    void addStoreCalls(MetricsPage& page) const;
    /** Commits a change with its audit entry, provided that this gateway still leads. */
    void commit(const StatementRequest& request, StoreTransaction change, std::string outcome,
                StatementCallback done);

    EventLoop& m_loop;
    JobCore& m_core;
    const CallerStatistics& m_callers;
    const CountingStore* m_countingStore = nullptr;
    AuditTrail m_audit;
};

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_JOBBACKEND_H
