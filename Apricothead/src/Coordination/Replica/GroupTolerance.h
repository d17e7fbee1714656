#pragma once

#include "../../Protocol/Messages.h"

#include <cstddef>
#include <functional>
#include <string>

namespace Apricothead {

/** \class GroupTolerance
 * \ingroup Coordination_Module
 * \brief How many further losses of voters a group bears, and how many it should.
 */
struct GroupTolerance {
    std::size_t voters = 0;
    std::size_t liveVoters = 0;
    /** Voters that may be lost now so that a majority remains. */
    std::size_t lossesBorne = 0;
    /** The same in a group of the target size in which all run. */
    std::size_t lossesToBear = 0;

    bool operator==(const GroupTolerance &) const = default;

    /** \returns whether the group bears less than it should */
    bool isReduced() const
    {
        return this->lossesBorne < this->lossesToBear;
    }
};

/** \a isLive: whether a voter runs and is reachable. \returns the tolerance of the group \a membership whose target size is \a targetVoters
 * \ingroup Coordination_Module
 */
GroupTolerance toleranceOf(const Wire::Membership &membership, std::size_t targetVoters, const std::function<bool(const std::string &replica)> &isLive);

} // namespace Apricothead
