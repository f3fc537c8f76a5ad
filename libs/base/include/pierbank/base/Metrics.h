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

/** Count, sum and estimated quantiles of a stream of durations, by Boost.Accumulators. */
class LatencySummary {
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(const LatencySummary&) = delete;
    LatencySummary& operator=(const LatencySummary&) = delete;

    void add(Millis duration);
    std::uint64_t getCount() const;
    /** Returns an estimate of the median in milliseconds, or 0 without durations. */
    double getMedian() const;
    /** Returns an estimate of the 99th percentile in milliseconds, or 0 without durations. */
    double get99th() const;
    /** Returns the sum of all durations in milliseconds. */
    double getSum() const;

private:
    struct Detail;
    std::unique_ptr<Detail> m_detail;
};

/** Builds a page of metrics in the Prometheus text format. */
class MetricsPage {
public:
    /** Adds a counter without labels. @param help description of the metric. */
    void addCounter(std::string_view name, std::string_view help, std::uint64_t value);
    /**
     * Adds a counter with labels. @param values value for each set of labels, which has the form
     * `kind="read"`.
     */
    void addCounters(std::string_view name, std::string_view help,
                     const std::map<std::string, std::uint64_t>& values);
    void addGauge(std::string_view name, std::string_view help, double value);
    /** Adds a gauge with labels, see addCounters(). */
    void addGauges(std::string_view name, std::string_view help,
                   const std::map<std::string, std::uint64_t>& values);
    /** Adds the median, the 99th percentile, the sum and the count of a summary. */
    void addSummary(std::string_view name, std::string_view help, const LatencySummary& summary);

    /** Returns the page as built so far. */
    const std::string& getText() const noexcept { return m_text; }

private:
    void addHeader(std::string_view name, std::string_view help, std::string_view type);
    void addLabelled(std::string_view name, const std::map<std::string, std::uint64_t>& values);

    std::string m_text;
};

}  // namespace pierbank

#endif  // PIERBANK_BASE_METRICS_H
