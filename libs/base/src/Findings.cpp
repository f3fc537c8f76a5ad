// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Findings.h"

namespace pierbank {

void Findings::add(std::string_view place, std::string_view message) {
    m_findings.push_back({std::string(place), std::string(message)});
}

std::string Findings::toText() const {
    std::string text;
    for (const Finding& finding : m_findings) {
        text += finding.m_place + ": " + finding.m_message + "\n";
    }
    return text;
}

}  // namespace pierbank
