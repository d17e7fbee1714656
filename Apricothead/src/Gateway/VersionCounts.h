#pragma once

#include "../Decisions/VersionRoute.h"
#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Apricothead {

/** \class VersionCounts
 * \ingroup Gateway_Module
 * \brief Counts the attempts and responses of each service version on each route, since this gateway started.
 *
 * The waiting time of attempts that have no response counts as well, while they are under way and when they are given up: the slowest responses
 * of a version are those that never arrive. Times are in ms of one monotonic clock.
 * \sa ServiceRolloutEvaluator
 */
class VersionCounts
{
public:
    void recordStart(const VersionRoute &key, std::uint64_t nowMs);
    /** Records the first event or the complete response of an attempt that began at \a startedMs. */
    void recordAnswer(const VersionRoute &key, bool failed, std::uint64_t startedMs, std::uint64_t nowMs);
    /** Records the end of an attempt that was answered. */
    void recordEnd(const VersionRoute &key);
    /** Records the end of an attempt without an answer. \a wasGivenUp: the version may still have answered, so the time that it took counts. */
    void recordUnanswered(const VersionRoute &key, bool wasGivenUp, std::uint64_t startedMs, std::uint64_t nowMs);

    std::vector<Wire::VersionCount> read(std::uint64_t nowMs) const;

private:
    struct Counts {
        std::uint64_t answers = 0;
        std::uint64_t failed = 0;
        std::uint64_t open = 0;
        std::uint64_t timeSumMs = 0;
        std::uint64_t waiting = 0;
        /** Sum of the start times of the attempts that wait. */
        std::uint64_t waitingSinceSumMs = 0;
    };
    /** Takes an attempt out of those that wait. \returns its waiting time in ms */
    static std::uint64_t endWait(Counts &counts, std::uint64_t startedMs, std::uint64_t nowMs);

    std::map<VersionRoute, Counts> counts;
};

} // namespace Apricothead
