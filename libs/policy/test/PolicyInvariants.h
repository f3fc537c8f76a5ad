// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_POLICY_TEST_POLICYINVARIANTS_H
#define PIERBANK_POLICY_TEST_POLICYINVARIANTS_H

#include <string>
#include <vector>

#include "pierbank/policy/ClusterState.h"

namespace pierbank::testing {

/** What is wrong with a state after a pass; empty when nothing is. */
std::string findViolation(const ClusterState& state);

/**
 * Whether all units can have cells at once, by trying everything. Cells of units with jobs are
 * fixed. Independent of UnitPacker, and only for small topologies.
 */
bool canPackExactly(const ClusterState& state);

}  // namespace pierbank::testing

#endif  // PIERBANK_POLICY_TEST_POLICYINVARIANTS_H
