#include "MembershipController.h"

#include "../../Transport/Log.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::uint64_t InviteRetryIntervalMs = 500;
/** An invitation that a repair waits for is given up after this time: the replica is gone or out of reach, and others may be waiting. */
constexpr std::uint64_t InviteTimeoutMs = 1000;
/** A repair that has not completed by then is abandoned and re-evaluated: the replica to add may be gone. */
constexpr std::uint64_t RepairTimeoutMs = 4000;

} // namespace

MembershipController::MembershipController(MembershipControllerOptions given) : options(std::move(given)), repair(options.targetVoters)
{ }

void MembershipController::recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs)
{
    this->repair.recordJoinRequest(join, nowMs);
}

bool MembershipController::isOtherChangeRequested(const Wire::ChangeMembers &request) const
{
    return this->change && this->change->peer && !this->change->change.isSame(request);
}

bool MembershipController::isInProgress(const Wire::ChangeMembers &request) const
{
    return this->change && this->change->change.isSame(request);
}

void MembershipController::start(const Wire::ChangeMembers &request, const PeerId &peer, Raft &raft, std::uint64_t nowMs)
{
    if (this->isInProgress(request)) {
        // A repeated request: the reply goes to the newest connection.
        this->change->peer = peer;
        this->change->call = request.call();
        return;
    }
    this->change.emplace(RunningChange{.change = MembershipChange(request.remove(), request.add_address()), .peer = peer, .call = request.call()});
    logLine(LogLevel::Info, "membership-change-started", {{"remove", request.remove()}, {"add", request.add_address()}});
    this->advance(raft, nowMs);
}

void MembershipController::handleInviteReply(const Wire::InviteReply &reply, Raft &raft, std::uint64_t nowMs)
{
    if (!this->change || reply.member().address() != this->change->change.addressToInvite()) {
        return;
    }
    if (reply.has_error()) {
        this->finish(&reply.error());
        return;
    }
    this->change->change.setAddedMember(reply.member());
    this->advance(raft, nowMs);
}

void MembershipController::run(Raft &raft, std::uint64_t nowMs, bool mayStart)
{
    this->advance(raft, nowMs);
    if (!this->change && mayStart) {
        this->startRepair(raft, nowMs);
    }
}

void MembershipController::abandon(const Wire::Error &error)
{
    this->finish(&error);
}

void MembershipController::advance(Raft &raft, std::uint64_t nowMs)
{
    if (!this->change || raft.role() != RaftRole::Leader) {
        return;
    }
    const std::string address = this->change->change.addressToInvite();
    if (!address.empty()) {
        this->options.connect(address);
        if (nowMs - this->change->invitedMs >= InviteRetryIntervalMs && this->options.invite(address)) {
            this->change->invitedMs = nowMs;
        }
        this->giveUpAfter(InviteTimeoutMs, nowMs);
        return;
    }
    if (const auto membership = this->change->change.next(raft, this->options.isReachable(this->change->change.removedReplica()))) {
        if (raft.proposeMembership(*membership)) {
            logLine(LogLevel::Info, "membership-proposed", {{"members", membership->ShortDebugString()}});
            this->options.onProposed();
        }
        return;
    }
    // No operator waits for an automatic change, and a lost voter, which never gets the entry, must not hold up its own removal.
    const bool isAutomatic = !this->change->peer;
    if (isAutomatic ? this->change->change.isCommitted(raft) : this->change->change.isDone(raft)) {
        this->finish(nullptr);
        return;
    }
    this->giveUpAfter(RepairTimeoutMs, nowMs);
}

/** A repair that makes no progress must not block the next one, whose member may be reachable. */
void MembershipController::giveUpAfter(std::uint64_t boundMs, std::uint64_t nowMs)
{
    if (!this->change->peer && nowMs - this->change->startedMs > boundMs) {
        logLine(LogLevel::Warning, "membership-repair-given-up", {{"remove", this->change->change.removedReplica()}});
        this->change.reset();
    }
}

void MembershipController::startRepair(const Raft &raft, std::uint64_t nowMs)
{
    if (const std::optional<MembershipStep> step = this->repair.next(raft.membership(), this->options.silentForMs, nowMs)) {
        logLine(LogLevel::Info, "membership-repair", {{"remove", step->remove}, {"add", step->addAddress}, {"reason", step->reason}});
        this->change.emplace(RunningChange{.change = MembershipChange(step->remove, step->addAddress), .startedMs = nowMs});
        return;
    }
    this->inviteSeeds(raft, nowMs);
}

void MembershipController::inviteSeeds(const Raft &raft, std::uint64_t nowMs)
{
    const auto &members = raft.membership().members();
    const auto voters = std::count_if(members.begin(), members.end(), [](const Wire::Member &member) {
        return !member.learner();
    });
    if (static_cast<std::size_t>(voters) >= this->options.seeds.size()) {
        return;
    }
    for (const std::string &seed : this->options.seeds) {
        const Wire::Member *member = detail::findAddress(raft.membership(), seed);
        if (member != nullptr && !member->learner()) {
            continue;
        }
        if (this->options.connect(seed)) {
            this->change.emplace(RunningChange{.change = MembershipChange({}, seed), .startedMs = nowMs});
            return;
        }
    }
}

void MembershipController::finish(const Wire::Error *error)
{
    if (!this->change) {
        return;
    }
    const RunningChange ended = *std::exchange(this->change, std::nullopt);
    logLine(LogLevel::Info, "membership-change-ended", {{"done", error == nullptr}, {"error", error == nullptr ? std::string() : error->message()}});
    if (ended.peer) {
        this->options.onEnded(*ended.peer, ended.call, error);
    }
}

} // namespace Apricothead
