#pragma once

#include "RaftLog.h"

#include <boost/outcome.hpp>

#include <functional>
#include <map>

namespace Apricothead {

/** \class RaftOptions
 * \ingroup State_Module
 * \brief Identity, bounds and random source of one Raft.
 */
struct RaftOptions {
    std::string self;
    /** An election starts after one to two times this many ticks without a leader. */
    unsigned electionTicks = 25;
    /** The same for the first election after a start: longer than a heartbeat takes to arrive. */
    unsigned firstElectionTicks = 8;
    unsigned heartbeatTicks = 5;
    std::size_t maxAppendBytes = 1024 * 1024;
    std::size_t snapshotChunkBytes = 256 * 1024;
    /** Entries sent to one follower and not yet acknowledged, at most. */
    std::uint64_t maxInFlightEntries = 8192;
    /** Entries not yet committed at which a leader refuses proposals. */
    std::uint64_t maxUncommittedEntries = 50000;
    /** Uniformly distributed numbers. */
    std::function<std::uint64_t()> random;
};

/** \enum RaftRole
 * \ingroup State_Module
 * \brief What a replica is at the moment. A learner is a follower that its membership does not count as a voter.
 */
enum class RaftRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/** \enum RaftRefusal
 * \ingroup State_Module
 * \brief Why a proposal was not appended.
 */
enum class RaftProposalError {
    NotLeader,
    TransferringLeadership,
    TooManyUncommitted,
    /** A change of membership is not committed yet, or the leader has not committed an entry of its own term. */
    MembershipChangePending,
    /** More than one voter would change, or none would be left. */
    InvalidVoterChange,
    /** The new voter was no learner before, lacks committed entries, or has not been heard lately. */
    NotCaughtUp,
};

/** \class RaftProgress
 * \ingroup State_Module
 * \brief What a leader knows of another member.
 */
struct RaftProgress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    /** Optimistic sends stop until an append has been accepted. */
    bool probing = true;
    bool probeSent = false;
    /** Heard since the last check of the quorum. */
    bool active = false;
    std::uint64_t round = 0;
    /** The snapshot under transfer, if any, and how much of it has arrived. */
    std::optional<RaftSnapshot> outgoingSnapshot;
    std::uint64_t snapshotOffset = 0;
    unsigned stalledHeartbeats = 0;
};

/** Index of the appended entry, or why there is none. */
using RaftProposal = boost::outcome_v2::unchecked<std::uint64_t, RaftProposalError>;

/** \class Raft
 * \ingroup State_Module
 * \brief The consensus core of one replica, as a state machine without clock, socket or disk.
 *
 * Messages, ticks and proposals go in. take() hands out what is to be sent, synced and applied; the caller syncs it and calls synced()
 * before anything else goes in. Leader election with pre-vote and check-quorum, learners, membership changes of one voter at a time,
 * read index, snapshots in pieces, and hand-over of leadership, after Ongaro's description of Raft.
 * \sa RaftLog, LogStore, ReplicaTask
 */
class Raft
{
public:
    Raft(RaftOptions options, const RaftPersistentState &persistentState);

    void tick();
    void step(const Wire::RaftMessage &message);

    /** Appends a command. */
    RaftProposal propose(std::string data);

    /** Appends a membership that differs from the present one in at most one voter. */
    RaftProposal proposeMembership(const Wire::Membership &membership);

    /** Asks for a read index round. Its end comes in RaftOutput::reads under \a id. \returns false when this is no leader */
    bool requestRead(std::uint64_t id);

    /** Hands leadership to \a member, or to the voter with the longest log when empty. \returns false when there is nobody to hand it to */
    bool transferLeadership(std::string member = {});

    /** Starts an election at once, for a group of one voter. */
    void campaign();

    /** Notes that the state after \a index was saved as \a data, and drops older entries but the last \a keep before it. \returns the snapshot */
    RaftSnapshot compact(std::uint64_t index, std::shared_ptr<const std::string> data, std::uint64_t retainedEntries);

    RaftOutput takeOutput();

    /** All that the last take() asked to be synced is durable now. */
    void markSynced();

    RaftRole role() const;
    std::uint64_t term() const;
    /** \returns the leader of the present term as far as known, empty otherwise */
    const std::string &leader() const;
    std::uint64_t commitIndex() const;
    const RaftLog &log() const;
    const Wire::Membership &membership() const;
    bool isVoter(const std::string &member) const;
    bool isTransferringLeadership() const;
    const std::map<std::string, RaftProgress> &progress() const;

private:
    struct Election {
        std::map<std::string, bool> votes;
    };
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0;
    };

    // Elections
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void startElection(RaftRole role, bool transfer);
    void becomeLeader();
    void countVotes();
    void handleVoteRequest(const Wire::RaftMessage &message);
    void resetElectionTimer();
    bool hasLease() const;
    bool passesTermCheck(const Wire::RaftMessage &message);
    void rejectStaleTerm(const Wire::RaftMessage &message);
    bool canCampaign() const;
    bool canVote(const Wire::RaftMessage &message) const;

    // Follower
    void handleAppend(const Wire::RaftMessage &message);
    void handleSnapshot(const Wire::RaftMessage &message);
    void handleTimeoutNow();
    void rejectAppend(const Wire::RaftMessage &message);
    void appendFrom(const Wire::RaftMessage &message);
    void installSnapshot(const Wire::RaftMessage &message);
    void commitTo(std::uint64_t index);

    // Leader
    void tickLeader();
    void checkQuorum();
    void handleAppendReply(const Wire::RaftMessage &message);
    void handleSnapshotReply(const Wire::RaftMessage &message);
    void acceptAppend(RaftProgress &member, std::uint64_t match);
    void sendPendingAppends();
    void sendHeartbeats();
    void sendAppend(const std::string &to, RaftProgress &member, bool heartbeat);
    void sendSnapshotChunk(const std::string &to, RaftProgress &member);
    void advanceCommit();
    void confirmReads();
    void failReads();
    void syncProgressWithMembership();
    void tryFinishTransfer();
    std::uint64_t appendLeaderEntry(Wire::EntryKind kind, std::string data);
    std::optional<RaftProposalError> checkMembershipChange(const Wire::Membership &membership) const;
    std::optional<RaftProposalError> checkProposal() const;

    bool hasQuorum(const std::function<bool(const std::string &)> &predicate) const;
    Wire::RaftMessage makeAppend(const std::string &to, std::uint64_t index, std::uint64_t term) const;
    Wire::RaftMessage makeMessage(Wire::RaftKind kind, const std::string &to) const;
    void sendAfterSync(Wire::RaftMessage message);
    void sendBeforeSync(Wire::RaftMessage message);

    RaftOptions options;
    RaftLog entries;
    RaftHardState hardState;
    RaftHardState syncedState;
    RaftRole currentRole = RaftRole::Follower;
    std::string currentLeader;
    std::uint64_t commit = 0;
    std::uint64_t emittedIndex = 0;
    std::uint64_t syncedIndex = 0;
    std::uint64_t termStartIndex = 0;
    unsigned electionElapsed = 0;
    unsigned electionTimeout = 0;
    unsigned heartbeatElapsed = 0;
    Election election;
    std::map<std::string, RaftProgress> members;
    std::vector<PendingRead> pendingReads;
    std::vector<RaftReadResult> completedReads;
    std::uint64_t round = 0;
    std::string transferTarget;
    unsigned transferElapsed = 0;
    // A snapshot being received, piece by piece.
    std::string incomingData;
    std::uint64_t incomingIndex = 0;
    std::uint64_t incomingTerm = 0;
    std::optional<RaftSnapshot> receivedSnapshot;
    std::vector<Wire::RaftMessage> messagesBeforeSync;
    std::vector<Wire::RaftMessage> messagesAfterSync;
};

} // namespace Apricothead
