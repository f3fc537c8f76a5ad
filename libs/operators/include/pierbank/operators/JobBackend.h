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
 * Answers operators' statements. What they submit are the same jobs that callers hand in, in the
 * same store. Queries are answered by the leader from what it knows; changes go to the store in
 * one transaction with their entry in the audit trail, and reach the schedule from there.
 * Organisations, guarantees and queues are the platform's configuration: statements that would
 * change them are refused with the place to change them.
 */
class JobBackend final : public OperatorBackend {
public:
    /** Figures of the callers' side, for metrics. */
    struct CallerFigures {
        std::uint64_t m_served = 0;
        std::uint64_t m_refused = 0;
        LatencySummary m_latency;
    };

    /** The references must outlive the backend. */
    JobBackend(RecordStore& store, EventLoop& loop, const JobCore& core,
               const CallerFigures& callers)
            : m_loop(loop), m_core(core), m_callers(callers), m_audit(store, loop) {}

    /** Whose calls the metrics show; it must outlive the backend. */
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
    /** Empty, with `reason`, when the configuration does not know what it names. */
    std::optional<JobRecord> makeRecord(const SubmitJob& submit, Reason& reason) const;
    std::optional<QueuePolicy> findQueue(const SubmitJob& submit, Reason& reason) const;
    std::optional<Resources> getMemberNeed(const SubmitJob& submit,
                                           const std::string& service) const;
    StatementAnswer describeTry(const JobRecord& record) const;
    void withdraw(const StatementRequest& request, const std::string& name, StatementCallback done);
    void changeWorker(const StatementRequest& request, const ChangeWorker& change,
                      StatementCallback done);
    void changeDomain(const StatementRequest& request, const ChangeDomain& change,
                      StatementCallback done);
    void setWeights(const StatementRequest& request, const SetWeights& weights,
                    StatementCallback done);
    void addStoreCalls(MetricsPage& page) const;
    /** Commits a change of the leader's, with its audit entry. */
    void commit(const StatementRequest& request, StoreTransaction change, std::string outcome,
                StatementCallback done);

    EventLoop& m_loop;
    const JobCore& m_core;
    const CallerFigures& m_callers;
    const CountingStore* m_countingStore = nullptr;
    AuditTrail m_audit;
};

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_JOBBACKEND_H
