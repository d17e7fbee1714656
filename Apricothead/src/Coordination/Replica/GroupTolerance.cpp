#include "GroupTolerance.h"

namespace Apricothead {

GroupTolerance toleranceOf(const Wire::Membership &membership, std::size_t targetVoters, const std::function<bool(const std::string &replica)> &isLive)
{
    GroupTolerance tolerance;
    for (const Wire::Member &member : membership.members()) {
        if (member.learner()) {
            continue;
        }
        ++tolerance.voters;
        tolerance.liveVoters += isLive(member.replica()) ? 1 : 0;
    }
    const std::size_t majority = tolerance.voters / 2 + 1;
    tolerance.lossesBorne = tolerance.liveVoters > majority ? tolerance.liveVoters - majority : 0;
    tolerance.lossesToBear = targetVoters > 0 ? (targetVoters - 1) / 2 : 0;
    return tolerance;
}

} // namespace Apricothead
