#include "Raft.h"

#include <algorithm>
#include <set>

namespace Apricothead {

namespace {

std::set<std::string> votersOf(const Wire::Membership &membership)
{
    std::set<std::string> voters;
    for (const Wire::Member &member : membership.members()) {
        if (!member.learner()) {
            voters.insert(member.replica());
        }
    }
    return voters;
}

bool contains(const Wire::Membership &membership, const std::string &replica)
{
    const auto &all = membership.members();
    return std::any_of(all.begin(), all.end(), [&replica](const Wire::Member &member) {
        return member.replica() == replica;
    });
}

} // namespace

Raft::Raft(RaftOptions raftOptions, const RaftPersistentState &persistentState)
    : options(std::move(raftOptions))
    , entries(persistentState)
    , hardState(persistentState.hardState)
    , syncedState(persistentState.hardState)
    , commit(entries.snapshot().index)
    , emittedIndex(entries.snapshot().index)
    , syncedIndex(entries.lastIndex())
{
    // The first timeout is shorter because the group is unavailable after a full restart until a leader is elected. A running leader sends a
    // heartbeat before it expires, and with the pre-vote the followers of a running leader reject an early candidate.
    this->electionTimeout = this->options.firstElectionTicks + static_cast<unsigned>(this->options.random() % this->options.firstElectionTicks);
}

RaftRole Raft::role() const
{
    return this->currentRole;
}

std::uint64_t Raft::term() const
{
    return this->hardState.term;
}

const std::string &Raft::leader() const
{
    return this->currentLeader;
}

std::uint64_t Raft::commitIndex() const
{
    return this->commit;
}

const RaftLog &Raft::log() const
{
    return this->entries;
}

const Wire::Membership &Raft::membership() const
{
    return this->entries.membership();
}

bool Raft::isVoter(const std::string &member) const
{
    const auto &all = this->membership().members();
    return std::any_of(all.begin(), all.end(), [&](const Wire::Member &one) {
        return one.replica() == member && !one.learner();
    });
}

bool Raft::isTransferringLeadership() const
{
    return !this->transferTarget.empty();
}

const std::map<std::string, RaftProgress> &Raft::progress() const
{
    return this->members;
}

bool Raft::hasQuorum(const std::function<bool(const std::string &)> &predicate) const
{
    std::size_t voters = 0;
    std::size_t matching = 0;
    for (const Wire::Member &member : this->membership().members()) {
        if (member.learner()) {
            continue;
        }
        ++voters;
        matching += predicate(member.replica()) ? 1 : 0;
    }
    return voters > 0 && matching > voters / 2;
}

Wire::RaftMessage Raft::makeMessage(Wire::RaftKind kind, const std::string &to) const
{
    Wire::RaftMessage result;
    result.set_kind(kind);
    result.set_from(this->options.self);
    result.set_to(to);
    result.set_term(this->hardState.term);
    return result;
}

void Raft::sendAfterSync(Wire::RaftMessage message)
{
    this->messagesAfterSync.push_back(std::move(message));
}

void Raft::sendBeforeSync(Wire::RaftMessage message)
{
    this->messagesBeforeSync.push_back(std::move(message));
}

// ---- timers ----

void Raft::tick()
{
    ++this->electionElapsed;
    if (this->currentRole == RaftRole::Leader) {
        this->tickLeader();
        return;
    }
    if (this->electionElapsed < this->electionTimeout || !this->canCampaign()) {
        this->tickElection();
        return;
    }
    this->startElection(RaftRole::PreCandidate, false);
}

/** A voter that could not answer, as its disk refused writes or its connection was made anew, may be able to before the election times out. */
void Raft::tickElection()
{
    if (this->currentRole != RaftRole::Follower && this->electionElapsed % this->options.heartbeatTicks == 0) {
        this->requestVotes();
    }
}

void Raft::campaign()
{
    if (this->currentRole != RaftRole::Leader && this->canCampaign()) {
        this->startElection(RaftRole::PreCandidate, false);
    }
}

bool Raft::canCampaign() const
{
    // A replica whose removal is not committed may hold the longest log, so that no other replica could be elected without it.
    const Wire::Membership &committed = this->entries.membershipAt(this->commit);
    return votersOf(this->membership()).contains(this->options.self) || votersOf(committed).contains(this->options.self);
}

void Raft::resetElectionTimer()
{
    this->electionElapsed = 0;
    this->electionTimeout = this->options.electionTicks + static_cast<unsigned>(this->options.random() % this->options.electionTicks);
}

void Raft::tickLeader()
{
    if (!this->transferTarget.empty() && ++this->transferElapsed >= this->options.electionTicks) {
        this->transferTarget.clear();
    }
    if (this->electionElapsed >= this->options.electionTicks) {
        this->checkQuorum();
    }
    if (this->currentRole == RaftRole::Leader && ++this->heartbeatElapsed >= this->options.heartbeatTicks) {
        this->sendHeartbeats();
    }
}

void Raft::checkQuorum()
{
    this->electionElapsed = 0;
    const bool quorumResponded = this->hasQuorum([this](const std::string &member) {
        const auto found = this->members.find(member);
        return member == this->options.self || (found != this->members.end() && found->second.active);
    });
    if (!quorumResponded) {
        this->becomeFollower(this->hardState.term, {});
        return;
    }
    for (auto &[name, member] : this->members) {
        member.active = false;
    }
}

// ---- elections ----

void Raft::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > this->hardState.term) {
        this->hardState = {.term = term, .vote = {}};
    }
    this->currentRole = RaftRole::Follower;
    this->currentLeader = leader;
    this->transferTarget.clear();
    this->failReads();
    this->resetElectionTimer();
}

void Raft::startElection(RaftRole role, bool transfer)
{
    this->currentRole = role;
    this->currentLeader.clear();
    this->failReads();
    this->resetElectionTimer();
    if (role == RaftRole::Candidate) {
        this->hardState = {.term = this->hardState.term + 1, .vote = this->options.self};
    }
    this->election = {.votes = {{this->options.self, true}}, .isTransfer = transfer};
    this->requestVotes();
    this->countVotes();
}

/** Asks the voters that have not answered in this election. */
void Raft::requestVotes()
{
    const bool isCandidate = this->currentRole == RaftRole::Candidate;
    for (const Wire::Member &member : this->membership().members()) {
        if (member.learner() || this->election.votes.contains(member.replica())) {
            continue;
        }
        Wire::RaftMessage request = this->makeMessage(isCandidate ? Wire::RAFT_KIND_VOTE : Wire::RAFT_KIND_PRE_VOTE, member.replica());
        request.set_term(isCandidate ? this->hardState.term : this->hardState.term + 1);
        request.set_log_index(this->entries.lastIndex());
        request.set_log_term(this->entries.lastTerm());
        request.set_transfer(this->election.isTransfer);
        this->sendAfterSync(std::move(request));
    }
}

void Raft::countVotes()
{
    const auto answered = [this](bool granted) {
        return this->hasQuorum([this, granted](const std::string &member) {
            const auto found = this->election.votes.find(member);
            return found != this->election.votes.end() && found->second == granted;
        });
    };
    if (answered(true)) {
        if (this->currentRole == RaftRole::PreCandidate) {
            this->startElection(RaftRole::Candidate, false);
        } else {
            this->becomeLeader();
        }
        return;
    }
    if (answered(false)) {
        this->becomeFollower(this->hardState.term, {});
    }
}

void Raft::handleVoteRequest(const Wire::RaftMessage &message)
{
    const bool isPreVote = message.kind() == Wire::RAFT_KIND_PRE_VOTE;
    const bool granted = this->canVote(message);
    Wire::RaftMessage reply = this->makeMessage(isPreVote ? Wire::RAFT_KIND_PRE_VOTE_REPLY : Wire::RAFT_KIND_VOTE_REPLY, message.from());
    reply.set_reject(!granted);
    if (granted) {
        // A granted pre-vote carries the prospective term.
        reply.set_term(message.term());
    }
    if (granted && !isPreVote) {
        this->hardState.vote = message.from();
        this->resetElectionTimer();
    }
    this->sendAfterSync(std::move(reply));
}

bool Raft::canVote(const Wire::RaftMessage &message) const
{
    const bool isPreVote = message.kind() == Wire::RAFT_KIND_PRE_VOTE;
    // A replica that is in no membership it knows has lost its log or never had one. Its vote would attest to entries that it lacks.
    if (!contains(this->membership(), this->options.self) && !contains(this->entries.membershipAt(this->commit), this->options.self)) {
        return false;
    }
    const bool voteAvailable = isPreVote ? message.term() > this->hardState.term : (this->hardState.vote.empty() || this->hardState.vote == message.from());
    const std::uint64_t ownTerm = this->entries.lastTerm();
    const bool upToDate = message.log_term() > ownTerm || (message.log_term() == ownTerm && message.log_index() >= this->entries.lastIndex());
    return voteAvailable && upToDate;
}

bool Raft::hasLease() const
{
    return !this->currentLeader.empty() && this->electionElapsed < this->options.electionTicks;
}

void Raft::becomeLeader()
{
    this->currentRole = RaftRole::Leader;
    this->currentLeader = this->options.self;
    this->electionElapsed = 0;
    this->heartbeatElapsed = 0;
    this->transferTarget.clear();
    this->members.clear();
    this->syncProgressWithMembership();
    // Entries of earlier terms become committed only together with an entry of the current term.
    this->termStartIndex = this->appendLeaderEntry(Wire::ENTRY_KIND_EMPTY, {});
}

// ---- messages ----

void Raft::step(const Wire::RaftMessage &message)
{
    if (message.to() != this->options.self || !this->passesTermCheck(message)) {
        return;
    }
    switch (message.kind()) {
    case Wire::RAFT_KIND_PRE_VOTE:
    case Wire::RAFT_KIND_VOTE:
        this->handleVoteRequest(message);
        return;
    case Wire::RAFT_KIND_PRE_VOTE_REPLY:
    case Wire::RAFT_KIND_VOTE_REPLY: {
        const RaftRole expectedRole = message.kind() == Wire::RAFT_KIND_VOTE_REPLY ? RaftRole::Candidate : RaftRole::PreCandidate;
        // A granted pre-vote of an earlier election carries an earlier term.
        const bool outdated = expectedRole == RaftRole::PreCandidate && !message.reject() && message.term() != this->hardState.term + 1;
        if (this->currentRole == expectedRole && !outdated) {
            this->election.votes[message.from()] = !message.reject();
            this->countVotes();
        }
        return;
    }
    case Wire::RAFT_KIND_APPEND:
        this->handleAppend(message);
        return;
    case Wire::RAFT_KIND_SNAPSHOT:
        this->handleSnapshot(message);
        return;
    case Wire::RAFT_KIND_APPEND_REPLY:
        this->handleAppendReply(message);
        return;
    case Wire::RAFT_KIND_SNAPSHOT_REPLY:
        this->handleSnapshotReply(message);
        return;
    case Wire::RAFT_KIND_TIMEOUT_NOW:
        this->handleTimeoutNow();
        return;
    default:
        return;
    }
}

bool Raft::passesTermCheck(const Wire::RaftMessage &message)
{
    const bool isVoteRequest = message.kind() == Wire::RAFT_KIND_PRE_VOTE || message.kind() == Wire::RAFT_KIND_VOTE;
    if (isVoteRequest && message.term() > this->hardState.term && this->hasLease() && !message.transfer()) {
        // The leader is active. A replica that was partitioned must not disrupt it.
        return false;
    }
    if (message.term() < this->hardState.term) {
        this->rejectStaleTerm(message);
        return false;
    }
    if (message.term() == this->hardState.term || message.kind() == Wire::RAFT_KIND_PRE_VOTE) {
        return true;
    }
    if (message.kind() == Wire::RAFT_KIND_PRE_VOTE_REPLY && !message.reject()) {
        return message.term() == this->hardState.term + 1;
    }
    this->becomeFollower(message.term(), {});
    return true;
}

void Raft::rejectStaleTerm(const Wire::RaftMessage &message)
{
    if (message.kind() == Wire::RAFT_KIND_APPEND || message.kind() == Wire::RAFT_KIND_SNAPSHOT) {
        // Informs a deposed leader of the newer term.
        Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, message.from());
        reply.set_reject(true);
        this->sendAfterSync(std::move(reply));
    }
    if (message.kind() == Wire::RAFT_KIND_PRE_VOTE) {
        Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_PRE_VOTE_REPLY, message.from());
        reply.set_reject(true);
        this->sendAfterSync(std::move(reply));
    }
}

void Raft::handleTimeoutNow()
{
    if (this->currentRole == RaftRole::Follower && this->isVoter(this->options.self)) {
        this->startElection(RaftRole::Candidate, true);
    }
}

// ---- follower ----

void Raft::handleAppend(const Wire::RaftMessage &message)
{
    if (this->currentRole == RaftRole::Leader) {
        return;
    }
    this->currentRole = RaftRole::Follower;
    this->currentLeader = message.from();
    this->electionElapsed = 0;
    if (message.log_index() >= this->commit && !this->entries.matches(message.log_index(), message.log_term())) {
        this->rejectAppend(message);
        return;
    }
    this->appendFrom(message);
    const std::uint64_t matched = message.log_index() + static_cast<std::uint64_t>(message.entries_size());
    this->commitTo(std::min(message.commit(), matched));
    Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, message.from());
    reply.set_log_index(matched);
    reply.set_round(message.round());
    this->sendAfterSync(std::move(reply));
}

void Raft::rejectAppend(const Wire::RaftMessage &message)
{
    std::uint64_t hint = std::min(message.log_index() - 1, this->entries.lastIndex());
    if (message.log_index() <= this->entries.lastIndex()) {
        // Skips all entries of the conflicting term in one round trip.
        const std::uint64_t conflict = this->entries.term(message.log_index());
        while (hint > this->commit && this->entries.term(hint) == conflict) {
            --hint;
        }
    }
    Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, message.from());
    reply.set_reject(true);
    reply.set_log_index(message.log_index());
    reply.set_hint_index(hint);
    reply.set_round(message.round());
    this->sendAfterSync(std::move(reply));
}

void Raft::appendFrom(const Wire::RaftMessage &message)
{
    for (const Wire::LogEntry &entry : message.entries()) {
        if (entry.index() <= this->commit || this->entries.matches(entry.index(), entry.term())) {
            continue;
        }
        if (entry.index() <= this->entries.lastIndex()) {
            this->entries.truncateFrom(entry.index());
            this->syncedIndex = std::min(this->syncedIndex, entry.index() - 1);
        }
        this->entries.append(entry);
    }
}

void Raft::commitTo(std::uint64_t index)
{
    this->commit = std::max(this->commit, std::min(index, this->entries.lastIndex()));
}

void Raft::handleSnapshot(const Wire::RaftMessage &message)
{
    if (this->currentRole == RaftRole::Leader) {
        return;
    }
    this->currentRole = RaftRole::Follower;
    this->currentLeader = message.from();
    this->electionElapsed = 0;
    if (message.snapshot_index() <= this->commit) {
        Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, message.from());
        reply.set_log_index(this->commit);
        reply.set_round(message.round());
        this->sendAfterSync(std::move(reply));
        return;
    }
    if (message.snapshot_index() != this->incomingIndex || message.snapshot_term() != this->incomingTerm) {
        this->incomingData.clear();
        this->incomingIndex = message.snapshot_index();
        this->incomingTerm = message.snapshot_term();
    }
    const bool isNextChunk = message.snapshot_offset() == this->incomingData.size();
    if (isNextChunk) {
        this->incomingData += message.snapshot_piece();
    }
    if (this->incomingData.size() >= message.snapshot_size()) {
        this->installSnapshot(message);
        return;
    }
    Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_SNAPSHOT_REPLY, message.from());
    reply.set_reject(!isNextChunk);
    reply.set_snapshot_index(message.snapshot_index());
    reply.set_snapshot_offset(this->incomingData.size());
    reply.set_round(message.round());
    this->sendAfterSync(std::move(reply));
}

void Raft::installSnapshot(const Wire::RaftMessage &message)
{
    RaftSnapshot snapshot{
        .index = message.snapshot_index(),
        .term = message.snapshot_term(),
        .membership = message.snapshot_membership(),
        .data = std::make_shared<const std::string>(std::move(this->incomingData)),
    };
    this->incomingData.clear();
    this->incomingIndex = 0;
    this->entries.restore(snapshot);
    this->commit = snapshot.index;
    this->emittedIndex = snapshot.index;
    this->syncedIndex = snapshot.index;
    Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, message.from());
    reply.set_log_index(snapshot.index);
    reply.set_round(message.round());
    this->receivedSnapshot = std::move(snapshot);
    this->sendAfterSync(std::move(reply));
}

// ---- leader ----

std::uint64_t Raft::appendLeaderEntry(Wire::EntryKind kind, std::string data)
{
    Wire::LogEntry entry;
    entry.set_term(this->hardState.term);
    entry.set_index(this->entries.lastIndex() + 1);
    entry.set_kind(kind);
    entry.set_data(std::move(data));
    this->entries.append(std::move(entry));
    return this->entries.lastIndex();
}

std::optional<RaftProposalError> Raft::checkProposal() const
{
    if (this->currentRole != RaftRole::Leader) {
        return RaftProposalError::NotLeader;
    }
    if (this->isTransferringLeadership()) {
        return RaftProposalError::TransferringLeadership;
    }
    if (this->entries.lastIndex() - this->commit >= this->options.maxUncommittedEntries) {
        return RaftProposalError::TooManyUncommitted;
    }
    return std::nullopt;
}

RaftProposal Raft::propose(std::string data)
{
    if (const auto error = this->checkProposal()) {
        return *error;
    }
    return this->appendLeaderEntry(Wire::ENTRY_KIND_COMMAND, std::move(data));
}

std::optional<RaftProposalError> Raft::checkMembershipChange(const Wire::Membership &membership) const
{
    // Until an entry of its own term is committed, a leader cannot know whether a previous leader's change is committed.
    if (this->commit < this->termStartIndex || this->entries.membershipIndex() > this->commit) {
        return RaftProposalError::MembershipChangePending;
    }
    const std::set<std::string> before = votersOf(this->membership());
    const std::set<std::string> after = votersOf(membership);
    std::vector<std::string> changed;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(changed));
    if (changed.size() > 1 || after.empty()) {
        return RaftProposalError::InvalidVoterChange;
    }
    for (const std::string &voter : changed) {
        if (before.contains(voter)) {
            continue;
        }
        const auto found = this->members.find(voter);
        if (found == this->members.end() || found->second.match < this->commit || !found->second.active) {
            return RaftProposalError::NotCaughtUp;
        }
    }
    return std::nullopt;
}

RaftProposal Raft::proposeMembership(const Wire::Membership &membership)
{
    if (const auto error = this->checkProposal()) {
        return *error;
    }
    if (const auto error = this->checkMembershipChange(membership)) {
        return *error;
    }
    const std::uint64_t index = this->appendLeaderEntry(Wire::ENTRY_KIND_MEMBERSHIP, membership.SerializeAsString());
    this->syncProgressWithMembership();
    return index;
}

void Raft::syncProgressWithMembership()
{
    std::set<std::string> memberIds;
    for (const Wire::Member &member : this->membership().members()) {
        if (member.replica() == this->options.self) {
            continue;
        }
        memberIds.insert(member.replica());
        // The first append probes for the end of the member's log.
        this->members.try_emplace(member.replica(), RaftProgress{.next = this->entries.lastIndex() + 1});
    }
    std::erase_if(this->members, [&memberIds](const auto &known) {
        return !memberIds.contains(known.first);
    });
}

void Raft::sendHeartbeats()
{
    this->heartbeatElapsed = 0;
    for (auto &[name, member] : this->members) {
        if (!member.outgoingSnapshot) {
            this->sendAppend(name, member, true);
            continue;
        }
        // Chunks are large, so an unacknowledged one is resent only after an election timeout rather than with each heartbeat.
        if (++member.stalledHeartbeats * this->options.heartbeatTicks >= this->options.electionTicks) {
            this->sendSnapshotChunk(name, member);
            continue;
        }
        this->sendBeforeSync(this->makeAppend(name, member.outgoingSnapshot->index, member.outgoingSnapshot->term));
    }
}

Wire::RaftMessage Raft::makeAppend(const std::string &to, std::uint64_t index, std::uint64_t term) const
{
    Wire::RaftMessage append = this->makeMessage(Wire::RAFT_KIND_APPEND, to);
    append.set_log_index(index);
    append.set_log_term(term);
    append.set_commit(this->commit);
    append.set_round(this->round);
    return append;
}

void Raft::sendPendingAppends()
{
    for (auto &[name, member] : this->members) {
        if (member.outgoingSnapshot) {
            continue;
        }
        if (member.probing) {
            if (!member.probeSent) {
                this->sendAppend(name, member, false);
            }
            continue;
        }
        while (!member.outgoingSnapshot && member.next <= this->entries.lastIndex() && member.next - member.match <= this->options.maxInFlightEntries) {
            this->sendAppend(name, member, false);
        }
    }
}

void Raft::sendAppend(const std::string &to, RaftProgress &member, bool heartbeat)
{
    if (member.next < this->entries.firstIndex()) {
        member.outgoingSnapshot = this->entries.snapshot();
        member.snapshotOffset = 0;
        this->sendSnapshotChunk(to, member);
        return;
    }
    Wire::RaftMessage append = this->makeAppend(to, member.next - 1, this->entries.term(member.next - 1));
    if (!heartbeat || member.probing) {
        for (Wire::LogEntry &entry : this->entries.slice(member.next, this->entries.lastIndex(), this->options.maxAppendBytes)) {
            append.add_entries()->Swap(&entry);
        }
    }
    if (member.probing) {
        member.probeSent = true;
    } else {
        member.next += static_cast<std::uint64_t>(append.entries_size());
    }
    this->sendBeforeSync(std::move(append));
}

void Raft::sendSnapshotChunk(const std::string &to, RaftProgress &member)
{
    if (member.snapshotOffset == 0) {
        // The log may have been compacted past the chosen snapshot while the member was unreachable.
        member.outgoingSnapshot = this->entries.snapshot();
    }
    const RaftSnapshot &snapshot = *member.outgoingSnapshot;
    member.stalledHeartbeats = 0;
    Wire::RaftMessage chunk = this->makeMessage(Wire::RAFT_KIND_SNAPSHOT, to);
    chunk.set_round(this->round);
    chunk.set_snapshot_index(snapshot.index);
    chunk.set_snapshot_term(snapshot.term);
    *chunk.mutable_snapshot_membership() = snapshot.membership;
    const std::string empty;
    const std::string &data = snapshot.data ? *snapshot.data : empty;
    chunk.set_snapshot_offset(member.snapshotOffset);
    chunk.set_snapshot_size(data.size());
    chunk.set_snapshot_piece(data.substr(std::min<std::size_t>(member.snapshotOffset, data.size()), this->options.snapshotChunkBytes));
    this->sendBeforeSync(std::move(chunk));
}

void Raft::handleSnapshotReply(const Wire::RaftMessage &message)
{
    const auto found = this->members.find(message.from());
    if (this->currentRole != RaftRole::Leader || found == this->members.end()) {
        return;
    }
    RaftProgress &member = found->second;
    member.active = true;
    member.round = std::max(member.round, message.round());
    if (!member.outgoingSnapshot || message.snapshot_index() != member.outgoingSnapshot->index) {
        return;
    }
    // A reply with the offset already in flight results from a duplicated message.
    if (message.snapshot_offset() != member.snapshotOffset) {
        member.snapshotOffset = message.snapshot_offset();
        this->sendSnapshotChunk(found->first, member);
    }
    this->confirmReads();
}

void Raft::handleAppendReply(const Wire::RaftMessage &message)
{
    const auto found = this->members.find(message.from());
    if (this->currentRole != RaftRole::Leader || found == this->members.end()) {
        return;
    }
    RaftProgress &member = found->second;
    member.active = true;
    member.round = std::max(member.round, message.round());
    if (!message.reject()) {
        this->acceptAppend(member, message.log_index());
    } else if (message.log_index() > member.match && !member.outgoingSnapshot) {
        // The member's log does not match at log_index. A delayed rejection only causes entries to be resent.
        member.next = std::max(member.match, std::min(message.hint_index(), this->entries.lastIndex())) + 1;
        member.probing = true;
        member.probeSent = false;
    }
    this->confirmReads();
    this->tryFinishTransfer();
}

void Raft::acceptAppend(RaftProgress &member, std::uint64_t match)
{
    member.match = std::max(member.match, match);
    member.next = std::max(member.next, member.match + 1);
    if (member.outgoingSnapshot && member.match >= member.outgoingSnapshot->index) {
        member.outgoingSnapshot.reset();
    }
    if (member.probing) {
        member.probing = false;
        member.next = member.match + 1;
    }
    member.probeSent = false;
    this->advanceCommit();
}

void Raft::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const std::string &voter : votersOf(this->membership())) {
        const auto found = this->members.find(voter);
        if (voter == this->options.self) {
            matches.push_back(this->syncedIndex);
        } else {
            matches.push_back(found == this->members.end() ? 0 : found->second.match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.rbegin(), matches.rend());
    const std::uint64_t quorumIndex = matches[matches.size() / 2];
    // An entry of an earlier term can still be overwritten although a majority stores it.
    if (quorumIndex <= this->commit || this->entries.term(quorumIndex) != this->hardState.term) {
        return;
    }
    this->commit = quorumIndex;
    const bool removed = this->entries.membershipIndex() <= this->commit && !this->isVoter(this->options.self);
    if (removed) {
        this->sendHeartbeats();
        this->becomeFollower(this->hardState.term, {});
    }
}

// ---- reads and leadership transfer ----

bool Raft::requestRead(std::uint64_t id)
{
    if (this->currentRole != RaftRole::Leader) {
        return false;
    }
    this->pendingReads.push_back({.id = id, .index = std::max(this->commit, this->termStartIndex), .round = this->round + 1});
    return true;
}

void Raft::confirmReads()
{
    std::vector<PendingRead> remaining;
    for (const PendingRead &read : this->pendingReads) {
        const bool quorumResponded = this->hasQuorum([this, &read](const std::string &member) {
            const auto found = this->members.find(member);
            return member == this->options.self || (found != this->members.end() && found->second.round >= read.round);
        });
        if (quorumResponded && read.round <= this->round && read.index <= this->emittedIndex) {
            this->completedReads.push_back({.id = read.id, .confirmed = true});
            continue;
        }
        remaining.push_back(read);
    }
    this->pendingReads = std::move(remaining);
}

void Raft::failReads()
{
    for (const PendingRead &read : this->pendingReads) {
        this->completedReads.push_back({.id = read.id, .confirmed = false});
    }
    this->pendingReads.clear();
}

bool Raft::transferLeadership(std::string member)
{
    if (this->currentRole != RaftRole::Leader) {
        return false;
    }
    std::uint64_t highestMatch = 0;
    for (const auto &[name, known] : this->members) {
        if (member.empty() ? this->isVoter(name) && known.match > highestMatch && known.active : false) {
            highestMatch = known.match;
            this->transferTarget = name;
        }
    }
    if (!member.empty() && member != this->options.self && this->isVoter(member)) {
        this->transferTarget = std::move(member);
    }
    this->transferElapsed = 0;
    this->tryFinishTransfer();
    return this->isTransferringLeadership();
}

std::optional<Wire::RaftMessage> Raft::resign()
{
    if (this->currentRole == RaftRole::Follower) {
        return std::nullopt;
    }
    std::string successor;
    std::uint64_t highestMatch = 0;
    for (const auto &[name, known] : this->members) {
        if (this->currentRole == RaftRole::Leader && this->isVoter(name) && known.active && known.match >= highestMatch) {
            highestMatch = known.match;
            successor = name;
        }
    }
    this->becomeFollower(this->hardState.term, {});
    return successor.empty() ? std::nullopt : std::make_optional(this->makeMessage(Wire::RAFT_KIND_TIMEOUT_NOW, successor));
}

std::optional<Wire::RaftMessage> Raft::confirmRound(const Wire::RaftMessage &append) const
{
    const bool isAppend = append.kind() == Wire::RAFT_KIND_APPEND || append.kind() == Wire::RAFT_KIND_SNAPSHOT;
    if (!isAppend || append.to() != this->options.self || append.term() != this->hardState.term) {
        return std::nullopt;
    }
    // A rejection at index 0 leaves the leader's view of this log as it is; entries dropped here are found missing at a later heartbeat.
    Wire::RaftMessage reply = this->makeMessage(Wire::RAFT_KIND_APPEND_REPLY, append.from());
    reply.set_reject(true);
    reply.set_round(append.round());
    return reply;
}

void Raft::tryFinishTransfer()
{
    const auto found = this->members.find(this->transferTarget);
    if (!this->isTransferringLeadership() || found == this->members.end() || found->second.match < this->entries.lastIndex()) {
        return;
    }
    this->sendAfterSync(this->makeMessage(Wire::RAFT_KIND_TIMEOUT_NOW, this->transferTarget));
}

RaftSnapshot Raft::compact(std::uint64_t index, std::shared_ptr<const std::string> data, std::uint64_t retainedEntries)
{
    RaftSnapshot snapshot{
        .index = index,
        .term = this->entries.term(index),
        .membership = this->entries.membershipAt(index),
        .data = std::move(data),
    };
    this->entries.compact(snapshot, index > retainedEntries ? index - retainedEntries + 1 : 1);
    return snapshot;
}

// ---- output ----

RaftOutput Raft::takeOutput()
{
    RaftOutput output;
    if (this->currentRole == RaftRole::Leader) {
        const bool newRound = std::any_of(this->pendingReads.begin(), this->pendingReads.end(), [this](const PendingRead &read) {
            return read.round > this->round;
        });
        if (newRound) {
            ++this->round;
            this->sendHeartbeats();
        }
        this->sendPendingAppends();
    }
    if (this->hardState != this->syncedState) {
        output.hardState = this->hardState;
    }
    output.snapshot = std::exchange(this->receivedSnapshot, std::nullopt);
    output.entries = this->entries.slice(this->syncedIndex + 1, this->entries.lastIndex(), SIZE_MAX);
    const std::uint64_t applicable = std::min(this->commit, this->syncedIndex);
    if (applicable > this->emittedIndex) {
        output.committed = this->entries.slice(this->emittedIndex + 1, applicable, SIZE_MAX);
        this->emittedIndex = applicable;
    }
    if (this->currentRole == RaftRole::Leader) {
        this->confirmReads();
    }
    output.reads = std::exchange(this->completedReads, {});
    output.messagesBeforeSync = std::exchange(this->messagesBeforeSync, {});
    output.messagesAfterSync = std::exchange(this->messagesAfterSync, {});
    if (output.hardState) {
        // No message, not even an append, may carry a term that a crash could still erase.
        std::move(output.messagesBeforeSync.begin(), output.messagesBeforeSync.end(), std::back_inserter(output.messagesAfterSync));
        output.messagesBeforeSync.clear();
    }
    return output;
}

void Raft::markSynced()
{
    this->syncedState = this->hardState;
    this->syncedIndex = this->entries.lastIndex();
    if (this->currentRole == RaftRole::Leader) {
        this->advanceCommit();
    }
}

} // namespace Apricothead
