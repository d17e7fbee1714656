#pragma once

#include "../Decisions/StreamPace.h"
#include "../Decisions/VersionRoute.h"
#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Apricothead {

/** \class VersionCounts
 * \ingroup Gateway_Module
 * \brief Counts the attempts and responses of each service version on each route, since this gateway started.
 *
 * The waiting time of attempts that have no response counts as well, while they are under way and when they are given up: the slowest responses
 * of a version are those that never arrive. Streams are counted by their pace when they end, however they end, and while they are under way. Times are in ms of
 * one monotonic clock. \sa ServiceRolloutEvaluator
 */
class VersionCounts
{
public:
    /** Counts the target of a running roll-out from zero when its order is new: what it did under an earlier order is no evidence. */
    void setRollouts(const google::protobuf::RepeatedPtrField<Wire::ServiceRollout> &rollouts);

    void recordStart(const VersionRoute &key, std::uint64_t nowMs);
    /** Records the first event or the complete response of an attempt that began at \a startedMs. */
    void recordAnswer(const VersionRoute &key, bool failed, std::uint64_t startedMs, std::uint64_t nowMs);
    /** Records the end of an attempt that was answered. */
    void recordEnd(const VersionRoute &key);
    /** Records the end of an attempt without an answer. \a wasGivenUp: the version may still have answered, so the time that it took counts. */
    void recordUnanswered(const VersionRoute &key, bool wasGivenUp, std::uint64_t startedMs, std::uint64_t nowMs);

    /** Records the first event of a stream. \returns its number, for its further events and its end */
    std::uint64_t recordStreamStart(const VersionRoute &key, std::uint64_t nowMs);
    void recordEvent(std::uint64_t stream);
    /** Records the end of a stream, whole or cut. */
    void recordStreamEnd(std::uint64_t stream, std::uint64_t nowMs);

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
        PaceCounts endedPaces{};
    };
    struct Stream {
        VersionRoute key;
        std::uint64_t startedMs = 0;
        /** After the first one. */
        std::uint64_t events = 0;
    };
    /** Takes an attempt out of those that wait. \returns its waiting time in ms */
    static std::uint64_t endWait(Counts &counts, std::uint64_t startedMs, std::uint64_t nowMs);

    std::map<VersionRoute, Counts> counts;
    std::unordered_map<std::uint64_t, Stream> streams;
    std::uint64_t lastStream = 0;
    /** Services with a running roll-out. */
    std::set<std::string> rollingServices;
    /** The latest order seen for a target, by service and version. */
    std::map<std::pair<std::string, std::string>, std::uint64_t> orders;
};

} // namespace Apricothead
