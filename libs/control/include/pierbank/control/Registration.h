// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_REGISTRATION_H
#define PIERBANK_CONTROL_REGISTRATION_H

#include <memory>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/store/RecordStore.h"

namespace pierbank {

/**
 * Writes the key by which leaders find this process, and tries until it is written. The key stays
 * when the process ends. @param guard expires with the owner, which must not outlive store and
 * loop.
 */
void registerAddress(RecordStore& store, EventLoop& loop, std::string key,
                     std::weak_ptr<bool> guard);

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_REGISTRATION_H
