#pragma once

#include "../Coordination/Shared/AnnouncementView.h"
#include "../Coordination/Shared/ReplicaClient.h"
#include "../Decisions/PlanIndex.h"
#include "../Protocol/Settings.h"
#include "../Transport/Timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class ServingViewOptions
 * \ingroup Gateway_Module
 * \brief Whom a ServingView follows, and its hooks, called on the loop's thread.
 */
struct ServingViewOptions {
    Settings settings;
    /** A newer plan or a change of roll-outs is in force here. */
    std::function<void(const Wire::ServingState &)> onServingState;
    std::function<void(const Wire::EndpointAnnouncement &)> onAnnouncement;
    /** \returns what this gateway counted of the versions it sent work to */
    std::function<std::vector<Wire::VersionCount>()> versionCounts;
    /** \returns the work that this gateway has at endpoints */
    std::function<std::vector<Wire::EndpointLoad>()> ownLoads;
    /** The work of all other gateways, some hundred ms old. */
    std::function<void(const std::vector<Wire::EndpointLoad> &)> onLoads;
    /** \returns the sessions that this gateway holds on a former version. \sa VersionSplit::heldSessions() */
    std::function<std::vector<std::uint64_t>()> heldSessions;
    /** Those of all other gateways. */
    std::function<void(const std::vector<std::uint64_t> &)> onHeldSessions;
};

/** \class ServingView
 * \ingroup Gateway_Module
 * \brief What a gateway holds of the replicated state, and how old that may be.
 *
 * The leader confirms several times a second that the state held is the newest: that is the lease. Its age is counted from when the
 * confirmation was asked for, by a clock that goes on while the instance is suspended.
 * \sa ServingFeed
 */
class ServingView
{
public:
    ServingView(EventLoop &loop, ServingViewOptions options);
    ~ServingView();
    ServingView(const ServingView &) = delete;
    ServingView &operator=(const ServingView &) = delete;

    /** \returns the plan in force here, null before the first */
    std::shared_ptr<const PlanIndex> plan() const;

    /** \returns ms since when a newer state may be in force elsewhere; a very large number before the first confirmation */
    std::uint64_t leaseAgeMs() const;

    /** \returns gateways that the leader hears, this one included; 0 when it has not said */
    std::uint32_t gateways() const;

private:
    void handleUpdate(const std::string &replica, const Wire::ClusterUpdate &update);
    void applyServingState(const Wire::ServingState &serving);
    void applyAnnouncements(const std::string &replica, const Wire::ClusterUpdate &update);
    void confirmLease(const Wire::ClusterUpdate &update);
    bool hasLeader() const;
    void sendLeaderHeartbeat();
    void completeHeartbeat(const std::string &replica, Wire::Heartbeat &heartbeat);

    ServingViewOptions options;
    Timer leaderHeartbeatTimer;
    std::unique_ptr<ReplicaClient> client;
    /** The replica that confirmed last. */
    std::string leader;
    std::shared_ptr<const PlanIndex> planIndex;
    Wire::ServingState state;
    AnnouncementView announcements;
    std::set<std::string> unlistedReplicas;
    /** When each replica was last asked for all announcements. */
    std::map<std::string, std::uint64_t> lastListRequestMs;
    std::map<std::uint64_t, std::uint64_t> roundSentMs;
    std::uint64_t lastRound = 0;
    std::uint64_t confirmedMs = 0;
    std::uint32_t gatewayCount = 0;
};

/** \returns ms of a clock that goes on while the instance is suspended */
std::uint64_t bootTimeMs();

} // namespace Apricothead
