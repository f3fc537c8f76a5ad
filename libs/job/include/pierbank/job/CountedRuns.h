// SPDX-License-Identifier: Apache-2.0
#ifndef PIERBANK_JOB_COUNTEDRUNS_H
#define PIERBANK_JOB_COUNTEDRUNS_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pierbank {

/**
 * Numbers of the failed runs of a task that were counted. Several runs of a task can be out at the
 * same time, and each end may be reported late, more than once and to several leaders; the numbers
 * tell whether a failure still has to be counted:
 *
 *     if (task.m_countedRuns.add(run)) {
 *         ++task.m_failures;
 *     }
 *
 * Part of the job's stored record. Runs are numbered from 1. Consecutive numbers from 1 are stored
 * as one bound, the others one by one, at most MAX_LISTED of them.
 */
class CountedRuns {
public:
    /**
     * Maximum number of runs above the bound that are stored one by one. When there are more, the
     * bound rises to the lowest of them; a lost run below it then doesn't count any more if its
     * failure is reported after all.
     */
    static constexpr std::size_t MAX_LISTED = 64;

    /** Adds a run. @return false if it must not be counted: it is known or not above the bound. */
    bool add(std::uint32_t run);
    bool contains(std::uint32_t run) const;
    /** Adds all runs up to a number, whether they were counted or not. */
    void addAllUpTo(std::uint32_t run);
    /** Returns the highest run; zero for none. */
    std::uint32_t getHighest() const;
    bool operator==(const CountedRuns&) const = default;

    /** All runs up to this number are contained; stored. */
    std::uint32_t m_bound = 0;
    /** Numbers above the bound, in ascending order; stored. */
    std::vector<std::uint32_t> m_listed;

private:
    /** Raises the bound over the listed runs that follow it without a gap. */
    void raiseBound();
};

}  // namespace pierbank

#endif  // PIERBANK_JOB_COUNTEDRUNS_H
