// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_LINEWRITER_H
#define PIERBANK_BASE_LINEWRITER_H

#include <cstdint>
#include <string_view>

namespace pierbank {

/**
 * Writes lines to a pipe, socket or file without ever waiting for its reader. A line that would
 * have to wait is dropped and counted; the next one that gets through is preceded by a line that
 * says how many are missing. The descriptor stays as it is: others may share it.
 */
class LineWriter {
public:
    /** Longer lines are cut: poll(2) promises room for PIPE_BUF (4096) bytes, not for more. */
    static constexpr std::size_t MAX_LINE = 4000;

    explicit LineWriter(int descriptor) : m_descriptor(descriptor) {}

    /** @param line without its end. */
    void write(std::string_view line);

    /** Lines dropped that no line has told of yet. */
    std::uint64_t getDropped() const { return m_dropped; }

private:
    bool isWritable() const;
    bool writeOut(std::string_view line) const;

    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_LINEWRITER_H
