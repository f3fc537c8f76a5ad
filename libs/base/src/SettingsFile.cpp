// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/SettingsFile.h"

#include <gio/gio.h>

#include <charconv>

namespace pierbank {

namespace {

std::string strip(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const std::size_t last = text.find_last_not_of(" \t");
    return std::string(text.substr(first, last - first + 1));
}

/** Tries to listen at an address. Returns the error message, or an empty text on success. */
std::string findListenError(const Address& address) {
    GSocketListener* listener = g_socket_listener_new();
    GSocketAddress* socketAddress =
            g_inet_socket_address_new_from_string(address.m_host.c_str(), address.m_port);
    GError* error = nullptr;
    g_socket_listener_add_address(listener, socketAddress, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
    std::string problem = error == nullptr ? "" : error->message;
    g_clear_error(&error);
    g_socket_listener_close(listener);
    g_object_unref(socketAddress);
    g_object_unref(listener);
    return problem;
}

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        parts.push_back(strip(text.substr(0, end)));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

}  // namespace

/** Listen address with its location in the file. */
struct ListenSetting {
    std::string m_section;
    std::string m_key;
    Address m_address;
};

struct SettingsFile::Detail {
    GKeyFile* m_file = g_key_file_new();
    std::string m_name;
    Findings* m_findings = nullptr;
    std::set<std::string> m_readKeys;
    std::vector<ListenSetting> m_listenSettings;

    Detail() = default;
    Detail(const Detail&) = delete;
    Detail& operator=(const Detail&) = delete;
    ~Detail() { g_key_file_unref(m_file); }

    std::string formatPlace(std::string_view section, std::string_view key) const {
        return m_name + " [" + std::string(section) + "] " + std::string(key);
    }
};

SettingsFile::SettingsFile(std::unique_ptr<Detail> detail) : m_detail(std::move(detail)) {}
SettingsFile::~SettingsFile() = default;
SettingsFile::SettingsFile(SettingsFile&&) noexcept = default;
SettingsFile& SettingsFile::operator=(SettingsFile&&) noexcept = default;

std::optional<SettingsFile> SettingsFile::load(const std::string& path, Findings& findings) {
    gchar* text = nullptr;
    gsize length = 0;
    GError* error = nullptr;
    if (g_file_get_contents(path.c_str(), &text, &length, &error) == FALSE) {
        findings.add(path, error->message);
        g_error_free(error);
        return std::nullopt;
    }
    const std::string owned(text, length);
    g_free(text);
    return parse(owned, path, findings);
}

std::optional<SettingsFile> SettingsFile::parse(std::string_view text, const std::string& name,
                                                Findings& findings) {
    auto detail = std::make_unique<Detail>();
    detail->m_name = name;
    detail->m_findings = &findings;
    GError* error = nullptr;
    const gboolean loaded = g_key_file_load_from_data(detail->m_file, text.data(), text.size(),
                                                      G_KEY_FILE_NONE, &error);
    if (loaded == FALSE) {
        findings.add(name, error->message);
        g_error_free(error);
        return std::nullopt;
    }
    return SettingsFile(std::move(detail));
}

std::optional<std::string> SettingsFile::find(SettingKey key) {
    const std::string section(key.m_section);
    const std::string name(key.m_key);
    m_detail->m_readKeys.insert(section + "\n" + name);
    gchar* value = g_key_file_get_string(m_detail->m_file, section.c_str(), name.c_str(), nullptr);
    if (value == nullptr) {
        return std::nullopt;
    }
    std::string text = strip(value);
    g_free(value);
    return text;
}

bool SettingsFile::has(SettingKey key) {
    return find(key).has_value();
}

void SettingsFile::report(SettingKey key, std::string_view message) {
    m_detail->m_findings->add(m_detail->formatPlace(key.m_section, key.m_key), message);
}

std::string SettingsFile::getText(SettingKey key) {
    auto value = find(key);
    if (!value.has_value() || value->empty()) {
        report(key, "is required and missing");
        return {};
    }
    return *std::move(value);
}

std::string SettingsFile::getText(SettingKey key, std::string_view defaultValue) {
    return find(key).value_or(std::string(defaultValue));
}

Address SettingsFile::getAddress(SettingKey key) {
    const auto value = find(key);
    if (!value.has_value()) {
        report(key, "is required and missing");
        return {};
    }
    const auto address = Address::parse(*value);
    if (!address.has_value()) {
        report(key, "`" + *value + "` is not IP:PORT (an IP number, not a host name)");
        return {};
    }
    return *address;
}

Address SettingsFile::getListenAddress(SettingKey key) {
    Address address = getAddress(key);
    if (address.m_port != 0) {
        m_detail->m_listenSettings.push_back(
                {std::string(key.m_section), std::string(key.m_key), address});
    }
    return address;
}

void SettingsFile::reportAddressesInUse() {
    for (const ListenSetting& setting : m_detail->m_listenSettings) {
        const std::string problem = findListenError(setting.m_address);
        if (!problem.empty()) {
            report({setting.m_section, setting.m_key},
                   setting.m_address.toText() + " cannot be listened at: " + problem);
        }
    }
}

std::vector<Address> SettingsFile::getAddresses(SettingKey key) {
    std::vector<Address> addresses;
    const auto value = find(key);
    if (!value.has_value()) {
        return addresses;
    }
    for (const std::string& part : split(*value, ';')) {
        const auto address = Address::parse(part);
        if (address.has_value()) {
            addresses.push_back(*address);
        } else {
            report(key, "`" + part + "` is not IP:PORT (an IP number, not a host name)");
        }
    }
    return addresses;
}

double SettingsFile::getReal(SettingKey key, double defaultValue, double minimum, double maximum) {
    const auto value = find(key);
    if (!value.has_value()) {
        return defaultValue;
    }
    double number = 0;
    const char* const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    const bool isInRange = number >= minimum && number <= maximum;
    if (parsed.ec != std::errc() || parsed.ptr != end || !isInRange) {
        report(key, "`" + *value + "` is not a number from " + std::to_string(minimum) + " to " +
                            std::to_string(maximum));
        return defaultValue;
    }
    return number;
}

bool SettingsFile::getSwitch(SettingKey key, bool defaultValue) {
    const auto value = find(key);
    if (value.has_value() && *value != "on" && *value != "off") {
        report(key, "`" + *value + "` is neither on nor off");
        return defaultValue;
    }
    return value.has_value() ? *value == "on" : defaultValue;
}

std::int64_t SettingsFile::getNumber(SettingKey key, std::int64_t defaultValue,
                                     std::int64_t minimum, std::int64_t maximum) {
    const auto value = find(key);
    if (!value.has_value()) {
        return defaultValue;
    }
    std::int64_t number = 0;
    const char* const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < minimum || number > maximum) {
        report(key, "`" + *value + "` is not a whole number from " + std::to_string(minimum) +
                            " to " + std::to_string(maximum));
        return defaultValue;
    }
    return number;
}

Millis SettingsFile::getDuration(SettingKey key, Millis defaultValue, Millis minimum,
                                 Millis maximum) {
    const auto value = find(key);
    if (!value.has_value()) {
        return defaultValue;
    }
    const auto duration = parseDuration(*value);
    if (!duration.has_value() || *duration < minimum || *duration > maximum) {
        report(key, "`" + *value + "` is not a time with its unit (ms, s, min, h, d) from " +
                            formatDuration(minimum) + " to " + formatDuration(maximum));
        return defaultValue;
    }
    return *duration;
}

std::vector<std::string> SettingsFile::getKeys(std::string_view section) {
    std::vector<std::string> keys;
    const std::string name(section);
    gchar** names = g_key_file_get_keys(m_detail->m_file, name.c_str(), nullptr, nullptr);
    for (gchar** key = names; key != nullptr && *key != nullptr; ++key) {
        keys.emplace_back(*key);
    }
    g_strfreev(names);
    return keys;
}

void SettingsFile::reportUnknownKeys() {
    gchar** groups = g_key_file_get_groups(m_detail->m_file, nullptr);
    for (gchar** group = groups; *group != nullptr; ++group) {
        for (const std::string& key : getKeys(*group)) {
            if (m_detail->m_readKeys.count(std::string(*group) + "\n" + key) == 0) {
                report({*group, key}, "is not a known setting");
            }
        }
    }
    g_strfreev(groups);
}

}  // namespace pierbank
