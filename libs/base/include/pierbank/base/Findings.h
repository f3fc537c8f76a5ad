// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_FINDINGS_H
#define PIERBANK_BASE_FINDINGS_H

#include <string>
#include <string_view>
#include <vector>

namespace pierbank {

/** One thing that is wrong in some input, with the place where it stands. */
struct Finding {
    std::string m_place;
    std::string m_message;
};

/**
 * Collects what is wrong in an input, so that everything is reported together instead of only
 * the first mistake.
 */
class Findings {
public:
    /** Adds one finding. */
    void add(std::string_view place, std::string_view message);

    bool isEmpty() const noexcept { return m_findings.empty(); }

    const std::vector<Finding>& getAll() const noexcept { return m_findings; }

    /** One line a finding: `place: message`. */
    std::string toText() const;

private:
    std::vector<Finding> m_findings;
};

/** Why the last call of a function that returned an empty optional failed. */
using Reason = std::string;

}  // namespace pierbank

#endif  // PIERBANK_BASE_FINDINGS_H
