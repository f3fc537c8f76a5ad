// SPDX-License-Identifier: Apache-2.0
#include "pierbank/base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace pierbank {

namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

constexpr double MEDIAN = 0.5;
constexpr double PERCENTILE_99 = 0.99;

}  // namespace

struct LatencySummary::Detail {
    Quantile m_median{acc::quantile_probability = MEDIAN};
    Quantile m_percentile99{acc::quantile_probability = PERCENTILE_99};
    Totals m_totals;
};

LatencySummary::LatencySummary() : m_detail(std::make_unique<Detail>()) {}
LatencySummary::~LatencySummary() = default;

void LatencySummary::add(Millis duration) {
    const auto millis = static_cast<double>(duration.count());
    m_detail->m_median(millis);
    m_detail->m_percentile99(millis);
    m_detail->m_totals(millis);
}

std::uint64_t LatencySummary::getCount() const {
    return acc::count(m_detail->m_totals);
}

double LatencySummary::getMedian() const {
    return getCount() == 0 ? 0.0 : acc::p_square_quantile(m_detail->m_median);
}

double LatencySummary::get99th() const {
    return getCount() == 0 ? 0.0 : acc::p_square_quantile(m_detail->m_percentile99);
}

double LatencySummary::getSum() const {
    return acc::sum(m_detail->m_totals);
}

void MetricsPage::addHeader(std::string_view name, std::string_view help, std::string_view type) {
    m_text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    m_text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void MetricsPage::addCounter(std::string_view name, std::string_view help, std::uint64_t value) {
    addHeader(name, help, "counter");
    m_text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void MetricsPage::addCounters(std::string_view name, std::string_view help,
                              const std::map<std::string, std::uint64_t>& values) {
    addHeader(name, help, "counter");
    addLabelled(name, values);
}

void MetricsPage::addGauges(std::string_view name, std::string_view help,
                            const std::map<std::string, std::uint64_t>& values) {
    addHeader(name, help, "gauge");
    addLabelled(name, values);
}

void MetricsPage::addLabelled(std::string_view name,
                              const std::map<std::string, std::uint64_t>& values) {
    for (const auto& [labels, value] : values) {
        m_text.append(name).append("{").append(labels).append("} ");
        m_text.append(std::to_string(value)).append("\n");
    }
}

void MetricsPage::addGauge(std::string_view name, std::string_view help, double value) {
    addHeader(name, help, "gauge");
    m_text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void MetricsPage::addSummary(std::string_view name, std::string_view help,
                             const LatencySummary& summary) {
    addHeader(name, help, "summary");
    const std::string base(name);
    m_text += base + "{quantile=\"0.5\"} " + std::to_string(summary.getMedian()) + "\n";
    m_text += base + "{quantile=\"0.99\"} " + std::to_string(summary.get99th()) + "\n";
    m_text += base + "_sum " + std::to_string(summary.getSum()) + "\n";
    m_text += base + "_count " + std::to_string(summary.getCount()) + "\n";
}

}  // namespace pierbank
