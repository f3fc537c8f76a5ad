// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_LINEWRITER_H
#define PIERBANK_BASE_LINEWRITER_H

#include <cstdint>
#include <string_view>

namespace pierbank {

/**
 * Writes lines to a pipe, socket or file without blocking. A line that cannot be written
 * immediately is dropped and counted. The next line that can be written is preceded by a line with
 * the number of dropped lines. The file descriptor is not switched to non-blocking mode, because
 * other processes may share it.
 */
class LineWriter {
public:
    /**
     * Maximum length of a line in bytes; longer lines are truncated. A pipe that poll(2) reports as
     * writable accepts PIPE_BUF (4096) bytes without blocking, and no more is guaranteed.
     */
    static constexpr std::size_t MAX_LINE = 4000;

    explicit LineWriter(int descriptor) : m_descriptor(descriptor) {}

    /** Writes or drops a line. @param line text without the line break. */
    void write(std::string_view line);

    /** Returns the number of dropped lines that have not been reported in the output yet. */
    std::uint64_t getDropped() const { return m_dropped; }

private:
    bool isWritable() const;
    bool writeOut(std::string_view line) const;

    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_LINEWRITER_H
