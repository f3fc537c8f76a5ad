// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_DOMAINTABLE_H
#define PIERBANK_OPERATORS_DOMAINTABLE_H

#include <cstdint>
#include <map>
#include <string>

#include "pierbank/control/JobController.h"
#include "pierbank/operators/Table.h"

namespace pierbank {

/** The leader's state of one failure domain. */
struct DomainSummary {
    std::size_t m_workers = 0;
    std::size_t m_linkedWorkers = 0;
    std::uint32_t m_accelerators = 0;
    std::size_t m_runs = 0;
    /** The platform's operators have requested the evacuation; no run starts in the domain. */
    bool m_isEvacuatedByPlatform = false;
    /** A statement has requested the evacuation, independently; no run starts in the domain. */
    bool m_isEvacuatedByStatement = false;

    bool isEvacuated() const noexcept {
        return m_isEvacuatedByPlatform || m_isEvacuatedByStatement;
    }
};

/** Returns the domains of known workers and all evacuated domains, with workers or not, by name. */
std::map<std::string, DomainSummary> countDomains(const JobController& jobs);

/** Makes the table of `show domains`. */
Table makeDomainTable(const JobController& jobs);

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_DOMAINTABLE_H
