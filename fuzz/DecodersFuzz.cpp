// SPDX-License-Identifier: Apache-2.0
// libFuzzer target for all decoders of untrusted input. Intended for long manual runs:
//     out/fuzz/decoders-fuzz -max_len=4096
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

#include "pierbank/adapter/Documents.h"
#include "pierbank/adapter/Json.h"
#include "pierbank/job/JobCodec.h"
#include "pierbank/statement/Statement.h"
#include "pierbank/wire/FrameCodec.h"

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

/**
 * Checks that the valid rows of a configuration are read regardless of the content of the fuzzed
 * row beside them, and that no route without a host or a path prefix is accepted.
 */
void checkRows(std::string_view bytes, const pierbank::DocumentCodec& documents) {
    const nlohmann::json row = pierbank::adapter::parseJson(bytes);
    if (row.is_discarded()) {
        return;
    }
    const nlohmann::json validRoute = {{"name", "r"}, {"host", "h"}, {"path_prefix", "/p/"}};
    const nlohmann::json validTenant = {{"name", "t"}, {"api_keys", {"k"}}};
    const nlohmann::json document = {{"version", 1},
                                     {"routes", {row, validRoute, row}},
                                     {"tenants", {row, row, validTenant}}};
    pierbank::Findings findings;
    const auto read = documents.readConfiguration(pierbank::adapter::dumpJson(document), findings);
    require(read.has_value() && read->findRoute("h", "/p/x") != nullptr);
    require(read->m_organisationsByKey.count("k") == 1);
    for (const pierbank::QueueRoute& route : read->m_routes) {
        require(!route.m_host.empty() && !route.m_pathPrefix.empty());
    }
}

/** Checks that a heartbeat is either read completely or rejected with findings. */
void checkHeartbeat(std::string_view bytes, const pierbank::DocumentCodec& documents) {
    pierbank::Findings findings;
    const auto heartbeat = documents.readHeartbeat("life", bytes, findings);
    require(heartbeat.has_value() == findings.isEmpty());
    require(!heartbeat.has_value() || !heartbeat->m_service.empty());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    pierbank::Reason reason;
    const auto frame = pierbank::decodeFrame(bytes, reason);
    if (frame.has_value() &&
        !(*pierbank::decodeFrame(pierbank::encodeFrame(*frame), reason) == *frame)) {
        std::abort();
    }
    pierbank::decodeJobRecord(bytes);
    pierbank::decodeJobRun(bytes);
    pierbank::decodeEarlyCancels(bytes);
    pierbank::TaskKey::parse(bytes);
    const pierbank::adapter::PlatformDocuments documents;
    pierbank::Findings findings;
    documents.readConfiguration(bytes, findings);
    documents.readJob(bytes, findings);
    checkHeartbeat(bytes, documents);
    checkRows(bytes, documents);
    documents.readWave(bytes, findings);
    const auto statement = pierbank::parseStatement(bytes);
    if (!statement.m_statement.has_value() && statement.m_error.m_message.empty()) {
        std::abort();
    }
    statement.m_error.toText(bytes);
    return 0;
}
