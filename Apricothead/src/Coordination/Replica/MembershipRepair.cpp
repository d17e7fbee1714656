#include "MembershipRepair.h"

#include "MembershipChange.h"

#include <algorithm>
#include <set>

namespace Apricothead {
namespace {

constexpr std::uint64_t JoinRequestIntervalMs = 300;
/** A candidate that has sent no join request for this long has stopped or was admitted. */
constexpr std::uint64_t CandidateTimeoutMs = 1500;
/** Silence after which a candidate replaces a member: longer than a change of leader takes. */
constexpr std::uint64_t ReplaceSilenceMs = 2500;
/** Silence after which a group with an even number of voters removes a member: longer than a restart takes, since a removed member has to
 * join again. */
constexpr std::uint64_t RemoveSilenceMs = 6000;

bool isVoter(const Wire::Member &member)
{
    return !member.learner();
}

} // namespace

bool MembershipRepair::isJoinRequestDue(std::uint64_t nowMs)
{
    if (nowMs - this->lastRequestMs < JoinRequestIntervalMs) {
        return false;
    }
    this->lastRequestMs = nowMs;
    return true;
}

void MembershipRepair::recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs)
{
    this->candidates[join.address()] = {.replica = join.replica(), .address = join.address(), .lastRequestMs = nowMs};
}

std::string MembershipRepair::silentVoter(const Wire::Membership &membership, std::uint64_t minSilenceMs, std::uint64_t nowMs) const
{
    for (const Wire::Member &member : membership.members()) {
        const auto silent = this->silentSinceMs.find(member.replica());
        if (isVoter(member) && silent != this->silentSinceMs.end() && nowMs - silent->second >= minSilenceMs) {
            return member.replica();
        }
    }
    return {};
}

std::optional<MembershipStep>
MembershipRepair::next(const Wire::Membership &membership, const std::function<bool(const std::string &replica)> &isReachable, std::uint64_t nowMs)
{
    std::set<std::string> memberIds;
    for (const Wire::Member &member : membership.members()) {
        memberIds.insert(member.replica());
        if (isReachable(member.replica())) {
            this->silentSinceMs.erase(member.replica());
            continue;
        }
        this->silentSinceMs.emplace(member.replica(), nowMs);
    }
    std::erase_if(this->silentSinceMs, [&memberIds](const auto &silent) {
        return !memberIds.contains(silent.first);
    });
    std::erase_if(this->candidates, [nowMs](const auto &candidate) {
        return nowMs - candidate.second.lastRequestMs > CandidateTimeoutMs;
    });
    for (const auto &[address, candidate] : this->candidates) {
        const Wire::Member *member = detail::findMember(membership, candidate.replica);
        if (member != nullptr && isVoter(*member)) {
            continue;
        }
        const Wire::Member *holder = detail::findAddress(membership, address);
        if (holder != nullptr && holder->replica() != candidate.replica) {
            return MembershipStep{.remove = holder->replica(), .addAddress = address, .reason = "disk-lost"};
        }
        const std::string silent = this->silentVoter(membership, ReplaceSilenceMs, nowMs);
        return MembershipStep{.remove = silent, .addAddress = address, .reason = silent.empty() ? "joined" : "replaced"};
    }
    const auto voters = std::count_if(membership.members().begin(), membership.members().end(), isVoter);
    const std::string silent = this->silentVoter(membership, RemoveSilenceMs, nowMs);
    if (voters % 2 == 0 && voters > 2 && !silent.empty()) {
        return MembershipStep{.remove = silent, .addAddress = {}, .reason = "even-group"};
    }
    return std::nullopt;
}

} // namespace Apricothead
