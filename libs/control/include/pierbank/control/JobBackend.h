// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_JOBBACKEND_H
#define PIERBANK_CONTROL_JOBBACKEND_H

#include <string>

#include "pierbank/control/JobCore.h"
#include "pierbank/gateway/OperatorServer.h"

namespace pierbank {

/**
 * Answers operators' statements about the jobs that callers handed in. Queries are answered by the
 * leader from what it knows; `withdraw job` is written to the store like a caller's.
 */
class JobBackend final : public OperatorBackend {
public:
    /** Figures of the callers' side, for metrics. */
    struct Counters {
        std::uint64_t m_served = 0;
        std::uint64_t m_refused = 0;
    };

    /** The references must outlive the backend. */
    JobBackend(RecordStore& store, EventLoop& loop, const JobCore& core, const Counters& counters)
            : m_store(store), m_loop(loop), m_core(core), m_counters(counters) {}

    bool isLeading() const override { return m_core.getJobs().isLeading(); }
    std::optional<Address> getLeader() const override { return m_core.getLock().getLeader(); }
    void execute(StatementRequest request, StatementCallback done) override;
    std::string getHealth() const override;
    std::string getMetrics() const override;

private:
    StatementAnswer show(const Show& show) const;
    Table makeJobTable() const;
    Table makeWorkerTable() const;
    Table makeOrganisationTable() const;
    Table makeConfigurationTable() const;
    StatementAnswer explainJob(const std::string& id) const;
    StatementAnswer explainWorker(const std::string& name) const;
    StatementAnswer explainOrganisation(const std::string& name) const;
    void withdraw(const StatementRequest& request, const std::string& id, StatementCallback done);
    std::size_t countTasks(const JobRun& run, TaskState state) const;

    RecordStore& m_store;
    EventLoop& m_loop;
    const JobCore& m_core;
    const Counters& m_counters;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_JOBBACKEND_H
