// SPDX-License-Identifier: Apache-2.0
#include "ChildProcess.h"

#include <fcntl.h>

#include <csignal>
#include <iostream>
#include <utility>

namespace pierbank::testing {

namespace {

struct Watch {
    std::function<void()> m_onEnd;

    static void call(GObject* process, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<Watch> watch(static_cast<Watch*>(data));
        g_subprocess_wait_finish(G_SUBPROCESS(process), result, nullptr);
        watch->m_onEnd();
    }
};

}  // namespace

ChildProcess::ChildProcess(EventLoop& loop, std::string name, std::vector<std::string> words,
                           std::string logPath)
        : m_loop(loop),
          m_name(std::move(name)),
          m_words(std::move(words)),
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
    std::vector<const char*> words;
    for (const std::string& word : m_words) {
        words.push_back(word.c_str());
    }
    words.push_back(nullptr);
    GSubprocessLauncher* const launcher =
            g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
    // Appended, so that the log goes on over restarts.
    constexpr int LOG_MODE = 0600;
    g_subprocess_launcher_take_stdout_fd(
            launcher, open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE));
    GError* error = nullptr;
    m_process = g_subprocess_launcher_spawnv(launcher, words.data(), &error);
    g_object_unref(launcher);
    if (m_process == nullptr) {
        std::cerr << m_name << ": " << error->message << "\n";
        g_error_free(error);
        return;
    }
    m_isSignalled = false;
    auto* const watch = new Watch{[this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            handleEnd();
        }
    }};
    g_subprocess_wait_async(m_process, nullptr, &Watch::call, watch);
}

void ChildProcess::signal(int number) {
    if (m_process == nullptr) {
        return;
    }
    m_isSignalled = m_isSignalled || number == SIGKILL || number == SIGTERM;
    g_subprocess_send_signal(m_process, number);
}

void ChildProcess::handleEnd() {
    m_ownEnds += m_isSignalled ? 0 : 1;
    g_clear_object(&m_process);
    m_loop.callLater(m_restartPause, [this, alive = std::weak_ptr(m_isAlive)] {
        if (!alive.expired()) {
            start();
        }
    });
}

}  // namespace pierbank::testing
