// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_WIRE_FRAMECODEC_H
#define PIERBANK_WIRE_FRAMECODEC_H

#include <optional>
#include <string>
#include <string_view>

#include "pierbank/base/Findings.h"
#include "pierbank/wire/Frame.h"

namespace pierbank {

/** Encodes a frame as CBOR: an array of the type number and of the frame's fields in order. */
std::string encodeFrame(const Frame& frame);

/**
 * Decodes a frame from a peer that may be faulty or malicious.
 * @return empty, with `reason`, for anything that encodeFrame() does not produce.
 */
std::optional<Frame> decodeFrame(std::string_view bytes, Reason& reason);

}  // namespace pierbank

#endif  // PIERBANK_WIRE_FRAMECODEC_H
