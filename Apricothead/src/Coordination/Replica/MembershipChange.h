#pragma once

#include "../../Protocol/Messages.h"
#include "../../State/Raft.h"

#include <optional>
#include <string>

namespace Apricothead {

/** \class MembershipChange
 * \ingroup Coordination_Module
 * \brief The steps that replace, add or remove a replica: add a learner, wait until it has caught up, promote it and remove the other member.
 *
 * An unreachable member is removed before the promotion: of four voters with one down, the loss of the new one would cost the quorum.
 *
 * The only state is the invited member; progress is read from the membership, so any leader can resume a change started by another.
 */
class MembershipChange
{
public:
    MembershipChange(std::string remove, std::string addAddress);

    bool isSame(const Wire::ChangeMembers &request) const;

    /** \returns the address of the replica to invite first, empty when it has answered or none is added */
    std::string addressToInvite() const;

    /** Sets the identity with which the invited replica answered. */
    void setAddedMember(Wire::Member member);

    /** \a removedIsReachable: whether the member to remove is reachable. \returns the membership to propose next, or nothing when there is
     * none to propose or a preceding step has not completed */
    std::optional<Wire::Membership> next(const Raft &raft, bool removedIsReachable) const;

    /** \returns the identity of the member to remove, empty when there is none */
    const std::string &removedReplica() const;

    /** \returns true when all steps are committed */
    bool isCommitted(const Raft &raft) const;

    /** \returns true when all steps are committed and every voter has the membership entry */
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

/** \returns whether both are of one group without a recovery in between, so that what is committed in one is committed in the other. Identities are
 * unique, so a common member proves the group. */
bool hasCommonHistory(const Wire::Membership &left, const Wire::Membership &right);

Wire::Membership withLearner(const Wire::Membership &membership, const Wire::Member &added);
Wire::Membership withPromoted(const Wire::Membership &membership, const std::string &replica);
Wire::Membership without(const Wire::Membership &membership, const std::string &replica);

} // namespace detail
} // namespace Apricothead
