#include "MembershipChange.h"

#include <algorithm>

namespace Apricothead {
namespace detail {

const Wire::Member *findMember(const Wire::Membership &membership, const std::string &replica)
{
    for (const Wire::Member &member : membership.members()) {
        if (member.replica() == replica) {
            return &member;
        }
    }
    return nullptr;
}

const Wire::Member *findAddress(const Wire::Membership &membership, const std::string &address)
{
    for (const Wire::Member &member : membership.members()) {
        if (member.address() == address) {
            return &member;
        }
    }
    return nullptr;
}

bool hasCommonHistory(const Wire::Membership &left, const Wire::Membership &right)
{
    return left.recoveries() == right.recoveries() && std::any_of(left.members().begin(), left.members().end(), [&right](const Wire::Member &member) {
               return findMember(right, member.replica()) != nullptr;
           });
}

Wire::Membership withLearner(const Wire::Membership &membership, const Wire::Member &added)
{
    Wire::Membership result = membership;
    Wire::Member *learner = result.add_members();
    *learner = added;
    learner->set_learner(true);
    return result;
}

Wire::Membership withPromoted(const Wire::Membership &membership, const std::string &replica)
{
    Wire::Membership result = membership;
    for (Wire::Member &member : *result.mutable_members()) {
        member.set_learner(member.learner() && member.replica() != replica);
    }
    return result;
}

Wire::Membership without(const Wire::Membership &membership, const std::string &replica)
{
    Wire::Membership result;
    result.set_recoveries(membership.recoveries());
    for (const Wire::Member &member : membership.members()) {
        if (member.replica() != replica) {
            *result.add_members() = member;
        }
    }
    return result;
}

} // namespace detail

MembershipChange::MembershipChange(std::string removed, std::string address) : remove(std::move(removed)), addAddress(std::move(address))
{ }

bool MembershipChange::isSame(const Wire::ChangeMembers &request) const
{
    return request.remove() == this->remove && request.add_address() == this->addAddress;
}

std::string MembershipChange::addressToInvite() const
{
    return this->added ? std::string() : this->addAddress;
}

void MembershipChange::setAddedMember(Wire::Member member)
{
    this->added = std::move(member);
}

const std::string &MembershipChange::removedReplica() const
{
    return this->remove;
}

bool MembershipChange::isRemovalPending(const Wire::Membership &membership) const
{
    return !this->remove.empty() && detail::findMember(membership, this->remove) != nullptr;
}

std::optional<Wire::Membership> MembershipChange::next(const Raft &raft, bool removedIsReachable) const
{
    const Wire::Membership &membership = raft.membership();
    if (raft.log().membershipIndex() > raft.commitIndex() || !this->addressToInvite().empty()) {
        return std::nullopt;
    }
    const Wire::Member *addedMember = this->added ? detail::findMember(membership, this->added->replica()) : nullptr;
    if (this->added && addedMember == nullptr) {
        return detail::withLearner(membership, *this->added);
    }
    const bool needsPromotion = addedMember != nullptr && addedMember->learner();
    if (needsPromotion) {
        const auto progress = raft.progress().find(addedMember->replica());
        if (progress == raft.progress().end() || progress->second.match < raft.commitIndex() || !progress->second.active) {
            return std::nullopt;
        }
        if (removedIsReachable || !this->isRemovalPending(membership)) {
            return detail::withPromoted(membership, addedMember->replica());
        }
    }
    if (this->isRemovalPending(membership)) {
        return detail::without(membership, this->remove);
    }
    return std::nullopt;
}

bool MembershipChange::isCommitted(const Raft &raft) const
{
    if (!this->addressToInvite().empty() || raft.log().membershipIndex() > raft.commitIndex() || this->isRemovalPending(raft.membership())) {
        return false;
    }
    if (this->added) {
        const Wire::Member *addedMember = detail::findMember(raft.membership(), this->added->replica());
        if (addedMember == nullptr || addedMember->learner()) {
            return false;
        }
    }
    return true;
}

bool MembershipChange::isDone(const Raft &raft) const
{
    const auto &progress = raft.progress();
    return this->isCommitted(raft) && std::all_of(progress.begin(), progress.end(), [&raft](const auto &entry) {
               return !raft.isVoter(entry.first) || entry.second.match >= raft.log().membershipIndex();
           });
}

} // namespace Apricothead
