// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_BASE_METRICS_H
#define PIERBANK_BASE_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "pierbank/base/Clock.h"

namespace pierbank {

/** A stream of durations with running quantiles, by Boost.Accumulators. */
class LatencySummary {
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(const LatencySummary&) = delete;
    LatencySummary& operator=(const LatencySummary&) = delete;

    void add(Millis duration);
    std::uint64_t getCount() const;
    /** Milliseconds. */
    double getMedian() const;
    double get99th() const;
    double getSum() const;

private:
    struct Detail;
    std::unique_ptr<Detail> m_detail;
};

/** Builds a page of metrics in the Prometheus text format. */
class MetricsPage {
public:
    void addCounter(std::string_view name, std::string_view help, std::uint64_t value);
    /** One counter in several parts; each is named by its labels, as `kind="read"`. */
    void addCounters(std::string_view name, std::string_view help,
                     const std::map<std::string, std::uint64_t>& values);
    void addGauge(std::string_view name, std::string_view help, double value);
    void addSummary(std::string_view name, std::string_view help, const LatencySummary& summary);

    const std::string& getText() const noexcept { return m_text; }

private:
    void addHead(std::string_view name, std::string_view help, std::string_view type);

    std::string m_text;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_METRICS_H
