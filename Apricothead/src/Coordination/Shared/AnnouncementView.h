#pragma once

#include "../../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AnnouncementView
 * \ingroup Coordination_Module
 * \brief Merged view of the endpoint announcements that a gateway received from several replicas.
 *
 * A partitioned replica reports endpoints as silent that others still receive heartbeats from, so an endpoint is silent only if all replicas that
 * list it report it as silent. It is leaving as soon as one replica reports that.
 */
class AnnouncementView
{
public:
    /** \returns the endpoints whose merged announcement changed */
    std::vector<Wire::EndpointAnnouncement> applyUpdate(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements);

    /** Applies a complete list: endpoints that were ready at the replica and are no longer listed become silent there. \returns as applyUpdate() */
    std::vector<Wire::EndpointAnnouncement> applyFullList(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements);

    /** Drops the announcements of a replica that became silent, except final states and those of endpoints that no other replica lists. */
    void forgetReplica(const std::string &replica);

    /** \returns the merged announcement, null when the endpoint is unknown. Valid until the next change. */
    const Wire::EndpointAnnouncement *find(const std::string &endpoint) const;

    /** \returns the digest of the ready endpoints reported by \a replica, 0 for an unknown replica. \sa AnnouncementRegistry::digest() */
    std::uint64_t digest(const std::string &replica) const;

private:
    std::map<std::string, std::map<std::string, Wire::EndpointAnnouncement>> reported;
};

} // namespace Apricothead
