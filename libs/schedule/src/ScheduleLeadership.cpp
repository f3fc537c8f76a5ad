// SPDX-License-Identifier: Apache-2.0
// The part of ScheduleController that begins and ends to lead.
#include <utility>

#include "pierbank/base/Log.h"
#include "pierbank/schedule/ScheduleController.h"
#include "RecordMark.h"

namespace pierbank {

void ScheduleController::takeOver() {
    if (m_phase != Phase::FOLLOWING) {
        return;
    }
    m_phase = Phase::TAKING_OVER;
    loadRecord();
}

void ScheduleController::loadRecord() {
    m_writer.read([this](const KeyValueReply& reply) {
        if (reply.m_status == KeyValueStatus::NOT_FOUND) {
            raiseEpoch(ScheduleRecord());
            return;
        }
        auto record = decodeRecord(reply.m_value);
        if (reply.m_status != KeyValueStatus::OK) {
            retryTakeOver();
        } else if (!record.has_value()) {
            // Never overwritten: it holds every placement.
            logEvent(Severity::ERROR, "schedule", "record-unreadable", {});
            retryTakeOver();
        } else {
            raiseEpoch(*std::move(record));
        }
    });
}

void ScheduleController::retryTakeOver() {
    m_stepTimer = m_loop.callLater(SCHEDULE_RETRY, [this] {
        m_stepTimer = TimerId::NONE;
        if (m_phase == Phase::TAKING_OVER) {
            loadRecord();
        }
    });
}

void ScheduleController::raiseEpoch(ScheduleRecord record) {
    const Millis longestLease = record.m_longestLease;
    const Millis ownLease = m_settings.m_leases.m_outageGrace + m_settings.m_leases.m_timeToLive;
    ++record.m_epoch;
    record.m_longestLease = ownLease;
    const std::string id = m_random.token();
    record.mark(id);
    const auto onWritten = [this, record, longestLease](WriteResult result) {
        if (result == WriteResult::COMMITTED) {
            lead(record, longestLease);
        } else {
            retryTakeOver();
        }
    };
    m_writer.write(encodeRecord(record), containsMark(id), onWritten);
}

void ScheduleController::lead(const ScheduleRecord& record, Millis longestLease) {
    m_phase = Phase::LEADING;
    m_record = record;
    m_recordBytes = encodeRecord(m_record);
    m_isServiceDown = false;
    m_movedPage = 0;
    m_leases.takeOver(m_loop.now(), longestLease);
    m_driver.takeOver(m_record.m_epoch);
    for (const std::string& worker : m_linked) {
        m_driver.connect(worker);
    }
    logEvent(Severity::INFO, "schedule", "leading",
             {{"region", m_settings.m_region},
              {"epoch", std::to_string(m_record.m_epoch)},
              {"jobs", std::to_string(m_record.m_state.m_jobs.size())}});
    tick();
    stepSoon(Millis(0));
}

void ScheduleController::stepDown() {
    if (m_phase == Phase::FOLLOWING) {
        return;
    }
    const bool wasUncertain = m_writer.isBusy() || m_configuration.isBusy();
    m_phase = Phase::FOLLOWING;
    m_writer.abandon();
    m_loop.cancel(m_stepTimer);
    m_loop.cancel(m_tickTimer);
    m_stepTimer = TimerId::NONE;
    m_tickTimer = TimerId::NONE;
    StatementAnswer lost;
    lost.m_status = wasUncertain ? StatementStatus::UNKNOWN : StatementStatus::NOT_RUN;
    lost.m_message = "this gateway stopped leading; ask what became of it before repeating it";
    lost.m_retryAfter = SCHEDULE_RETRY;
    for (const PendingPtr& pending : std::exchange(m_carried, {})) {
        finish(pending, lost);
    }
    std::vector<PendingPtr> waiting(m_jobCommands.begin(), m_jobCommands.end());
    waiting.insert(waiting.end(), m_configurationCommands.begin(), m_configurationCommands.end());
    m_jobCommands.clear();
    m_configurationCommands.clear();
    refuseAll(waiting, "this gateway stopped leading", SCHEDULE_RETRY);
    logEvent(Severity::WARNING, "schedule", "stepped-down", {{"region", m_settings.m_region}});
}

}  // namespace pierbank
