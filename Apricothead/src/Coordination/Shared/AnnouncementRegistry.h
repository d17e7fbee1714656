#pragma once

#include "../../Protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AnnouncementRegistry
 * \ingroup Coordination_Module
 * \brief Endpoint announcements known to one replica, received directly or through other replicas. Kept in memory only.
 *
 * Delayed heartbeats are recognised by incarnation and sequence. The states leaving and gone are final for an incarnation. An address belongs to
 * the incarnation that started last. A report of a service that no plan names is listed, but takes over neither the id nor the address of an endpoint of
 * a named one.
 */
class AnnouncementRegistry
{
public:
    /** \a silenceMs: a ready endpoint without a heartbeat for longer is listed as silent; \a retentionMs: an endpoint in another state without
     * one for longer is removed; \a isNamed: whether the plan in force names a service, empty when all are named. */
    AnnouncementRegistry(std::uint64_t silenceMs, std::uint64_t retentionMs, std::function<bool(const std::string &service)> isNamed = {});

    /** \returns the announcements that differ from before by more than the sequence; empty for a delayed or repeated heartbeat */
    std::vector<Wire::EndpointAnnouncement> recordHeartbeat(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs);

    /**
     * Marks an endpoint as gone that has left without naming its incarnation. Within \a silenceMs after it has started again, the departure is taken for
     * that of the former incarnation. \returns the changed announcement, empty when nothing changed
     */
    std::vector<Wire::EndpointAnnouncement> markGone(const std::string &endpoint, std::uint64_t nowMs);

    /** Marks an endpoint as gone unless it has started again since. \returns as the other markGone() */
    std::vector<Wire::EndpointAnnouncement> markGone(const std::string &endpoint, std::int64_t bornMs, std::uint64_t nowMs);

    /** Removes outdated announcements. \returns the endpoints that became silent. To be preceded by resetSilence() when the caller was suspended. */
    std::vector<Wire::EndpointAnnouncement> expire(std::uint64_t nowMs);

    /** Restarts the silence time of every endpoint, since no heartbeats could be received until \a nowMs. */
    void resetSilence(std::uint64_t nowMs);

    std::vector<Wire::EndpointAnnouncement> all() const;

    /** \returns the announcement of an endpoint, null when it is unknown. Valid until the next change. */
    const Wire::EndpointAnnouncement *find(const std::string &endpoint) const;

    /** \returns a digest of the ready endpoints. \sa announcementHash() */
    std::uint64_t digest() const;

    /** \returns the ready endpoints with a heartbeat after \a sinceMs */
    std::vector<Wire::EndpointAnnouncement> activeSince(std::uint64_t sinceMs) const;

private:
    struct Entry {
        Wire::EndpointAnnouncement announcement;
        std::uint64_t lastHeartbeatMs = 0;
        /** When this incarnation replaced a former one; nothing when none was known. */
        std::optional<std::uint64_t> startedAgainMs;
        /** Its service has been named since this incarnation was first heard, so that its address is taken to be its own. */
        bool holdsAddress = false;
    };
    bool isOfNamedService(const Wire::EndpointAnnouncement &announcement) const;
    std::vector<Wire::EndpointAnnouncement> setGone(Entry &entry, std::uint64_t nowMs);
    void retirePreviousHolders(const Wire::EndpointAnnouncement &holder, std::uint64_t nowMs, std::vector<Wire::EndpointAnnouncement> &changed);
    bool isAddressHeldByNewer(const Wire::EndpointAnnouncement &announcement) const;

    std::uint64_t silenceMs;
    std::uint64_t retentionMs;
    std::function<bool(const std::string &service)> isNamed;
    std::map<std::string, Entry> entries;
};

/** \returns true when \a state is final for an incarnation */
bool isFinal(Wire::AnnouncedState state);

/** \returns true when both describe the same incarnation in the same state. The sequence, which every heartbeat increments, is not compared. */
bool hasSameContent(const Wire::EndpointAnnouncement &left, const Wire::EndpointAnnouncement &right);

/** \returns a hash of what hasSameContent() compares, 0 for an endpoint that is not ready. The digest of a list is the sum of its hashes, so it
 * does not depend on the order. */
std::uint64_t announcementHash(const Wire::EndpointAnnouncement &announcement);

} // namespace Apricothead
