// SPDX-License-Identifier: Apache-2.0
#include "AnswerPrinter.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "pierbank/http/HttpStatus.h"

namespace pierbank {

namespace {

using Json = nlohmann::json;

std::string toText(const Json& cell) {
    if (cell.is_string()) {
        return cell.get<std::string>();
    }
    const double number = cell.is_number() ? cell.get<double>() : 0.0;
    const bool isWhole = number == static_cast<double>(static_cast<long long>(number));
    return isWhole ? std::to_string(static_cast<long long>(number)) : cell.dump();
}

void printRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const bool isLast = i + 1 == cells.size();
        line += cells[i];
        line += isLast ? "" : std::string(widths[i] - cells[i].size() + 2, ' ');
    }
    std::cout << line << "\n";
}

void printTable(const Json& table) {
    std::vector<std::vector<std::string>> lines;
    lines.push_back(table.value("columns", std::vector<std::string>()));
    for (const Json& row : table.value("rows", Json::array())) {
        std::vector<std::string> cells;
        std::transform(row.begin(), row.end(), std::back_inserter(cells), &toText);
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size() && i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : lines) {
        printRow(line, widths);
    }
    std::cout << "(" << lines.size() - 1 << (lines.size() == 2 ? " row)" : " rows)") << "\n";
}

CommandExit toExit(const std::string& status) {
    if (status == "done") {
        return CommandExit::DONE;
    }
    if (status == "invalid") {
        return CommandExit::USAGE;
    }
    return status == "refused" ? CommandExit::REFUSED : CommandExit::UNREACHABLE;
}

}  // namespace

CommandExit printAnswer(const HttpResult& answer, bool asJson) {
    if (answer.m_status == 0) {
        std::cerr << (answer.m_isRefused ? "not run: the gateway cannot be reached: "
                                         : "unknown: the gateway did not answer: ")
                  << answer.m_reason << "\n";
        return CommandExit::UNREACHABLE;
    }
    const Json body = Json::parse(answer.m_body, nullptr, false);
    if (!body.is_object() || !body.contains("status")) {
        std::cerr << answer.m_body;
        return answer.m_status == HTTP_UNAUTHORIZED ? CommandExit::USAGE : CommandExit::UNREACHABLE;
    }
    const auto status = body.value("status", std::string());
    if (asJson) {
        std::cout << answer.m_body << "\n";
        return toExit(status);
    }
    const auto message = body.value("message", std::string());
    if (!message.empty()) {
        (status == "done" ? std::cout : std::cerr)
                << (status == "refused" ? "refused: " : "") << message << "\n";
    }
    if (body.contains("table")) {
        printTable(body["table"]);
    }
    return toExit(status);
}

}  // namespace pierbank
