#pragma once

#include "../../Protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Apricothead {

/** \class MembershipStep
 * \ingroup Coordination_Module
 * \brief A member to remove, the address of one to add, or both, and why.
 */
struct MembershipStep {
    std::string remove;
    std::string addAddress;
    std::string reason;

    bool operator==(const MembershipStep &) const = default;
};

/** \class MembershipRepair
 * \ingroup Coordination_Module
 * \brief Keeps the group whole without an operator: lets replicas in that ask to join, and drops members that are lost.
 *
 * A replica whose data folder is empty asks at the replicas it knows. One that comes at the address of a member shows that this member's disk
 * is lost; one that comes at a new address replaces a silent member if there is one, and otherwise makes the group larger. A group of an even
 * number of voters drops its silent member: that makes its quorum smaller and costs no fault tolerance.
 */
class MembershipRepair
{
public:
    /** \returns true when it is time to ask to be let in */
    bool isJoinRequestDue(std::uint64_t nowMs);

    /** A replica asked to be let in. */
    void recordJoinRequest(const Wire::Join &join, std::uint64_t nowMs);

    /** \returns the step that the leader should take, if any */
    std::optional<MembershipStep>
    next(const Wire::Membership &membership, const std::function<bool(const std::string &replica)> &isReachable, std::uint64_t nowMs);

private:
    struct Candidate {
        std::string replica;
        std::string address;
        std::uint64_t lastRequestMs = 0;
    };
    std::string silentVoter(const Wire::Membership &membership, std::uint64_t minSilenceMs, std::uint64_t nowMs) const;

    std::map<std::string, Candidate> candidates;
    std::map<std::string, std::uint64_t> silentSinceMs;
    std::uint64_t lastRequestMs = 0;
};

} // namespace Apricothead
