// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_SCHEDULECONTROLLER_H
#define PIERBANK_SCHEDULE_SCHEDULECONTROLLER_H

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/platform/CertainWriter.h"
#include "pierbank/platform/HostList.h"
#include "pierbank/policy/Planner.h"
#include "pierbank/schedule/AuditPages.h"
#include "pierbank/schedule/Commands.h"
#include "pierbank/schedule/ConfigurationController.h"
#include "pierbank/schedule/GangDriver.h"
#include "pierbank/schedule/MemberTable.h"
#include "pierbank/schedule/ScheduleRecord.h"
#include "pierbank/schedule/StatementAnswer.h"
#include "pierbank/schedule/WorkerLeases.h"

namespace pierbank {

/** What a schedule controller is told. */
struct ScheduleSettings {
    std::string m_region;
    PolicySettings m_policy;
    LeaseSettings m_leases;
    /** Decisions within this time share one write. */
    Millis m_commitDelay{10};
    /** A statement whose write is not known to have taken effect is answered after this time. */
    Millis m_statementPatience{3000};
    /** Jobs that are over and still shown. */
    std::size_t m_keptJobs = 200;
};

/**
 * Schedules one region while this gateway is its leader. Every decision is one compare-and-swap
 * of the schedule record, many decisions to a write; nothing is sent to a worker, and no operator
 * is told "done", before the write is known to have taken effect.
 *
 * A pass takes the last committed record, applies what hosts, leases, sidecars, configuration and
 * operators brought since, lets the planner decide, and commits the outcome if it differs.
 */
class ScheduleController {
public:
    /** The references must outlive the controller. */
    ScheduleController(KeyValueService& service, EventLoop& loop, Random& random,
                       ConfigurationController& configuration, WorkerChannel& channel,
                       ScheduleSettings settings);
    ~ScheduleController();
    ScheduleController(const ScheduleController&) = delete;
    ScheduleController& operator=(const ScheduleController&) = delete;

    /** When the leader lease was last surely held (monotonic); bounds the grants in an outage. */
    void setConfirmedAt(std::function<Millis()> getConfirmedAt) {
        m_getConfirmedAt = std::move(getConfirmedAt);
    }

    /** Called when another leader turns out to have written. */
    void onSuperseded(std::function<void()> callback) { m_onSuperseded = std::move(callback); }

    /** This gateway holds the leader lease: raises the epoch, then leads. */
    void takeOver();
    /** Stops deciding; statements in flight are answered. */
    void stepDown();
    /** Whether the epoch is ours: statements are executed. */
    bool isLeading() const noexcept { return m_phase == Phase::LEADING; }

    void setHosts(std::vector<Host> hosts);
    void handleConfiguration();
    void handleWorkerLinked(std::string_view worker);
    void handleWorkerUnlinked(std::string_view worker);
    /** Takes LeaseAsk, MemberReport and MemberReportEnd; others are none of its business. */
    void handleWorkerFrame(std::string_view worker, const Frame& frame);

    /** Executes a statement; `done` is called once, when the outcome is known or given up on. */
    void execute(StatementRequest request, StatementCallback done);

    /** The last record known to be committed; valid while leading. */
    const ScheduleRecord& getRecord() const noexcept { return m_record; }
    std::size_t getRecordSize() const noexcept { return m_writer.getSize(); }
    std::uint64_t getCommitCount() const noexcept { return m_commits; }

private:
    enum class Phase { FOLLOWING, TAKING_OVER, LEADING };

    /** A statement that waits for its turn or for the write that carries it. */
    struct Pending {
        StatementRequest m_request;
        StatementCallback m_done;
        StatementAnswer m_answer;
        TimerId m_patience = TimerId::NONE;
        bool m_isAnswered = false;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    void loadRecord();
    void raiseEpoch(ScheduleRecord record);
    void retryTakeOver();

    void lead(const ScheduleRecord& record, Millis longestLease);
    Millis getTimeSinceConfirmed() const;
    bool mayGrantLeases() const;
    void answerLeaseAsk(std::string_view worker, const LeaseAsk& ask);
    void tick();
    void moveAuditPage();
    void stepSoon(Millis delay);
    void step();
    void absorb(ScheduleRecord& next, Millis now, Millis wallNow);
    void absorbConfiguration(ScheduleRecord& next);
    std::vector<PendingPtr> runJobCommands(ScheduleRecord& next, Millis wallNow);
    CommandOutcome runJobCommand(ScheduleRecord& next, const StatementRequest& request,
                                 Millis wallNow);
    void decide(ScheduleRecord& next, Millis wallNow);
    void commit(ScheduleRecord next, std::vector<PendingPtr> carried);
    void handleCommitted(const ScheduleRecord& next, const std::vector<PendingPtr>& carried,
                         WriteResult result);
    void refuseAll(const std::vector<PendingPtr>& carried, std::string_view why, Millis retryAfter);

    void enqueue(StatementRequest request, StatementCallback done);
    void giveUp(const PendingPtr& pending);
    void startConfigurationChange();
    CommandOutcome makeConfiguration(Configuration& next, const StatementRequest& request);
    void handleConfigurationWritten(const PendingPtr& pending, const std::string& message,
                                    WriteResult result);
    void auditRefusal(const StatementRequest& request, const CommandOutcome& outcome);

    void answerQuery(const StatementRequest& request, const StatementCallback& done);
    StatementAnswer show(const Show& show) const;
    void showAudit(const Show& show, StatementCallback done);
    void finish(const PendingPtr& pending, const StatementAnswer& answer);

    KeyValueService& m_service;
    EventLoop& m_loop;
    Random& m_random;
    ConfigurationController& m_configuration;
    WorkerChannel& m_channel;
    const ScheduleSettings m_settings;
    PolicySettings m_policy;
    CertainWriter m_writer;
    AuditPages m_audit;
    MemberTable m_members;
    WorkerLeases m_leases;
    GangDriver m_driver;
    std::function<void()> m_onSuperseded;
    std::function<Millis()> m_getConfirmedAt;

    Phase m_phase = Phase::FOLLOWING;
    ScheduleRecord m_record;
    std::string m_recordBytes;
    std::vector<Host> m_hosts;
    std::set<std::string, std::less<>> m_linked;
    std::deque<PendingPtr> m_jobCommands;
    std::deque<PendingPtr> m_configurationCommands;
    std::vector<PendingPtr> m_carried;
    std::vector<AuditEntry> m_refusals;
    bool m_isServiceDown = false;
    Millis m_downSince{0};
    /** Audit page that is in the service but still in the record's tail; zero: none. */
    std::uint64_t m_movedPage = 0;
    std::uint64_t m_commits = 0;
    TimerId m_stepTimer = TimerId::NONE;
    TimerId m_tickTimer = TimerId::NONE;
    Millis m_stepAt{0};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_SCHEDULECONTROLLER_H
