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
 * \brief Processes known to a replica from their heartbeats. Kept in memory only; times are in milliseconds of the replica's monotonic clock.
 * \sa ReplicaTask
 */
class Directory
{
public:
    /** \a silenceMs: an endpoint process without a heartbeat for longer is not listed; \a retentionMs: a process without one for longer is removed. */
    Directory(std::uint64_t silenceMs, std::uint64_t retentionMs);

    /** Heartbeats of an earlier incarnation of an endpoint process are ignored. */
    void recordHeartbeat(const Wire::Heartbeat &heartbeat, std::uint64_t nowMs);

    /** Unlists silent endpoint processes and removes processes whose retention time has passed. Called periodically. */
    void expire(std::uint64_t nowMs);

    /** Reports that a revision of the configuration was applied by this replica. */
    void revisionApplied(std::uint64_t revision, std::uint64_t nowMs);

    /** \returns the endpoint processes that are not silent, sorted by name */
    const std::vector<Wire::EndpointStatus> &endpoints() const;

    /** \returns a hash of endpoints(), which changes with the list; never 0 */
    std::uint64_t number() const;

    /** \returns the newest digest of each entry process that is not silent */
    std::vector<Wire::EntryDigest> digests(std::uint64_t nowMs) const;

    std::vector<Wire::ProcessStatus> processes(std::uint64_t nowMs) const;

    /** \returns the time in ms of the last heartbeat of \a endpoint with \a incarnation, nothing when there was none */
    std::optional<std::uint64_t> lastHeartbeat(const std::string &endpoint, std::uint64_t incarnation) const;

    /** \returns the ms from applying the newest revision until every known process had it in force, 0 while some do not */
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
    // Cached, since every heartbeat reads the number and the list changes rarely.
    std::vector<Wire::EndpointStatus> endpointList;
    std::uint64_t endpointListNumber = 1;
    std::uint64_t revision = 0;
    std::uint64_t revisionAtMs = 0;
    std::uint64_t inForceMs = 0;
};

} // namespace Apricothead
