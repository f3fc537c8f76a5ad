// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SOAK_CHILDPROCESS_H
#define PIERBANK_TEST_SOAK_CHILDPROCESS_H

#include <gio/gio.h>

#include <memory>
#include <string>
#include <vector>

#include "pierbank/base/EventLoop.h"

namespace pierbank::testing {

/**
 * Runs a program as a child process and restarts it whenever it ends. Output is appended to a log
 * file. Destruction kills the child. Runs on the event loop.
 */
class ChildProcess {
public:
    /**
     * @param loop must outlive this object.
     * @param name identifies the process in reports.
     * @param arguments the program and its arguments.
     */
    ChildProcess(EventLoop& loop, std::string name, std::vector<std::string> arguments,
                 std::string logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /** Starts the child. A failure to start is printed to stderr and not retried. */
    void start();
    /** Sends a signal; does nothing while the child is not running. */
    void signal(int number);
    /** Sets the delay between the end of the child and its restart. */
    void setRestartDelay(Millis pause) { m_restartDelay = pause; }
    const std::string& getName() const { return m_name; }
    const std::string& getLogPath() const { return m_logPath; }
    /** Number of times the child ended without a SIGKILL or SIGTERM from signal(). */
    unsigned countUnexpectedExits() const { return m_unexpectedExits; }

private:
    /** Counts the exit and schedules the restart. */
    void handleExit();

    EventLoop& m_loop;
    const std::string m_name;
    const std::vector<std::string> m_arguments;
    const std::string m_logPath;
    GSubprocess* m_process = nullptr;
    Millis m_restartDelay{300};
    /** The running child was sent SIGKILL or SIGTERM. */
    bool m_isSignalled = false;
    unsigned m_unexpectedExits = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SOAK_CHILDPROCESS_H
