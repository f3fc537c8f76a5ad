// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Archive.h"

namespace pierbank {

namespace {

/** Maximum nesting depth: more than any serializable type needs, far less than the stack allows. */
constexpr int MAX_DEPTH = 24;

/** Parser callbacks that store nothing and abort the parser when the input nests too deeply. */
class DepthChecker final : public nlohmann::json_sax<nlohmann::json> {
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
    bool end_object() override { return endContainer(); }
    bool start_array(std::size_t) override { return ++m_depth <= MAX_DEPTH; }
    bool end_array() override { return endContainer(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
        return false;
    }

private:
    bool endContainer() {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

}  // namespace

nlohmann::json parseCbor(std::string_view bytes) {
    DepthChecker checker;
    const bool isWellFormed = nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &checker,
                                                        nlohmann::json::input_format_t::cbor);
    if (!isWellFormed) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

}  // namespace pierbank
