// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_TEST_SUPPORT_GLIBFIXTURE_H
#define PIERBANK_TEST_SUPPORT_GLIBFIXTURE_H

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>

#include "pierbank/base/Address.h"
#include "pierbank/base/Findings.h"
#include "pierbank/base/GlibEventLoop.h"

namespace pierbank::testing {

/** Fixture for tests with real sockets on the loopback interface, run on one GLib loop. */
class GlibFixture : public ::testing::Test {
protected:
    /** Runs the loop until quit() is called; fails the test after 20 s. */
    void run() {
        const TimerId limit = m_loop.callLater(Millis(20'000), [this] {
            ADD_FAILURE() << "nothing happened";
            m_loop.quit();
        });
        m_loop.run();
        m_loop.cancel(limit);
    }

    /** Runs the loop until a condition holds; fails the test after 20 s. */
    void runUntil(const std::function<bool()>& condition) {
        checkLater(condition);
        run();
    }

    /**
     * Lets a server listen on the first free port from a start that depends on the process id, so
     * that tests in parallel processes rarely collide. Fails the test after 200 ports in use.
     */
    template <typename Server>
    Address listen(Server& server) {
        constexpr int FIRST_PORT = 30'000;
        constexpr int PORTS = 25'000;
        constexpr int TRIES = 200;
        Address address{"127.0.0.1", 0};
        for (int i = 0; i < TRIES; ++i) {
            const int port = FIRST_PORT + (static_cast<int>(getpid()) * 7 + i) % PORTS;
            address.m_port = static_cast<std::uint16_t>(port);
            Reason reason;
            if (server.listen(address, reason)) {
                return address;
            }
        }
        ADD_FAILURE() << "no free port";
        return address;
    }

    GlibEventLoop m_loop;

private:
    void checkLater(const std::function<bool()>& condition) {
        m_loop.callLater(Millis(1), [this, condition] {
            if (condition()) {
                m_loop.quit();
            } else {
                checkLater(condition);
            }
        });
    }
};

}  // namespace pierbank::testing

#endif  // PIERBANK_TEST_SUPPORT_GLIBFIXTURE_H
