#pragma once

#include "../Shared/AnnouncementRegistry.h"

#include "../../Decisions/LoadTotals.h"
#include "../../Decisions/PermitIssuer.h"
#include "../../Decisions/PromptNews.h"
#include "../../Protocol/Messages.h"
#include "../../Transport/Router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ServingPublisherOptions
 * \ingroup Coordination_Module
 * \brief Sources and sinks of a ServingPublisher.
 */
struct ServingPublisherOptions {
    std::function<const Wire::ServingState &()> serving;
    std::function<Wire::Membership()> membership;
    std::function<bool()> isLeader;
    /** Starts a read index round. \returns its id, 0 when this replica is not the leader */
    std::function<std::uint64_t()> startRead;
    /** Sends an update. \a common: a serialised envelope to be appended, whose update is thereby merged into this one; empty for none. */
    std::function<void(const PeerId &, const Wire::ClusterUpdate &, const std::string &common)> send;
    /** Evidence for and against suspect parts, from a gateway's heartbeat to the leader. */
    std::function<void(Wire::UpdateSuspects)> onEvidence;
    /** Sends announcements to the other replicas. */
    std::function<void(const Wire::Announcements &)> relay;
};

/** \class GatewayCounts
 * \ingroup Coordination_Module
 * \brief Counts per version of the requests that one gateway has forwarded since its start.
 */
struct GatewayCounts {
    std::string process;
    std::vector<Wire::VersionCount> versions;
};

/** \class ServingPublisher
 * \ingroup Coordination_Module
 * \brief Publishes the serving state and the endpoint announcements to gateways, and confirms their leases. Part of the replica role.
 *
 * A lease is confirmed by a read index round started after the gateway's request, so a deposed leader confirms none. One round serves all
 * gateways whose requests arrived within a maintenance interval.
 * \sa ServingView
 */
class ServingPublisher
{
public:
    explicit ServingPublisher(ServingPublisherOptions options);

    void handleHeartbeat(const PeerId &peer, const Wire::Heartbeat &heartbeat, std::uint64_t nowMs);
    void handlePeerGone(const PeerId &peer);

    /** Sends a newly applied serving state to the gateways, on the leader only. */
    void publishServingState();

    /** Handles an endpoint's heartbeat received by this replica. */
    void handleAnnouncement(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs);
    void handleEndpointLeft(const std::string &endpoint, std::uint64_t nowMs);
    /** Handles announcements received by another replica. */
    void handleRelayedAnnouncements(const Wire::Announcements &announcements, std::uint64_t nowMs);

    /** Called periodically, ten times per second. */
    void runMaintenance(std::uint64_t nowMs);

    /** \returns true when \a id is a read started by this object */
    bool handleReadResult(std::uint64_t id, bool confirmed);

    /** \returns the counts of the gateways that are not silent */
    std::vector<GatewayCounts> counts(std::uint64_t nowMs) const;

    /** \returns the number of gateways that are not silent */
    std::uint32_t gatewayCount(std::uint64_t nowMs) const;

    /** \returns the prompts that gateways reported */
    const PromptNews &promptNews() const;

    /** \returns the announcements of all known endpoints */
    std::vector<Wire::EndpointAnnouncement> endpoints() const;

private:
    struct Gateway {
        std::string process;
        std::uint64_t servingNumber = 0;
        std::uint64_t planRevision = 0;
        std::uint64_t lastHeartbeatMs = 0;
        std::vector<Wire::VersionCount> versions;
        std::vector<Wire::EndpointLoad> loads;
        /** Lease round of the heartbeat with these loads. */
        std::uint64_t loadRound = 0;
        /** The prompts of the rounds up to this one have been sent to it. */
        std::uint64_t promptRound = 0;
        std::vector<std::uint64_t> heldSessions;
        /** The latest round in which the gateway reported limits. */
        std::uint64_t limitRound = 0;
        /** When it was sent the list of limits last. */
        std::uint64_t limitsListedMs = 0;
    };
    void handleEvidence(const Wire::Heartbeat &heartbeat);
    /** \returns the places of the gateways that are not silent, by process */
    std::map<std::string, std::uint32_t> gatewayRanks(std::uint64_t nowMs) const;
    bool hasCurrentLoads(const Gateway &gateway) const;
    /** \returns the part of a lease confirmation that is the same for all gateways, serialised */
    std::string commonConfirmation() const;
    std::string serialisedPromptsSince(std::uint64_t round) const;
    /** \returns whether \a gateway is to be sent the list of limits; if so, that is recorded */
    bool takeLimitsDue(Gateway &gateway) const;
    std::string serialisedLimits() const;
    /** \returns the permits for the gateways whose lease rounds are confirmed, by gateway */
    std::map<PeerId, std::vector<Wire::EndpointPermits>> issuePermits(const std::map<PeerId, std::uint64_t> &leaseRounds);
    void sendToGateways(const std::vector<Wire::EndpointAnnouncement> &changed);
    void publish(const std::vector<Wire::EndpointAnnouncement> &changed);
    void fillServing(Gateway &gateway, Wire::ClusterUpdate &update);
    void relayHeartbeats(std::uint64_t nowMs);
    void sendRelayedChanges();

    ServingPublisherOptions options;
    AnnouncementRegistry registry;
    PromptNews prompts;
    PermitIssuer permits;
    std::uint64_t permitsIssuedMs = 0;
    std::uint64_t limitsVersion = 0;
    std::uint64_t limitsChangedMs = 0;
    std::random_device random;
    std::map<PeerId, Gateway> gateways;
    std::map<PeerId, std::uint64_t> pendingLeaseRounds;
    std::map<std::uint64_t, std::map<PeerId, std::uint64_t>> leaseReads;
    /** Time of the last heartbeat that each endpoint sent to this replica directly. */
    std::map<std::string, std::uint64_t> lastDirectHeartbeatMs;
    /** Changes received by other replicas since the last maintenance, by endpoint. A storm of changes is sent in a few messages. */
    std::map<std::string, Wire::EndpointAnnouncement> relayedChanges;
    /** When this publisher was first used; nothing before. */
    std::optional<std::uint64_t> startedMs;
    std::uint64_t lastMaintenanceMs = 0;
    std::uint64_t lastRelayMs = 0;
};

} // namespace Apricothead
