#pragma once

#include "../Decisions/PaceCounts.h"
#include "../Decisions/VersionRoute.h"
#include "../Protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Apricothead {

/** \class VersionCounts
 * \ingroup Gateway_Module
 * \brief Counts the attempts and responses of each service version on each route, since this gateway started.
 *
 * The waiting time of attempts that have no response counts as well, while they are under way and when they are given up: the slowest responses
 * of a version are those that never arrive. Streams count once more by their pace. Times are in ms of one monotonic clock.
 * \sa ServiceRolloutEvaluator
 */
class VersionCounts
{
public:
    /** Models whose paces are counted, for each version and route. */
    static constexpr std::size_t MaxModels = 16;

    /** Paces are only read out for services with a running roll-out. */
    void setRollouts(const google::protobuf::RepeatedPtrField<Wire::ServiceRollout> &rollouts);

    void recordStart(const VersionRoute &key, std::uint64_t nowMs);
    /** Records the first event or the complete response of an attempt that began at \a startedMs. */
    void recordAnswer(const VersionRoute &key, bool failed, std::uint64_t startedMs, std::uint64_t nowMs);
    /** Records the end of an attempt that was answered. */
    void recordEnd(const VersionRoute &key);
    /** Records the end of an attempt without an answer. \a wasGivenUp: the version may still have answered, so the time that it took counts. */
    void recordUnanswered(const VersionRoute &key, bool wasGivenUp, std::uint64_t startedMs, std::uint64_t nowMs);

    /** Records the typical gap of a stream. Callers choose the names of models, so the first MaxModels of a version and route count only. \sa StreamPace */
    void recordPace(const VersionRoute &key, const std::string &model, double gapMs);

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
        /** By model. */
        std::map<std::string, PaceCounts> paces;
    };
    /** Takes an attempt out of those that wait. \returns its waiting time in ms */
    static std::uint64_t endWait(Counts &counts, std::uint64_t startedMs, std::uint64_t nowMs);

    std::map<VersionRoute, Counts> counts;
    /** Services with a running roll-out. */
    std::set<std::string> rollingServices;
};

} // namespace Apricothead
