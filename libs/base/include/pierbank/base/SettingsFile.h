// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_SETTINGSFILE_H
#define PIERBANK_BASE_SETTINGSFILE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pierbank/base/Address.h"
#include "pierbank/base/Clock.h"
#include "pierbank/base/Findings.h"

namespace pierbank {

/** Where a setting stands. */
struct SettingKey {
    std::string_view m_section;
    std::string_view m_key;
};

/**
 * An INI file read through typed getters. Each getter notes what is wrong in the findings and
 * goes on with a harmless value, so that one run reports every mistake:
 *
 *     auto file = SettingsFile::load(path, findings);
 *     const Address listen = file->getAddress({"gateway", "listen"});
 *     file->reportUnknownKeys();
 *     if (!findings.isEmpty()) { print(findings.toText()); return EXIT_USAGE; }
 *
 * The findings must outlive the file.
 */
class SettingsFile {
public:
    /** Empty when the file cannot be read or is no INI; `findings` says why. */
    static std::optional<SettingsFile> load(const std::string& path, Findings& findings);

    /** As load(), from text that is already in memory. */
    static std::optional<SettingsFile> parse(std::string_view text, const std::string& name,
                                             Findings& findings);

    ~SettingsFile();
    SettingsFile(SettingsFile&&) noexcept;
    SettingsFile& operator=(SettingsFile&&) noexcept;

    bool has(SettingKey key);

    /** A required text without blanks at its ends. */
    std::string getText(SettingKey key);
    /** A text that may be left out. */
    std::string getText(SettingKey key, std::string_view otherwise);

    /** A required `IP:PORT`. */
    Address getAddress(SettingKey key);
    /** A required `IP:PORT` at which this process will listen; see reportAddressesInUse(). */
    Address getListenAddress(SettingKey key);
    /** A list of `IP:PORT` separated by `;`; may be left out. */
    std::vector<Address> getAddresses(SettingKey key);

    /** A whole number within [least, most]; may be left out. */
    std::int64_t getNumber(SettingKey key, std::int64_t otherwise, std::int64_t least,
                           std::int64_t most);

    /** A number that need not be whole, within [least, most]; may be left out. */
    double getReal(SettingKey key, double otherwise, double least, double most);

    /** `on` or `off`; may be left out. */
    bool getSwitch(SettingKey key, bool otherwise);

    /** A time with its unit, `250ms`, `4s`, `10min` or `2h`, within [least, most]. */
    Millis getDuration(SettingKey key, Millis otherwise, Millis least, Millis most);

    /** The keys of a section, in the file's order; for sections that map names to values. */
    std::vector<std::string> getKeys(std::string_view section);

    /** Adds a finding for every key that no getter has asked for. Call it last. */
    void reportUnknownKeys();

    /**
     * Adds a finding for each listen address at which another process listens already, or which
     * is not an address of this host. For a start, not for a mere check.
     */
    void reportAddressesInUse();

    /** Adds a finding at a key of this file. */
    void report(SettingKey key, std::string_view message);

private:
    struct Detail;
    explicit SettingsFile(std::unique_ptr<Detail> detail);
    std::optional<std::string> find(SettingKey key);

    std::unique_ptr<Detail> m_detail;
};

/** Reads `250ms`, `4s`, `10min`, `2h` or `3d`; empty for any other text or on overflow. */
std::optional<Millis> parseDuration(std::string_view text);

/** Writes a duration in the largest unit that keeps it whole. */
std::string formatDuration(Millis duration);

}  // namespace pierbank

#endif  // PIERBANK_BASE_SETTINGSFILE_H
