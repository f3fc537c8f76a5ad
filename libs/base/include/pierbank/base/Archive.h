// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_ARCHIVE_H
#define PIERBANK_BASE_ARCHIVE_H

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "pierbank/base/Clock.h"

/**
 * Serializes typed values to CBOR arrays and back. A type becomes serializable through a free
 * function that lists its fields once, in their order on the wire, for both writing and reading:
 *
 *     template <typename Archive>
 *     void describe(Archive& archive, Hello& hello) {
 *         archive(hello.m_node, hello.m_instance, hello.m_configurationVersion);
 *     }
 *
 * Include this header in source files only, because it includes the whole JSON library.
 */
namespace pierbank {

/** Appends the fields of a described object to a JSON array, which toCbor() encodes. */
class ArchiveWriter {
public:
    template <typename... Fields>
    void operator()(const Fields&... fields) {
        (m_array.push_back(toValue(fields)), ...);
    }

    /** Converts a number, an enumeration value, a string or a described object to a JSON value. */
    template <typename T>
    static nlohmann::json toValue(const T& value) {
        if constexpr (std::is_enum_v<T>) {
            return static_cast<std::uint64_t>(value);
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else {
            ArchiveWriter writer;
            // describe() does not change the value when it is called with a writer.
            describe(writer, const_cast<T&>(value));
            return std::move(writer.m_array);
        }
    }

    static nlohmann::json toValue(const Millis& value) { return value.count(); }

    template <typename T>
    static nlohmann::json toValue(const std::optional<T>& value) {
        return value.has_value() ? toValue(*value) : nlohmann::json();
    }

    template <typename T>
    static nlohmann::json toValue(const std::vector<T>& values) {
        nlohmann::json array = nlohmann::json::array();
        array.get_ref<nlohmann::json::array_t&>().reserve(values.size());
        for (const T& value : values) {
            array.push_back(toValue(value));
        }
        return array;
    }

    template <typename T>
    static nlohmann::json toValue(const std::map<std::string, T>& values) {
        nlohmann::json object = nlohmann::json::object();
        for (const auto& [key, value] : values) {
            object[key] = toValue(value);
        }
        return object;
    }

private:
    nlohmann::json m_array = nlohmann::json::array();
};

/**
 * Reads the JSON arrays that ArchiveWriter produces. Wrong types, numbers out of range, and too few
 * or too many fields make the reading fail; the values read are then unspecified.
 */
class ArchiveReader {
public:
    /** Reads one value. @return false when `from` is not the encoding of a T. */
    template <typename T>
    static bool read(const nlohmann::json& from, T& into) {
        if constexpr (std::is_same_v<T, bool>) {
            return readBool(from, into);
        } else if constexpr (std::is_enum_v<T>) {
            return readEnum(from, into);
        } else if constexpr (std::is_integral_v<T>) {
            return readInteger(from, into);
        } else if constexpr (std::is_floating_point_v<T>) {
            return readFloat(from, into);
        } else {
            return readObject(from, into);
        }
    }

    static bool read(const nlohmann::json& from, std::string& into) {
        if (!from.is_string()) {
            return false;
        }
        into = from.get_ref<const std::string&>();
        return true;
    }

    static bool read(const nlohmann::json& from, Millis& into) {
        std::int64_t count = 0;
        const bool isRead = readInteger(from, count);
        into = Millis(count);
        return isRead;
    }

    template <typename T>
    static bool read(const nlohmann::json& from, std::optional<T>& into) {
        if (from.is_null()) {
            into.reset();
            return true;
        }
        return read(from, into.emplace());
    }

    template <typename T>
    static bool read(const nlohmann::json& from, std::vector<T>& into) {
        if (!from.is_array()) {
            return false;
        }
        into.clear();
        into.reserve(from.size());
        for (const nlohmann::json& element : from) {
            if (!read(element, into.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    template <typename T>
    static bool read(const nlohmann::json& from, std::map<std::string, T>& into) {
        if (!from.is_object()) {
            return false;
        }
        into.clear();
        for (const auto& [key, element] : from.items()) {
            if (!read(element, into[key])) {
                return false;
            }
        }
        return true;
    }

    template <typename... Fields>
    void operator()(Fields&... fields) {
        (readNext(fields), ...);
    }

    /**
     * Returns the number of fields that were written. A type uses the number to recognise an older
     * encoding of itself.
     */
    std::size_t getSize() const noexcept { return m_array.size(); }
    /** Makes the reading fail because the fields contradict each other. */
    void fail() noexcept { m_isGood = false; }

private:
    explicit ArchiveReader(const nlohmann::json& array) : m_array(array) {}

    template <typename T>
    void readNext(T& field) {
        m_isGood = m_isGood && m_next < m_array.size() && read(m_array[m_next], field);
        ++m_next;
    }

    static bool readBool(const nlohmann::json& from, bool& into) {
        into = from.is_boolean() && from.get<bool>();
        return from.is_boolean();
    }

    template <typename T>
    static bool readFloat(const nlohmann::json& from, T& into) {
        into = from.is_number() ? from.get<T>() : T();
        return from.is_number();
    }

    template <typename T>
    static bool readInteger(const nlohmann::json& from, T& into) {
        if (from.is_number_unsigned()) {
            const auto number = from.get<std::uint64_t>();
            into = static_cast<T>(number);
            return std::in_range<T>(number);
        }
        if (from.is_number_integer()) {
            const auto number = from.get<std::int64_t>();
            into = static_cast<T>(number);
            return std::in_range<T>(number);
        }
        return false;
    }

    /**
     * Reads an enumeration value. A serializable enumeration declares `constexpr T lastOf(T)` in
     * its own namespace, which returns its greatest value.
     */
    template <typename T>
    static bool readEnum(const nlohmann::json& from, T& into) {
        std::uint64_t number = 0;
        if (!readInteger(from, number) || number > static_cast<std::uint64_t>(lastOf(T()))) {
            return false;
        }
        into = static_cast<T>(number);
        return true;
    }

    template <typename T>
    static bool readObject(const nlohmann::json& from, T& into) {
        if (!from.is_array()) {
            return false;
        }
        ArchiveReader reader(from);
        describe(reader, into);
        return reader.m_isGood && reader.m_next == from.size();
    }

    const nlohmann::json& m_array;
    std::size_t m_next = 0;
    bool m_isGood = true;
};

/** Encodes a described value as CBOR. */
template <typename T>
std::string toCbor(const T& value) {
    std::string bytes;
    nlohmann::json::to_cbor(ArchiveWriter::toValue(value), bytes);
    return bytes;
}

/**
 * Parses CBOR without exceptions. Returns a discarded value for bytes that are not CBOR or that
 * nest deeper than any serializable type does. The depth is limited because the parser recurses,
 * and a malicious input must not exhaust the stack.
 */
nlohmann::json parseCbor(std::string_view bytes);

/** Decodes a described value. Returns an empty value for bytes that are not an encoding of a T. */
template <typename T>
std::optional<T> fromCbor(std::string_view bytes) {
    const nlohmann::json parsed = parseCbor(bytes);
    T value;
    if (parsed.is_discarded() || !ArchiveReader::read(parsed, value)) {
        return std::nullopt;
    }
    return value;
}

}  // namespace pierbank

#endif  // PIERBANK_BASE_ARCHIVE_H
