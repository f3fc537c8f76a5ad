// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_CONTROL_RUNTIMES_H
#define PIERBANK_CONTROL_RUNTIMES_H

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pierbank/base/Clock.h"
#include "pierbank/control/HostRecord.h"
#include "pierbank/job/TaskPlanner.h"

namespace pierbank {

/** Observed run time of one run. */
struct RunTimeSample {
    std::string_view m_queue;
    /** Empty for steps without an image. */
    std::string_view m_image;
    /** Percent per second. */
    double m_rate = 0;
    /** Factor by which the run's host takes longer than an average one. */
    double m_slowness = 1.0;
    /** Declared run time. */
    Millis m_declared{0};
};

/**
 * Learns how long tasks run compared with their declared time, by queue and image: users declare
 * the time of an image wrongly in the same direction each time. Keeps the mean and the spread of
 * log(observed / declared run time). Declared times count as if some runs had confirmed them.
 */
class RunTimes {
public:
    /** Maximum number of images that are kept; the one whose last sample is the oldest goes. */
    static constexpr std::size_t MAX_IMAGES = 1000;

    /** Adds the sample of one run. Samples without a rate or declared time are ignored. */
    void recordSample(const RunTimeSample& sample, Millis now);
    /** Returns the run time on an average host of a task with this declared time. */
    RunTimeEstimate getRunTime(std::string_view queue, std::string_view image,
                               Millis declared) const;
    /**
     * Returns a record for each image, in ascending order of queue and image; if there are more
     * images than `maxRecords`, of those with the most samples. Copies no other names, so that it
     * may be called for each record that is sent.
     */
    std::vector<RunTimeRecord> exportRecords(std::size_t maxRecords = MAX_IMAGES) const;
    /**
     * Takes over what another leader learned about an image, unless as much is known already: the
     * same record may arrive several times, and must not count more than once.
     */
    void restore(const RunTimeRecord& record, Millis now);
    /** Forgets an image if all that is known of it was restored, so that a newer record counts. */
    void forgetRestored(std::string_view queue, std::string_view image);
    void clear() { m_images.clear(); }

private:
    /** Weighted sums over the samples of an image. */
    struct Image {
        double m_sum = 0;
        /** Sum of squares. */
        double m_squares = 0;
        double m_count = 0;
        Millis m_updatedAt{0};
        /** Whether a run was observed here since the last record was restored. */
        bool m_hasOwnSamples = false;
    };
    /** Queue and image. */
    using Key = std::pair<std::string, std::string>;
    using Images = std::map<Key, Image>;

    Image& findOrAdd(std::string_view queue, std::string_view image, Millis now);
    void removeOld(Millis now);

    Images m_images;
};

}  // namespace pierbank

#endif  // PIERBANK_CONTROL_RUNTIMES_H
