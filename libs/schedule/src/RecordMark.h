// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_SRC_RECORDMARK_H
#define PIERBANK_SCHEDULE_SRC_RECORDMARK_H

#include <string>
#include <string_view>

#include "pierbank/platform/CertainWriter.h"
#include "pierbank/schedule/ScheduleRecord.h"

namespace pierbank {

/** Pause before a write or a take-over is tried again while the service is down. */
inline constexpr Millis SCHEDULE_RETRY{500};

/** Tells by its mark whether a write is in a record that was read. */
inline CertainWriter::IsMine containsMark(const std::string& id) {
    return [id](std::string_view value) {
        const auto record = decodeRecord(value);
        return record.has_value() && record->hasMark(id);
    };
}

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_SRC_RECORDMARK_H
