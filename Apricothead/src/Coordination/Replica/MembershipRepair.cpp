#include "MembershipRepair.h"

#include "MembershipChange.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** A candidate that has sent no join request for this long has stopped or was admitted. */
constexpr std::uint64_t CandidateTimeoutMs = 1500;
/** Silence after which a voter is taken for lost where that costs no fault tolerance: longer than a change of leader takes. */
constexpr std::uint64_t LostSilenceMs = 2500;

bool isVoter(const Wire::Member &member)
{
    return !member.learner();
}

/** \returns the voter that has been silent longest, empty when none is lost */
std::string lostVoter(const Wire::Membership &membership, const std::function<std::uint64_t(const std::string &replica)> &silentForMs)
{
    std::string lost;
    std::uint64_t longestMs = 0;
    for (const Wire::Member &member : membership.members()) {
        const std::uint64_t silenceMs = isVoter(member) ? silentForMs(member.replica()) : 0;
        if (silenceMs < LostSilenceMs || silenceMs <= longestMs) {
            continue;
        }
        lost = member.replica();
        longestMs = silenceMs;
    }
    return lost;
}

} // namespace

MembershipRepair::MembershipRepair(std::size_t target) : targetVoters(target)
{ }

void MembershipRepair::recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs)
{
    Candidate &candidate = this->candidates[join.address()];
    if (candidate.replica != join.replica()) {
        candidate = {.replica = join.replica(), .address = join.address()};
    }
    candidate.lastRequestMs = nowMs;
}

MembershipRepair::Candidate *MembershipRepair::nextCandidate(const Wire::Membership &membership)
{
    Candidate *next = nullptr;
    for (auto &[address, candidate] : this->candidates) {
        const Wire::Member *member = detail::findMember(membership, candidate.replica);
        if (member != nullptr && isVoter(*member)) {
            continue;
        }
        if (next == nullptr || candidate.lastStepMs < next->lastStepMs) {
            next = &candidate;
        }
    }
    return next;
}

std::optional<MembershipStep>
MembershipRepair::next(const Wire::Membership &membership, const std::function<std::uint64_t(const std::string &replica)> &silentForMs, std::uint64_t nowMs)
{
    std::erase_if(this->candidates, [nowMs](const auto &candidate) {
        return nowMs - candidate.second.lastRequestMs > CandidateTimeoutMs;
    });
    const std::string lost = lostVoter(membership, silentForMs);
    const auto voters = std::count_if(membership.members().begin(), membership.members().end(), isVoter);
    if (static_cast<std::size_t>(voters) > this->targetVoters && !lost.empty()) {
        return MembershipStep{.remove = lost, .addAddress = {}, .reason = "surplus"};
    }
    Candidate *candidate = this->nextCandidate(membership);
    if (candidate == nullptr) {
        return std::nullopt;
    }
    candidate->lastStepMs = nowMs;
    const Wire::Member *holder = detail::findAddress(membership, candidate->address);
    if (holder != nullptr && holder->replica() != candidate->replica) {
        return MembershipStep{.remove = holder->replica(), .addAddress = candidate->address, .reason = "disk-lost"};
    }
    // Below the target a place is vacant, and the disk of the silent voter may still be needed.
    if (lost.empty() || static_cast<std::size_t>(voters) < this->targetVoters) {
        return MembershipStep{.remove = {}, .addAddress = candidate->address, .reason = "joined"};
    }
    return MembershipStep{.remove = lost, .addAddress = candidate->address, .reason = "replaced"};
}

} // namespace Apricothead
