#pragma once

#include "MembershipChange.h"
#include "MembershipRepair.h"

#include "../../Transport/Router.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class MembershipControllerOptions
 * \ingroup Coordination_Module
 * \brief What a MembershipController needs to know of its replica, and what it does to others.
 */
struct MembershipControllerOptions {
    /** Addresses of the first group's replicas; they are invited while the group has fewer voters. */
    std::vector<std::string> seeds;
    /** Number of voters below which none is removed without a replacement. */
    std::size_t targetVoters = 0;
    /** \returns for how many ms nothing has been received from a replica while it could have been */
    std::function<std::uint64_t(const std::string &replica)> silentForMs;
    /** \returns whether a replica can be reached now */
    std::function<bool(const std::string &replica)> isReachable;
    /** Opens a connection to an address unless there is one. \returns whether it is established */
    std::function<bool(const std::string &address)> connect;
    /** Invites the replica at an address. \returns whether the invitation was sent */
    std::function<bool(const std::string &address)> invite;
    /** Called after a membership was appended to the log. */
    std::function<void()> onProposed;
    /** Called when a change that was requested by a peer has ended; \a error is null when it is done. */
    std::function<void(const PeerId &peer, std::uint64_t call, const Wire::Error *error)> onEnded;
};

/** \class MembershipController
 * \ingroup Coordination_Module
 * \brief Carries out membership changes on the leader, one at a time: those requested by operators, and those that MembershipRepair finds necessary.
 *
 * Free of input and output, so that it can be run against simulated replicas. A new leader starts with no change in progress and goes on from the membership.
 * \sa MembershipChange, MembershipRepair
 */
class MembershipController
{
public:
    explicit MembershipController(MembershipControllerOptions options);

    /** Records a join request of another replica. */
    void recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs);

    /** \returns true when an operator's change other than \a request is in progress */
    bool isOtherChangeRequested(const Wire::ChangeMembers &request) const;

    /** \returns true when \a request is the change in progress */
    bool isInProgress(const Wire::ChangeMembers &request) const;

    /** Starts an operator's change in place of an automatic one; the reply goes to \a peer. A repeated request only replaces the peer. */
    void start(const Wire::ChangeMembers &request, const PeerId &peer, Raft &raft, std::uint64_t nowMs);

    /** Handles the answer of an invited replica. */
    void handleInviteReply(const Wire::InviteReply &reply, Raft &raft, std::uint64_t nowMs);

    /** Advances the change in progress, and starts the next repair when there is none. To be called regularly on a leader that has applied an entry of its own
     * term. \a mayStart: whether a repair may be started */
    void run(Raft &raft, std::uint64_t nowMs, bool mayStart);

    /** Ends the change in progress, if any, with \a error. */
    void abandon(const Wire::Error &error);

private:
    /** A change, and the peer and call that requested it; without a peer for repairs. */
    struct RunningChange {
        MembershipChange change;
        std::optional<PeerId> peer;
        std::uint64_t call = 0;
        std::uint64_t invitedMs = 0;
        std::uint64_t startedMs = 0;
    };

    void advance(Raft &raft, std::uint64_t nowMs);
    void giveUpAfter(std::uint64_t boundMs, std::uint64_t nowMs);
    void startRepair(const Raft &raft, std::uint64_t nowMs);
    void inviteSeeds(const Raft &raft, std::uint64_t nowMs);
    void finish(const Wire::Error *error);

    MembershipControllerOptions options;
    MembershipRepair repair;
    std::optional<RunningChange> change;
};

} // namespace Apricothead
