#pragma once

#include "../Coordination/Shared/AnnouncementView.h"
#include "../Coordination/Shared/ReplicaClient.h"
#include "../Decisions/EndpointLimits.h"
#include "../Decisions/LoadTotals.h"
#include "../Decisions/PlanIndex.h"
#include "../Protocol/Settings.h"
#include "../Transport/Timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class ServingViewOptions
 * \ingroup Gateway_Module
 * \brief Settings and callbacks of a ServingView. Callbacks are called on the loop's thread.
 */
struct ServingViewOptions {
    Settings settings;
    /** A newer plan or changed roll-outs are in force at this gateway. */
    std::function<void(const Wire::ServingState &)> onServingState;
    /** The merged announcements that one update of a replica changed. */
    std::function<void(const std::vector<Wire::EndpointAnnouncement> &)> onAnnouncements;
    /** \returns this gateway's counts of requests and responses by version */
    std::function<std::vector<Wire::VersionCount>()> versionCounts;
    /** \returns the load that this gateway has placed on endpoints, with the prompts sent since the last call */
    std::function<std::vector<Wire::EndpointLoad>()> takeOwnLoads;
    /** The load of all other gateways, a few hundred ms old. */
    std::function<void(const std::vector<Wire::EndpointLoad> &)> onLoads;
    /** The prompts that gateways have sent since the last call, those of this gateway included. */
    std::function<void(const EndpointLoads &)> onPrompts;
    /** \returns the sessions that this gateway keeps on a former version. \sa VersionSplit::heldSessions() */
    std::function<std::vector<std::uint64_t>()> heldSessions;
    /** \returns the crashes to be reported with the heartbeat of a lease round */
    std::function<std::vector<Wire::EndpointCrash>(std::uint64_t round)> crashReports;
    /** \returns the suspect parts to be reported as answered */
    std::function<std::vector<Wire::PartClearance>()> clearances;
    /** \returns what is known of endpoints that limit their requests, to be reported with the heartbeat of a lease round */
    std::function<std::vector<Wire::EndpointLimitReport>(std::uint64_t round)> limitReports;
    /** What the leader says of these, beside each confirmation. */
    std::function<void(const LimitConfirmation &)> onLimits;
    /** The leader has received the heartbeats up to that of this lease round. */
    std::function<void(std::uint64_t round)> onConfirmed;
    /** The sessions that all other gateways keep on a former version. */
    std::function<void(const std::vector<std::uint64_t> &)> onHeldSessions;
};

/** \class ServingView
 * \ingroup Gateway_Module
 * \brief A gateway's copy of the replicated serving state, and the bound on its age.
 *
 * The lease: the leader confirms several times a second that this copy is the newest. The age of the lease counts from when the confirmed
 * heartbeat was sent, by a clock that continues while the instance is suspended.
 * \sa ServingPublisher
 */
class ServingView
{
public:
    ServingView(EventLoop &loop, ServingViewOptions options);
    ~ServingView();
    ServingView(const ServingView &) = delete;
    ServingView &operator=(const ServingView &) = delete;

    /** \returns the plan in force at this gateway, null before the first */
    std::shared_ptr<const PlanIndex> plan() const;

    /** \returns for how many ms a newer state may have been in force elsewhere; nothing before the first confirmation, when there is no bound */
    std::optional<std::uint64_t> leaseAgeMs() const;

    /** \returns leaseAgeMs() for logs and metrics, -1 before the first confirmation */
    std::int64_t reportedLeaseAgeMs() const;

    /** Sends the leader a heartbeat at once, for news that should not wait. */
    void sendNews();

    /** Asks the group for the trial of \a parts together. \a done is called once, with whether it was granted. */
    void startTrial(const std::vector<std::uint64_t> &parts, std::function<void(bool granted)> done);

    /** \returns the number of gateways connected to the leader, this one included; 0 when it is not known */
    std::uint32_t gateways() const;

    /** \returns this gateway's place among them, from 0 */
    std::uint32_t gatewayRank() const;

private:
    void handleUpdate(const std::string &replica, const Wire::ClusterUpdate &update);
    void applyServingState(const Wire::ServingState &serving);
    void applyAnnouncements(const std::string &replica, const Wire::ClusterUpdate &update);
    void confirmLease(const Wire::ClusterUpdate &update);
    /** \a askedMs: when the heartbeat of the confirmed round was sent */
    void confirmLimits(const Wire::ClusterUpdate &update, std::uint64_t askedMs);
    bool hasLeader() const;
    void sendLeaderHeartbeat();
    bool isHeartbeatDue(const std::string &replica) const;
    void completeHeartbeat(const std::string &replica, Wire::Heartbeat &heartbeat);

    ServingViewOptions options;
    Timer leaderHeartbeatTimer;
    std::unique_ptr<ReplicaClient> client;
    /** Replica that confirmed the lease last. */
    std::string leader;
    std::shared_ptr<const PlanIndex> planIndex;
    Wire::ServingState state;
    AnnouncementView announcements;
    /** Connected replicas that have neither sent their full list of announcements yet nor confirmed that it is known. */
    std::set<std::string> unlistedReplicas;
    /** When the full list or a confirmation was last requested, by replica. */
    std::map<std::string, std::uint64_t> lastListRequestMs;
    /** When the heartbeat of each lease round was sent. */
    std::map<std::uint64_t, std::uint64_t> roundSentMs;
    /** When the last heartbeat was made, by replica. */
    std::map<std::string, std::uint64_t> lastHeartbeatMs;
    OwnReports ownReports;
    std::uint64_t lastRound = 0;
    /** When the newest confirmed heartbeat was sent; nothing before the first confirmation. */
    std::optional<std::uint64_t> confirmedMs;
    std::uint32_t gatewayCount = 0;
    std::uint32_t rank = 0;
};

/** \returns ms of a monotonic clock that continues while the instance is suspended */
std::uint64_t bootTimeMs();

} // namespace Apricothead
