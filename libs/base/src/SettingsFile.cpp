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

/** Why nobody can listen at an address now; empty when one can. */
std::string tryToListen(const Address& address) {
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

/** A listen address with its place. */
struct ListenSetting {
    std::string m_section;
    std::string m_key;
    Address m_address;
};

struct SettingsFile::Detail {
    GKeyFile* m_file = g_key_file_new();
    std::string m_name;
    Findings* m_findings = nullptr;
    std::set<std::string> m_asked;
    std::vector<ListenSetting> m_listen;

    Detail() = default;
    Detail(const Detail&) = delete;
    Detail& operator=(const Detail&) = delete;
    ~Detail() { g_key_file_unref(m_file); }

    std::string place(std::string_view section, std::string_view key) const {
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
    m_detail->m_asked.insert(section + "\n" + name);
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
    m_detail->m_findings->add(m_detail->place(key.m_section, key.m_key), message);
}

std::string SettingsFile::getText(SettingKey key) {
    auto value = find(key);
    if (!value.has_value() || value->empty()) {
        report(key, "is required and missing");
        return {};
    }
    return *std::move(value);
}

std::string SettingsFile::getText(SettingKey key, std::string_view otherwise) {
    return find(key).value_or(std::string(otherwise));
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
        m_detail->m_listen.push_back({std::string(key.m_section), std::string(key.m_key), address});
    }
    return address;
}

void SettingsFile::reportAddressesInUse() {
    for (const ListenSetting& setting : m_detail->m_listen) {
        const std::string problem = tryToListen(setting.m_address);
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

double SettingsFile::getReal(SettingKey key, double otherwise, double least, double most) {
    const auto value = find(key);
    if (!value.has_value()) {
        return otherwise;
    }
    double number = 0;
    const char* const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    const bool isInRange = number >= least && number <= most;
    if (parsed.ec != std::errc() || parsed.ptr != end || !isInRange) {
        report(key, "`" + *value + "` is not a number from " + std::to_string(least) + " to " +
                            std::to_string(most));
        return otherwise;
    }
    return number;
}

bool SettingsFile::getSwitch(SettingKey key, bool otherwise) {
    const auto value = find(key);
    if (value.has_value() && *value != "on" && *value != "off") {
        report(key, "`" + *value + "` is neither on nor off");
        return otherwise;
    }
    return value.has_value() ? *value == "on" : otherwise;
}

std::int64_t SettingsFile::getNumber(SettingKey key, std::int64_t otherwise, std::int64_t least,
                                     std::int64_t most) {
    const auto value = find(key);
    if (!value.has_value()) {
        return otherwise;
    }
    std::int64_t number = 0;
    const char* const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < least || number > most) {
        report(key, "`" + *value + "` is not a whole number from " + std::to_string(least) +
                            " to " + std::to_string(most));
        return otherwise;
    }
    return number;
}

Millis SettingsFile::getDuration(SettingKey key, Millis otherwise, Millis least, Millis most) {
    const auto value = find(key);
    if (!value.has_value()) {
        return otherwise;
    }
    const auto duration = parseDuration(*value);
    if (!duration.has_value() || *duration < least || *duration > most) {
        report(key, "`" + *value + "` is not a time with its unit (ms, s, min, h, d) from " +
                            formatDuration(least) + " to " + formatDuration(most));
        return otherwise;
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
            if (m_detail->m_asked.count(std::string(*group) + "\n" + key) == 0) {
                report({*group, key}, "is not a known setting");
            }
        }
    }
    g_strfreev(groups);
}

}  // namespace pierbank
