// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_SCHEDULE_CONFIGURATIONCONTROLLER_H
#define PIERBANK_SCHEDULE_CONFIGURATIONCONTROLLER_H

#include <functional>
#include <memory>
#include <string>

#include "pierbank/base/EventLoop.h"
#include "pierbank/base/Random.h"
#include "pierbank/platform/CertainWriter.h"
#include "pierbank/platform/KeyValueService.h"
#include "pierbank/schedule/Configuration.h"

namespace pierbank {

/**
 * The configuration in force at this gateway. It comes from the platform's service by watch, with
 * a slow poll behind it, and from peers that have seen a higher version; it never goes back to a
 * lower one.
 */
class ConfigurationController {
public:
    using ChangedCallback = std::function<void(const Configuration&)>;
    using WriteCallback = CertainWriter::WriteCallback;

    ConfigurationController(KeyValueService& service, EventLoop& loop, Random& random);
    ~ConfigurationController();
    ConfigurationController(const ConfigurationController&) = delete;
    ConfigurationController& operator=(const ConfigurationController&) = delete;

    /** Begins to follow the service. `onChanged` is called for each new version in force. */
    void start(ChangedCallback onChanged);

    /** Whether any configuration is known, from the service or from a peer. */
    bool hasConfiguration() const noexcept { return m_isKnown; }
    const Configuration& get() const noexcept { return m_configuration; }
    /** The bytes that peers are given. */
    const std::string& getBytes() const noexcept { return m_bytes; }

    /** A peer's configuration; taken when its version is higher than the one in force. */
    void offer(std::string_view bytes);

    /**
     * Writes the next version; the change must be its last. In force here as soon as the write is
     * known to have taken effect. Not while isBusy().
     */
    void write(Configuration next, WriteCallback done);

    bool isBusy() const noexcept { return m_writer.isBusy(); }
    bool isUncertain() const noexcept { return m_writer.isUncertain(); }

    /** Monotonic time of the last answer of the service that confirmed the version in force. */
    Millis getConfirmedAt() const noexcept { return m_confirmedAt; }

    /** How long one watch waits, and how often the key is read in any case. */
    static constexpr Millis WATCH_WAIT{20'000};
    static constexpr Millis POLL_INTERVAL{5000};

private:
    void watch();
    void poll();
    void handleValue(const KeyValueReply& reply);
    void adopt(Configuration configuration, std::string bytes);
    Millis addJitter(Millis interval);

    KeyValueService& m_service;
    EventLoop& m_loop;
    Random& m_random;
    CertainWriter m_writer;
    ChangedCallback m_onChanged;
    Configuration m_configuration;
    std::string m_bytes;
    bool m_isKnown = false;
    Revision m_seenRevision = 0;
    Millis m_confirmedAt{0};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/** The key of the configuration in the platform's service. */
inline constexpr std::string_view CONFIGURATION_KEY = "config/current";

}  // namespace pierbank

#endif  // PIERBANK_SCHEDULE_CONFIGURATIONCONTROLLER_H
