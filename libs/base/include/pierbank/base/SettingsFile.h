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

/** Identifies a setting by its section and key. */
struct SettingKey {
    std::string_view m_section;
    std::string_view m_key;
};

/**
 * INI file with typed getters. A getter adds each error to the findings and returns a valid
 * replacement, so that all errors are reported in one pass:
 *
 *     auto file = SettingsFile::load(path, findings);
 *     const Address listen = file->getAddress({"gateway", "listen"});
 *     file->reportUnknownKeys();
 *     if (!findings.isEmpty()) { print(findings.toText()); return EXIT_USAGE; }
 *
 * The findings must outlive the SettingsFile.
 */
class SettingsFile {
public:
    /**
     * Loads a file. Returns an empty value with the reason in `findings` when the file cannot be
     * read or is not an INI file.
     */
    static std::optional<SettingsFile> load(const std::string& path, Findings& findings);

    /** Like load(), with the content in memory. @param name file name for the findings. */
    static std::optional<SettingsFile> parse(std::string_view text, const std::string& name,
                                             Findings& findings);

    ~SettingsFile();
    SettingsFile(SettingsFile&&) noexcept;
    SettingsFile& operator=(SettingsFile&&) noexcept;

    /** Returns whether the setting is present. */
    bool has(SettingKey key);

    /** Returns a required text without leading and trailing blanks. */
    std::string getText(SettingKey key);
    /** Returns an optional text. Here and below, `defaultValue` stands for a missing setting. */
    std::string getText(SettingKey key, std::string_view defaultValue);

    /** Returns a required `IP:PORT`. */
    Address getAddress(SettingKey key);
    /** Returns a required `IP:PORT` to listen at; see reportAddressesInUse(). */
    Address getListenAddress(SettingKey key);
    /** Returns an optional list of `IP:PORT`, separated by `;`. */
    std::vector<Address> getAddresses(SettingKey key);

    /** Returns an optional integer within [minimum, maximum]. */
    std::int64_t getNumber(SettingKey key, std::int64_t defaultValue, std::int64_t minimum,
                           std::int64_t maximum);

    /** Returns an optional real number within [minimum, maximum]. */
    double getReal(SettingKey key, double defaultValue, double minimum, double maximum);

    /** Returns an optional boolean, `on` or `off`. */
    bool getSwitch(SettingKey key, bool defaultValue);

    /**
     * Returns an optional duration within [minimum, maximum], with its unit: `250ms`, `4s`, `10min`
     * or `2h`.
     */
    Millis getDuration(SettingKey key, Millis defaultValue, Millis minimum, Millis maximum);

    /** Returns the keys of a section in file order, for sections that map names to values. */
    std::vector<std::string> getKeys(std::string_view section);

    /** Adds a finding for each key that no getter has read. To be called after all getters. */
    void reportUnknownKeys();

    /**
     * Adds a finding for each listen address that another process uses or that is not an address of
     * this host. Intended for the start of a process, and not for a check of the settings alone.
     */
    void reportAddressesInUse();

    /** Adds a finding for a key of this file. */
    void report(SettingKey key, std::string_view message);

private:
    struct Detail;
    explicit SettingsFile(std::unique_ptr<Detail> detail);
    std::optional<std::string> find(SettingKey key);

    std::unique_ptr<Detail> m_detail;
};

/**
 * Parses `250ms`, `4s`, `10min`, `2h` or `3d`. Returns an empty value for any other text and for
 * more than ten years.
 */
std::optional<Millis> parseDuration(std::string_view text);

/** Formats a duration in the largest unit in which it is a whole number. */
std::string formatDuration(Millis duration);

}  // namespace pierbank

#endif  // PIERBANK_BASE_SETTINGSFILE_H
