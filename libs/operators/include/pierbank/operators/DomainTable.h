// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_DOMAINTABLE_H
#define PIERBANK_OPERATORS_DOMAINTABLE_H

#include <cstdint>
#include <map>
#include <string>

#include "pierbank/control/JobController.h"
#include "pierbank/operators/Table.h"

namespace pierbank {

/** What the leader knows of one failure domain. */
struct DomainFigures {
    std::size_t m_workers = 0;
    std::size_t m_linkedWorkers = 0;
    std::uint32_t m_accelerators = 0;
    std::size_t m_runs = 0;
    /** Nothing begins there, by a request of the platform's operators, or by a statement. */
    bool m_isAsked = false;
    bool m_isEmptied = false;

    bool isEvacuated() const noexcept { return m_isAsked || m_isEmptied; }
};

/** By name: those that workers name, and those under evacuation whether a worker is there or not.
 */
std::map<std::string, DomainFigures> countDomains(const JobController& jobs);

/** `show domains` */
Table makeDomainTable(const JobController& jobs);

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_DOMAINTABLE_H
