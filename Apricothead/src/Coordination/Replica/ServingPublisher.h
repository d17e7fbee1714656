#pragma once

#include "../Shared/AnnouncementRegistry.h"

#include "../../Protocol/Messages.h"
#include "../../Transport/Router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ServingPublisherOptions
 * \ingroup Coordination_Module
 * \brief What a ServingPublisher reads, and where it sends.
 */
struct ServingPublisherOptions {
    std::function<const Wire::ServingState &()> serving;
    std::function<Wire::Membership()> membership;
    std::function<bool()> isLeader;
    /** Starts a read index round. \returns its id, 0 when this is no leader */
    std::function<std::uint64_t()> startRead;
    std::function<void(const PeerId &, const Wire::ClusterUpdate &)> send;
    /** Passes announcements on to the other replicas. */
    std::function<void(const Wire::Announcements &)> relay;
};

/** \class GatewayCounts
 * \ingroup Coordination_Module
 * \brief What one gateway counted of the versions it sent work to, since it started.
 */
struct GatewayCounts {
    std::string process;
    std::vector<Wire::VersionCount> versions;
};

/** \class ServingPublisher
 * \ingroup Coordination_Module
 * \brief Tells gateways the serving state and the announcements of endpoints, and confirms their leases. Part of the replica role.
 *
 * A lease is confirmed by a read index round that began after the gateway asked, so a leader that was deposed confirms none. One round serves
 * all gateways that asked within a chore interval.
 * \sa ServingView
 */
class ServingPublisher
{
public:
    explicit ServingPublisher(ServingPublisherOptions options);

    void handleHeartbeat(const PeerId &peer, const Wire::Heartbeat &heartbeat, std::uint64_t nowMs);
    void handlePeerGone(const PeerId &peer);

    /** A new serving state was applied. */
    void publishServingState();

    /** An endpoint's heartbeat arrived at this replica. */
    void handleAnnouncement(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs);
    void handleEndpointLeft(const std::string &endpoint, std::uint64_t nowMs);
    /** Another replica heard these. */
    void handleRelayedAnnouncements(const Wire::Announcements &announcements, std::uint64_t nowMs);

    /** Called ten times a second. */
    void runMaintenance(std::uint64_t nowMs);

    /** \returns true when \a id was a read of this feed */
    bool handleReadResult(std::uint64_t id, bool confirmed);

    /** \returns the counts of the gateways heard lately */
    std::vector<GatewayCounts> counts(std::uint64_t nowMs) const;

    std::uint32_t gatewayCount(std::uint64_t nowMs) const;

    /** \returns what is known of the endpoints */
    std::vector<Wire::EndpointAnnouncement> endpoints() const;

private:
    struct Gateway {
        std::string process;
        std::uint64_t servingNumber = 0;
        std::uint64_t planRevision = 0;
        std::uint64_t lastHeartbeatMs = 0;
        std::vector<Wire::VersionCount> versions;
        std::vector<Wire::EndpointLoad> loads;
        std::vector<std::uint64_t> heldSessions;
    };
    void fillHeldSessions(const PeerId &peer, Wire::ClusterUpdate &update) const;
    void fillLoads(const PeerId &peer, Wire::ClusterUpdate &update) const;
    void sendToGateways(const std::vector<Wire::EndpointAnnouncement> &changed);
    void publish(const std::vector<Wire::EndpointAnnouncement> &changed);
    void fillServing(Gateway &gateway, Wire::ClusterUpdate &update);
    void relayHeartbeats(std::uint64_t nowMs);

    ServingPublisherOptions options;
    AnnouncementRegistry registry;
    std::map<PeerId, Gateway> gateways;
    std::map<PeerId, std::uint64_t> pendingLeaseRounds;
    std::map<std::uint64_t, std::map<PeerId, std::uint64_t>> leaseReads;
    /** When each endpoint was heard here, rather than through another replica. */
    std::map<std::string, std::uint64_t> lastDirectHeartbeatMs;
    std::uint64_t lastMaintenanceMs = 0;
    std::uint64_t lastRelayMs = 0;
};

} // namespace Apricothead
