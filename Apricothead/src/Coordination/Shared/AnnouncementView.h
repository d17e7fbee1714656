#pragma once

#include "../../Protocol/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AnnouncementView
 * \ingroup Coordination_Module
 * \brief The announcements that a gateway heard from several replicas, merged.
 *
 * A replica that is cut off calls endpoints silent which others hear: an endpoint is silent only if all replicas that list it say so. One
 * replica that heard of its leaving suffices.
 */
class AnnouncementView
{
public:
    /** \returns the endpoints whose merged announcement changed */
    std::vector<Wire::EndpointAnnouncement> applyUpdate(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements);

    /** The replica listed all that it knows: what it listed before and does not now is silent there. \returns as take() */
    std::vector<Wire::EndpointAnnouncement> applyFullList(const std::string &replica, const std::vector<Wire::EndpointAnnouncement> &announcements);

    /** The replica went silent: what it said of silence no longer counts, unless it is the only one that listed an endpoint. */
    void forgetReplica(const std::string &replica);

    /** \returns the merged announcement, nothing when the endpoint is not known */
    std::optional<Wire::EndpointAnnouncement> find(const std::string &endpoint) const;

private:
    std::map<std::string, std::map<std::string, Wire::EndpointAnnouncement>> reported;
};

} // namespace Apricothead
