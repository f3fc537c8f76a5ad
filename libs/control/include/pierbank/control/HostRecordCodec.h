// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_HOSTRECORDCODEC_H
#define PIERBANK_CONTROL_HOSTRECORDCODEC_H

#include "pierbank/control/LearnedState.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** Returns the frame with a record. Fractions are rounded to the precision of a float. */
LearnedRecord encodeHostRecord(const HostRecord& record, RecordVersion version);

/** Returns the record in a frame; its values are not checked, see LearnedState::restore(). */
ReturnedRecord decodeKeptRecord(const KeptRecord& frame);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_HOSTRECORDCODEC_H
