#include "MemberChange.h"

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

} // namespace detail

MemberChange::MemberChange(std::string removed, std::string address) : remove(std::move(removed)), addAddress(std::move(address))
{ }

bool MemberChange::isSame(const Wire::ChangeMembers &request) const
{
    return request.remove() == this->remove && request.add_address() == this->addAddress;
}

std::string MemberChange::addressToInvite() const
{
    return this->added ? std::string() : this->addAddress;
}

void MemberChange::invited(Wire::Member member)
{
    this->added = std::move(member);
}

std::optional<Wire::Membership> MemberChange::next(const Raft &raft) const
{
    Wire::Membership membership = raft.membership();
    if (raft.log().membershipIndex() > raft.commitIndex() || !this->addressToInvite().empty()) {
        return std::nullopt;
    }
    if (this->added) {
        const Wire::Member *present = detail::findMember(membership, this->added->replica());
        if (present == nullptr) {
            Wire::Member *learner = membership.add_members();
            *learner = *this->added;
            learner->set_learner(true);
            return membership;
        }
        if (present->learner()) {
            const auto progress = raft.progress().find(this->added->replica());
            if (progress == raft.progress().end() || progress->second.match < raft.commitIndex()) {
                return std::nullopt;
            }
            for (Wire::Member &member : *membership.mutable_members()) {
                member.set_learner(member.learner() && member.replica() != this->added->replica());
            }
            return membership;
        }
    }
    if (this->remove.empty() || detail::findMember(membership, this->remove) == nullptr) {
        return std::nullopt;
    }
    Wire::Membership without;
    for (const Wire::Member &member : membership.members()) {
        if (member.replica() != this->remove) {
            *without.add_members() = member;
        }
    }
    return without;
}

bool MemberChange::isDone(const Raft &raft) const
{
    if (!this->addressToInvite().empty() || raft.log().membershipIndex() > raft.commitIndex() || this->next(raft)) {
        return false;
    }
    if (this->added) {
        const Wire::Member *present = detail::findMember(raft.membership(), this->added->replica());
        if (present == nullptr || present->learner()) {
            return false;
        }
    }
    const auto &progress = raft.progress();
    return std::all_of(progress.begin(), progress.end(), [&raft](const auto &known) {
        return !raft.isVoter(known.first) || known.second.match >= raft.log().membershipIndex();
    });
}

} // namespace Apricothead
