#pragma once

#include "../../Protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Apricothead {

/** \class MembershipStep
 * \ingroup Coordination_Module
 * \brief A member to remove, the address of a replica to add, or both, with the reason for the log.
 */
struct MembershipStep {
    std::string remove;
    std::string addAddress;
    std::string reason;

    bool operator==(const MembershipStep &) const = default;
};

/** \class MembershipRepair
 * \ingroup Coordination_Module
 * \brief Automatic membership changes: admits replicas that request to join, and removes members that are lost.
 *
 * A replica with an empty data folder, or one that was removed while it was out of reach, sends join requests. An empty one at the address of a member shows
 * that this member's disk is lost. One at a new address replaces a silent voter in a group of the target size, and enlarges the group when there is none; so a
 * successor may join before its predecessor is known to be lost. A group with more voters than its target removes its silent ones, one at a time, until it has
 * the target size: this reduces the quorum and costs no fault tolerance. Below the target a silent voter stays, since its disk may hold what a majority of
 * fewer voters would not.
 */
class MembershipRepair
{
public:
    /** \a targetVoters: the number of voters below which none is removed without a replacement, two times the number of losses to be borne plus one */
    explicit MembershipRepair(std::size_t targetVoters);

    /** Records a join request of another replica. */
    void recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs);

    /** \a silentForMs: for how many ms the leader has received nothing from a replica while it could have. \returns the step that the leader should
     * take, if any */
    std::optional<MembershipStep>
    next(const Wire::Membership &membership, const std::function<std::uint64_t(const std::string &replica)> &silentForMs, std::uint64_t nowMs);

private:
    struct Candidate {
        std::string replica;
        std::string address;
        std::uint64_t lastRequestMs = 0;
        /** When it was last to be admitted; 0: never. */
        std::uint64_t lastStepMs = 0;
    };

    /** \returns the replica to admit next, null when there is none: the one whose last attempt is longest ago */
    Candidate *nextCandidate(const Wire::Membership &membership);

    std::size_t targetVoters;
    std::map<std::string, Candidate> candidates;
};

} // namespace Apricothead
