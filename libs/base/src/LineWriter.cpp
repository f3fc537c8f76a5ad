// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <string>

namespace pierbank {

void LineWriter::write(std::string_view line) {
    if (m_dropped > 0) {
        const std::string notice = "warning log lines-dropped count=" + std::to_string(m_dropped);
        if (!isWritable() || !writeOut(notice)) {
            ++m_dropped;
            return;
        }
        m_dropped = 0;
    }
    if (!isWritable() || !writeOut(line)) {
        ++m_dropped;
    }
}

bool LineWriter::isWritable() const {
    pollfd watched{m_descriptor, POLLOUT, 0};
    return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

bool LineWriter::writeOut(std::string_view line) const {
    std::string bytes(line.substr(0, MAX_LINE));
    bytes += '\n';
    return ::write(m_descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

}  // namespace pierbank
