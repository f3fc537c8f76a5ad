// SPDX-License-Identifier: Apache-2.0
#include "ChildProcess.h"

#include <fcntl.h>

#include <csignal>
#include <iostream>
#include <utility>

namespace pierbank::testing {

namespace {

/** Calls a function when a GSubprocess has ended; passed to GIO as user data. */
struct ExitWatch {
    std::function<void()> m_onExit;

    static void call(GObject* process, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<ExitWatch> watch(static_cast<ExitWatch*>(data));
        g_subprocess_wait_finish(G_SUBPROCESS(process), result, nullptr);
        watch->m_onExit();
    }
};

}  // namespace

ChildProcess::ChildProcess(EventLoop& loop, std::string name, std::vector<std::string> arguments,
                           std::string logPath)
        : m_loop(loop),
          m_name(std::move(name)),
          m_arguments(std::move(arguments)),
          m_logPath(std::move(logPath)) {}

ChildProcess::~ChildProcess() {
    m_isAlive.reset();
    if (m_process != nullptr) {
        g_subprocess_send_signal(m_process, SIGCONT);
        g_subprocess_force_exit(m_process);
        g_subprocess_wait(m_process, nullptr, nullptr);
        g_object_unref(m_process);
    }
}

void ChildProcess::start() {
    std::vector<const char*> arguments;
    for (const std::string& argument : m_arguments) {
        arguments.push_back(argument.c_str());
    }
    arguments.push_back(nullptr);
    GSubprocessLauncher* const launcher =
            g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
    // O_APPEND keeps the log of earlier starts of the same process.
    constexpr int LOG_MODE = 0600;
    g_subprocess_launcher_take_stdout_fd(
            launcher, open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE));
    GError* error = nullptr;
    m_process = g_subprocess_launcher_spawnv(launcher, arguments.data(), &error);
    g_object_unref(launcher);
    if (m_process == nullptr) {
        std::cerr << m_name << ": " << error->message << "\n";
        g_error_free(error);
        return;
    }
    m_isSignalled = false;
    auto* const watch = new ExitWatch{[this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            handleExit();
        }
    }};
    g_subprocess_wait_async(m_process, nullptr, &ExitWatch::call, watch);
}

void ChildProcess::signal(int number) {
    if (m_process == nullptr) {
        return;
    }
    m_isSignalled = m_isSignalled || number == SIGKILL || number == SIGTERM;
    g_subprocess_send_signal(m_process, number);
}

void ChildProcess::handleExit() {
    m_unexpectedExits += m_isSignalled ? 0 : 1;
    g_clear_object(&m_process);
    m_loop.callLater(m_restartDelay, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            start();
        }
    });
}

}  // namespace pierbank::testing
