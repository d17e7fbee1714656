#pragma once

#include "../../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class Directory
 * \ingroup Coordination_Module
 * \brief The processes that a replica hears of by their heartbeats. Kept in memory only; all times are milliseconds of the replica's own clock.
 * \sa ReplicaTask
 */
class Directory
{
public:
    /** \a silenceMs: an endpoint process silent for longer is not listed; \a forgetMs: a process silent for longer is forgotten. */
    Directory(std::uint64_t silenceMs, std::uint64_t retentionMs);

    void recordHeartbeat(const Wire::Heartbeat &heartbeat, std::uint64_t nowMs);

    /** Takes silent endpoint processes off the list, and forgets processes that have been silent for too long. Called now and then. */
    void expire(std::uint64_t nowMs);

    /** A revision of the configuration is in force at this replica. */
    void revisionApplied(std::uint64_t revision, std::uint64_t nowMs);

    /** \returns the endpoint processes heard lately, in order of their names */
    const std::vector<Wire::EndpointStatus> &endpoints() const;

    /** \returns a number that changes with endpoints(); never 0 */
    std::uint64_t number() const;

    /** \returns the newest digest of each entry process heard lately */
    std::vector<Wire::EntryDigest> digests(std::uint64_t nowMs) const;

    std::vector<Wire::ProcessStatus> processes(std::uint64_t nowMs) const;

    /** \returns when \a endpoint was last heard under \a incarnation, nothing when it was not */
    std::optional<std::uint64_t> lastHeartbeat(const std::string &endpoint, std::uint64_t incarnation) const;

    /** \returns ms until every known process had the newest revision in force, 0 while some do not */
    std::uint64_t inForceAfterMs() const;

private:
    struct ProcessEntry {
        Wire::Heartbeat heartbeat;
        std::uint64_t lastHeartbeatMs = 0;
    };
    void checkInForce(std::uint64_t nowMs);
    void updateEndpointList(std::uint64_t nowMs);

    std::uint64_t silenceMs;
    std::uint64_t retentionMs;
    std::map<std::string, ProcessEntry> entries;
    // The list and its number change rarely, and every heartbeat asks for the number.
    std::vector<Wire::EndpointStatus> endpointList;
    std::uint64_t endpointListNumber = 1;
    std::uint64_t revision = 0;
    std::uint64_t revisionAtMs = 0;
    std::uint64_t inForceMs = 0;
};

} // namespace Apricothead
