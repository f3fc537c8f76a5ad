// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Archive.h"

namespace pierbank {

namespace {

/** More than any described type nests; far less than the stack holds. */
constexpr int MAX_DEPTH = 24;

/** Reads events and keeps nothing; stops the parser when the input nests too deep. */
class DepthCheck final : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= MAX_DEPTH; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= MAX_DEPTH; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
        return false;
    }

private:
    bool leave() {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

}  // namespace

nlohmann::json parseCbor(std::string_view bytes) {
    DepthCheck check;
    const bool isSound = nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check,
                                                   nlohmann::json::input_format_t::cbor);
    if (!isSound) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

}  // namespace pierbank
