// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_OPERATORS_TABLE_H
#define PIERBANK_OPERATORS_TABLE_H

#include <optional>
#include <string>
#include <vector>

#include "pierbank/base/Findings.h"
#include "pierbank/statement/Statement.h"

namespace pierbank {

/** One value of a table: a text, or a number, which is sorted and compared numerically. */
struct Cell {
    std::string m_text;
    std::optional<double> m_number;

    static Cell ofText(std::string_view text);
    static Cell ofNumber(double number);
    bool operator==(const Cell&) const = default;
};

/** Result of a query: rows of cells, one cell for each named column. */
struct Table {
    std::vector<std::string> m_columns;
    std::vector<std::vector<Cell>> m_rows;
};

/**
 * Applies the conditions, the order and the limit of a `show`.
 * @return the selected rows; nothing, with `reason` set, if the statement names an unknown column.
 */
std::optional<Table> selectRows(Table table, const Show& show, Reason& reason);

}  // namespace pierbank

#endif  // PIERBANK_OPERATORS_TABLE_H
