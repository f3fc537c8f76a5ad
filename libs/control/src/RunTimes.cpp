// SPDX-License-Identifier: Apache-2.0
#include "pierbank/control/RunTimes.h"

#include <algorithm>
#include <cmath>

#include "pierbank/base/Scale.h"

namespace pierbank {

namespace {

/** Factor applied to older samples with each new one: about the last twenty samples count. */
constexpr double SAMPLE_DECAY = 0.95;
/** Weight, in samples, of the declared time. */
constexpr double PRIOR_RUNS = 2.0;
/** Assumed spread of log(observed / declared): one task in ten runs half as long again. */
constexpr double PRIOR_SPREAD = 0.32;
/** Multiple of the spread that one task in ten exceeds. */
constexpr double HIGH_QUANTILE = 1.28;
/** Maximum of |log(observed / declared)|, a factor of four: more was no matter of the image. */
constexpr double MAX_LOG_RATIO = 1.4;
/** Time without samples after which an image is removed. */
constexpr Millis IMAGE_RETENTION{3'600'000};
constexpr double PERCENT_MILLIS_PER_SECOND = 100.0 * 1000.0;

}  // namespace

void RunTimes::recordSample(const RunTimeSample& sample, Millis now) {
    if (sample.m_rate <= 0 || sample.m_slowness <= 0 || sample.m_declared <= Millis(0)) {
        return;
    }
    const double runTime = PERCENT_MILLIS_PER_SECOND / sample.m_rate / sample.m_slowness;
    const double ratio = std::log(runTime / static_cast<double>(sample.m_declared.count()));
    const double logRatio = std::clamp(ratio, -MAX_LOG_RATIO, MAX_LOG_RATIO);
    Image& image = findOrAdd(sample.m_queue, sample.m_image, now);
    image.m_sum = image.m_sum * SAMPLE_DECAY + logRatio;
    image.m_squares = image.m_squares * SAMPLE_DECAY + logRatio * logRatio;
    image.m_count = image.m_count * SAMPLE_DECAY + 1;
    image.m_updatedAt = now;
    image.m_hasOwnSamples = true;
}

RunTimeEstimate RunTimes::getRunTime(std::string_view queue, std::string_view image,
                                     Millis declared) const {
    const auto found = m_images.find({std::string(queue), std::string(image)});
    const Image known = found == m_images.end() ? Image() : found->second;
    const double weight = known.m_count + PRIOR_RUNS;
    const double logRatio = known.m_sum / weight;
    const double mean = known.m_count > 0 ? known.m_sum / known.m_count : 0.0;
    const double deviations = std::max(0.0, known.m_squares - mean * known.m_sum);
    const double spread =
            std::sqrt((deviations + PRIOR_RUNS * PRIOR_SPREAD * PRIOR_SPREAD) / weight);
    return {scale(declared, std::exp(logRatio)),
            scale(declared, std::exp(logRatio + HIGH_QUANTILE * spread))};
}

std::vector<RunTimeRecord> RunTimes::exportRecords(std::size_t maxRecords) const {
    std::vector<const Images::value_type*> chosen;
    chosen.reserve(m_images.size());
    for (const auto& entry : m_images) {
        chosen.push_back(&entry);
    }
    if (chosen.size() > maxRecords) {
        const auto end = chosen.begin() + static_cast<std::ptrdiff_t>(maxRecords);
        std::nth_element(chosen.begin(), end, chosen.end(), [](const auto* a, const auto* b) {
            return a->second.m_count > b->second.m_count;
        });
        chosen.erase(end, chosen.end());
        std::sort(chosen.begin(), chosen.end(),
                  [](const auto* a, const auto* b) { return a->first < b->first; });
    }
    std::vector<RunTimeRecord> records;
    records.reserve(chosen.size());
    for (const auto* const entry : chosen) {
        const auto& [key, image] = *entry;
        records.push_back({key.first, key.second, image.m_sum / image.m_count, image.m_count});
    }
    return records;
}

void RunTimes::restore(const RunTimeRecord& record, Millis now) {
    constexpr double MAX_SAMPLES = 1.0 / (1.0 - SAMPLE_DECAY);
    // Also rejects values that are no numbers, which a damaged record may contain.
    if (!(std::abs(record.m_logRatio) <= MAX_LOG_RATIO) ||
        !(record.m_samples > 0 && record.m_samples <= MAX_SAMPLES)) {
        return;
    }
    const auto found = m_images.find({record.m_queue, record.m_image});
    if (found != m_images.end() && found->second.m_count >= record.m_samples) {
        return;
    }
    // Records have no spread, so the assumed one applies to their samples.
    const double square = record.m_logRatio * record.m_logRatio + PRIOR_SPREAD * PRIOR_SPREAD;
    findOrAdd(record.m_queue, record.m_image, now) = {record.m_logRatio * record.m_samples,
                                                      square * record.m_samples, record.m_samples,
                                                      now, false};
}

void RunTimes::forgetRestored(std::string_view queue, std::string_view image) {
    const auto found = m_images.find({std::string(queue), std::string(image)});
    if (found != m_images.end() && !found->second.m_hasOwnSamples) {
        m_images.erase(found);
    }
}

RunTimes::Image& RunTimes::findOrAdd(std::string_view queue, std::string_view image, Millis now) {
    Key key{std::string(queue), std::string(image)};
    const auto found = m_images.find(key);
    if (found != m_images.end()) {
        return found->second;
    }
    removeOld(now);
    Image& added = m_images[std::move(key)];
    added.m_updatedAt = now;
    return added;
}

/** Makes room for one more image. */
void RunTimes::removeOld(Millis now) {
    std::erase_if(m_images, [&](const auto& entry) {
        return now - entry.second.m_updatedAt > IMAGE_RETENTION;
    });
    if (m_images.size() >= MAX_IMAGES) {
        m_images.erase(std::min_element(m_images.begin(), m_images.end(),
                                        [](const auto& a, const auto& b) {
                                            return a.second.m_updatedAt < b.second.m_updatedAt;
                                        }));
    }
}

}  // namespace pierbank
