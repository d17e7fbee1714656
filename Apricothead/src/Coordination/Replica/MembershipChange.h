#pragma once

#include "../../Protocol/Messages.h"
#include "../../State/Raft.h"

#include <optional>
#include <string>

namespace Apricothead {

/** \class MembershipChange
 * \ingroup Coordination_Module
 * \brief The steps that replace, add or remove a replica: add a learner, wait until it has caught up, promote it and remove the other one.
 *
 * A replica that is dead is removed before the promotion: of four voters with one dead, the loss of the new one would stop the group.
 *
 * Holds no progress of its own but the invited member, so that any leader can take up a change that another one began.
 */
class MembershipChange
{
public:
    MembershipChange(std::string remove, std::string addAddress);

    bool isSame(const Wire::ChangeMembers &request) const;

    /** \returns the address that has to be invited first, empty when that is done or not needed */
    std::string addressToInvite() const;

    /** The process at the address has answered with its identity. */
    void setAddedMember(Wire::Member member);

    /** \a removedIsReachable: whether the member to remove has been heard lately. \returns the membership to propose next, or nothing when
     * there is none to propose (now) */
    std::optional<Wire::Membership> next(const Raft &raft, bool removedIsReachable) const;

    /** \returns the identity of the member to remove, empty when none is */
    const std::string &removedReplica() const;

    /** \returns true when all steps are committed and every voter has what is committed */
    bool isDone(const Raft &raft) const;

private:
    bool isRemovalPending(const Wire::Membership &membership) const;

    std::string remove;
    std::string addAddress;
    std::optional<Wire::Member> added;
};

namespace detail {

/** \returns the member with identity \a replica, null when there is none */
const Wire::Member *findMember(const Wire::Membership &membership, const std::string &replica);

/** \returns the member at \a address, null when there is none */
const Wire::Member *findAddress(const Wire::Membership &membership, const std::string &address);

Wire::Membership withLearner(const Wire::Membership &membership, const Wire::Member &added);
Wire::Membership withPromoted(const Wire::Membership &membership, const std::string &replica);
Wire::Membership without(const Wire::Membership &membership, const std::string &replica);

} // namespace detail
} // namespace Apricothead
