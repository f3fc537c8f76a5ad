// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_FINDINGS_H
#define PIERBANK_BASE_FINDINGS_H

#include <string>
#include <string_view>
#include <vector>

namespace pierbank {

/** An error in an input, with its location. */
struct Finding {
    std::string m_place;
    std::string m_message;
};

/** Collects the errors in an input, so that all errors are reported and not only the first. */
class Findings {
public:
    /** Adds an error. @param place location in the input, for example a file, section and key. */
    void add(std::string_view place, std::string_view message);

    bool isEmpty() const noexcept { return m_findings.empty(); }

    const std::vector<Finding>& getAll() const noexcept { return m_findings; }

    /** Returns one line for each finding: `place: message`. */
    std::string toText() const;

private:
    std::vector<Finding> m_findings;
};

/** Description of a failure, set by a function that returns false or an empty value. */
using Reason = std::string;

}  // namespace pierbank

#endif  // PIERBANK_BASE_FINDINGS_H
