// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_CONFIGURATION_H
#define PIERBANK_SCHEDULE_CONFIGURATION_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/policy/ClusterState.h"

namespace pierbank {

/** An organisation as operators configured it. */
struct ConfiguredOrganisation {
    std::string m_name;
    std::vector<Guarantee> m_guarantees;
    bool operator==(const ConfiguredOrganisation&) const = default;
};

/** One accepted change of the configuration. */
struct ConfigurationChange {
    /** Random; by it a writer finds its own change after a lost answer. */
    std::string m_id;
    std::uint64_t m_version = 0;
    Millis m_at{0};
    std::string m_operator;
    std::string m_statement;
    /** What was changed, as `organisation factoring`; changes of one subject may conflict. */
    std::string m_subject;
    std::string m_from;
    std::string m_to;
    bool operator==(const ConfigurationChange&) const = default;
};

/** Everything that operators configure. One value in the platform's service. */
struct Configuration {
    /** Grows by one with each change; zero before the first. */
    std::uint64_t m_version = 0;
    std::vector<ConfiguredOrganisation> m_organisations;
    std::uint32_t m_fragmentationWeight = 50;
    /** Workers that an operator drained or quarantined. */
    std::map<std::string, WorkerState> m_workers;
    /** Endpoints that an operator drained. */
    std::map<std::string, bool> m_drainedEndpoints;
    /** The last changes, oldest first; the audit trail is fed from them. */
    std::vector<ConfigurationChange> m_changes;

    bool operator==(const Configuration&) const = default;

    ConfiguredOrganisation* findOrganisation(std::string_view name);

    /** The last change of a subject after a version, by someone else; empty if there is none. */
    const ConfigurationChange* findConflict(std::string_view subject, std::uint64_t afterVersion,
                                            std::string_view operatorName) const;
};

/** Changes that a configuration keeps for the audit trail and for telling operators of races. */
inline constexpr std::size_t MAX_KEPT_CHANGES = 64;

std::string encodeConfiguration(const Configuration& configuration);

/** Empty for bytes that encodeConfiguration() does not write. */
std::optional<Configuration> decodeConfiguration(std::string_view bytes);

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_CONFIGURATION_H
