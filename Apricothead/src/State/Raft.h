#pragma once

#include "RaftLog.h"

#include <boost/outcome.hpp>

#include <functional>
#include <map>

namespace Apricothead {

/** \class RaftOptions
 * \ingroup State_Module
 * \brief Identity, limits, timing and random source of a Raft instance of the consensus core.
 */
struct RaftOptions {
    std::string self;
    /** The election timeout is drawn from one to two times this many ticks without contact from a leader. */
    unsigned electionTicks = 25;
    /** The same for the first election after a start. Longer than a leader's heartbeat takes to arrive. */
    unsigned firstElectionTicks = 8;
    unsigned heartbeatTicks = 5;
    std::size_t maxAppendBytes = 1024 * 1024;
    std::size_t snapshotChunkBytes = 256 * 1024;
    /** Maximum number of entries sent to one follower and not yet acknowledged. */
    std::uint64_t maxInFlightEntries = 8192;
    /** Number of uncommitted entries at which a leader rejects proposals. */
    std::uint64_t maxUncommittedEntries = 50000;
    /** \returns a uniformly distributed number */
    std::function<std::uint64_t()> random;
};

/** \enum RaftRole
 * \ingroup State_Module
 * \brief Current role of a replica. A learner is a follower that is not a voter in the membership.
 */
enum class RaftRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/** \enum RaftProposalError
 * \ingroup State_Module
 * \brief Why a proposal was rejected.
 */
enum class RaftProposalError {
    NotLeader,
    TransferringLeadership,
    TooManyUncommitted,
    /** A previous membership change is not committed, or the leader has not yet committed an entry of its own term. */
    MembershipChangePending,
    /** More than one voter would change, or no voter would remain. */
    InvalidVoterChange,
    /** The new voter was not a learner before, lacks committed entries, or has not responded since the last quorum check. */
    NotCaughtUp,
};

/** \class RaftProgress
 * \ingroup State_Module
 * \brief A leader's view of the replication state of another member.
 */
struct RaftProgress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    /** No pipelining: one append at a time until one has been accepted. */
    bool probing = true;
    bool probeSent = false;
    /** A reply has arrived since the last quorum check. */
    bool active = false;
    std::uint64_t round = 0;
    /** The snapshot in transfer, if any, and the number of its bytes that the member has acknowledged. */
    std::optional<RaftSnapshot> outgoingSnapshot;
    std::uint64_t snapshotOffset = 0;
    unsigned stalledHeartbeats = 0;
};

/** Index of the appended entry, or why the proposal was rejected. */
using RaftProposal = boost::outcome_v2::unchecked<std::uint64_t, RaftProposalError>;

/** \class Raft
 * \ingroup State_Module
 * \brief Raft consensus core of one replica, a deterministic state machine that does no input or output.
 *
 * Its inputs are messages, ticks and proposals. takeOutput() returns what is to be sent, made durable and applied; the caller syncs that
 * and calls markSynced() before it passes any further input. Implements leader election with pre-vote and check-quorum, learners,
 * membership changes of one voter at a time, read index, chunked snapshot transfer and leadership transfer, after Ongaro's description
 * of Raft.
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

    /** Appends a membership that differs from the current one in at most one voter. */
    RaftProposal proposeMembership(const Wire::Membership &membership);

    /** Starts a read index request. Its result appears in RaftOutput::reads under \a id. \returns false when this replica is not the leader */
    bool requestRead(std::uint64_t id);

    /** Starts a leadership transfer to \a member, or to the active voter with the longest log when empty. \returns false when this replica is not the leader or
     * there is no target */
    bool transferLeadership(std::string member = {});

    /** Gives up leadership without waiting for a transfer, for a leader that cannot write. Reads in progress fail.
     * \returns a message that has the active voter with the longest log stand for election at once, if there is one */
    std::optional<Wire::RaftMessage> resign();

    /** \returns a reply to a leader's append that accepts none of its entries but confirms its round, for a replica that cannot write and so may
     * accept no other input. Nothing when the append is not of the current term */
    std::optional<Wire::RaftMessage> confirmRound(const Wire::RaftMessage &append) const;

    /** Starts an election without waiting for the timeout. Used by a group with a single voter. */
    void campaign();

    /** Records \a data as the state after \a index and removes older entries except the last \a retainedEntries. \returns the snapshot */
    RaftSnapshot compact(std::uint64_t index, std::shared_ptr<const std::string> data, std::uint64_t retainedEntries);

    /** \returns the pending output, see RaftOutput; empty when there is nothing to do */
    RaftOutput takeOutput();

    /** To be called when everything that the last takeOutput() returned for syncing is durable. */
    void markSynced();

    RaftRole role() const;
    std::uint64_t term() const;
    /** \returns the leader of the current term, empty when unknown */
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
        /** The former leader asked for this election, so that its lease does not count. */
        bool isTransfer = false;
    };
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0;
    };

    // Elections
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void tickElection();
    void startElection(RaftRole role, bool transfer);
    void requestVotes();
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
    // The snapshot being received in chunks.
    std::string incomingData;
    std::uint64_t incomingIndex = 0;
    std::uint64_t incomingTerm = 0;
    std::optional<RaftSnapshot> receivedSnapshot;
    std::vector<Wire::RaftMessage> messagesBeforeSync;
    std::vector<Wire::RaftMessage> messagesAfterSync;
};

} // namespace Apricothead
