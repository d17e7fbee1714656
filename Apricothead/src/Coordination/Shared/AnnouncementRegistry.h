#pragma once

#include "../../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AnnouncementRegistry
 * \ingroup Coordination_Module
 * \brief What endpoints said of themselves in their heartbeats, as one replica heard it. Kept in memory only.
 *
 * Late heartbeats are told apart by incarnation and sequence. An endpoint that is leaving or gone stays so for its incarnation. An
 * address belongs to the incarnation that started last.
 */
class AnnouncementRegistry
{
public:
    /** \a silenceMs: an endpoint without a heartbeat for longer is listed as silent; \a forgetMs: one that is gone for longer is dropped. */
    AnnouncementRegistry(std::uint64_t silenceMs, std::uint64_t retentionMs);

    /** \returns the announcements that changed what is known, beside a newer sequence; empty for a late or repeated heartbeat */
    std::vector<Wire::EndpointAnnouncement> recordHeartbeat(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs);

    /** The endpoint said that it ends. \returns what changed */
    std::vector<Wire::EndpointAnnouncement> markGone(const std::string &endpoint, std::uint64_t nowMs);

    /** \returns the endpoints that fell silent. A caller that was suspended itself calls grace() first. */
    std::vector<Wire::EndpointAnnouncement> expire(std::uint64_t nowMs);

    /** Gives every endpoint its full time again: nothing could be heard until \a nowMs. */
    void resetSilence(std::uint64_t nowMs);

    std::vector<Wire::EndpointAnnouncement> all() const;

    /** \returns endpoints that are ready and were heard after \a sinceMs */
    std::vector<Wire::EndpointAnnouncement> activeSince(std::uint64_t sinceMs) const;

private:
    struct Entry {
        Wire::EndpointAnnouncement announcement;
        std::uint64_t lastHeartbeatMs = 0;
    };
    void retirePreviousHolders(const Wire::EndpointAnnouncement &holder, std::uint64_t nowMs, std::vector<Wire::EndpointAnnouncement> &changed);
    bool isAddressHeldByNewer(const Wire::EndpointAnnouncement &announcement) const;

    std::uint64_t silenceMs;
    std::uint64_t retentionMs;
    std::map<std::string, Entry> entries;
};

/** \returns true when \a state is final for an incarnation */
bool isFinal(Wire::AnnouncedState state);

} // namespace Apricothead
