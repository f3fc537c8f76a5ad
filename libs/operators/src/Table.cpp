// SPDX-License-Identifier: Apache-2.0
#include "pierbank/operators/Table.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pierbank {

namespace {

std::optional<double> parseNumber(std::string_view text) {
    double number = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/** Returns the sign of the order: numeric if both cells are numbers, else by text. */
int compare(const Cell& a, const Cell& b) {
    if (a.m_number.has_value() && b.m_number.has_value()) {
        return (*a.m_number > *b.m_number) - (*a.m_number < *b.m_number);
    }
    return a.m_text.compare(b.m_text);
}

bool matches(const Cell& cell, Comparison comparison, const Cell& value) {
    const int order = compare(cell, value);
    switch (comparison) {
        case Comparison::EQUAL:
            return order == 0;
        case Comparison::NOT_EQUAL:
            return order != 0;
        case Comparison::LESS:
            return order < 0;
        case Comparison::LESS_OR_EQUAL:
            return order <= 0;
        case Comparison::GREATER:
            return order > 0;
        case Comparison::GREATER_OR_EQUAL:
            break;
    }
    return order >= 0;
}

std::optional<std::size_t> findColumn(const Table& table, const std::string& name, Reason& reason) {
    const auto found = std::find(table.m_columns.begin(), table.m_columns.end(), name);
    if (found != table.m_columns.end()) {
        return static_cast<std::size_t>(found - table.m_columns.begin());
    }
    reason = "there is no column `" + name + "`; the columns are";
    for (const std::string& column : table.m_columns) {
        reason += " " + column;
    }
    return std::nullopt;
}

}  // namespace

Cell Cell::ofText(std::string_view text) {
    return {std::string(text), std::nullopt};
}

Cell Cell::ofNumber(double number) {
    constexpr double EXACT = 1e15;
    const bool isWhole = std::abs(number) < EXACT && number == std::floor(number);
    std::string text =
            isWhole ? std::to_string(static_cast<long long>(number)) : std::to_string(number);
    return {std::move(text), number};
}

std::optional<Table> selectRows(Table table, const Show& show, Reason& reason) {
    for (const Condition& condition : show.m_conditions) {
        const auto column = findColumn(table, condition.m_column, reason);
        if (!column.has_value()) {
            return std::nullopt;
        }
        const Cell value{condition.m_value, parseNumber(condition.m_value)};
        std::erase_if(table.m_rows, [&](const std::vector<Cell>& row) {
            return !matches(row[*column], condition.m_comparison, value);
        });
    }
    if (!show.m_orderBy.empty()) {
        const auto column = findColumn(table, show.m_orderBy, reason);
        if (!column.has_value()) {
            return std::nullopt;
        }
        const int sign = show.m_isDescending ? -1 : 1;
        std::stable_sort(table.m_rows.begin(), table.m_rows.end(),
                         [&](const auto& a, const auto& b) {
                             return sign * compare(a[*column], b[*column]) < 0;
                         });
    }
    if (show.m_limit.has_value() && table.m_rows.size() > *show.m_limit) {
        table.m_rows.resize(*show.m_limit);
    }
    return table;
}

}  // namespace pierbank
