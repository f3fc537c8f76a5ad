// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_CHILDPROCESS_H
#define PIERBANK_TEST_SOAK_CHILDPROCESS_H

#include <gio/gio.h>

#include <memory>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"

namespace pierbank::testing {

/** A real process of the system, which comes back whenever it ends. Its output goes to a file. */
class ChildProcess {
public:
    /** The loop must outlive the process. */
    ChildProcess(EventLoop& loop, std::string name, std::vector<std::string> words,
                 std::string logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void start();
    void signal(int number);
    /** After it ends it stays away for so long. */
    void setRestartPause(Millis pause) { m_restartPause = pause; }
    const std::string& getName() const { return m_name; }
    const std::string& getLogPath() const { return m_logPath; }
    /** Times it ended without a signal of ours. */
    unsigned countOwnEnds() const { return m_ownEnds; }

private:
    void handleEnd();

    EventLoop& m_loop;
    const std::string m_name;
    const std::vector<std::string> m_words;
    const std::string m_logPath;
    GSubprocess* m_process = nullptr;
    Millis m_restartPause{300};
    bool m_isSignalled = false;
    unsigned m_ownEnds = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_CHILDPROCESS_H
