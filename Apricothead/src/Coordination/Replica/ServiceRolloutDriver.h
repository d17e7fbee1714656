#pragma once

#include "ServingFeed.h"

#include "../../Decisions/ServiceRolloutEvaluator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ServiceRolloutDriver
 * \ingroup Coordination_Module
 * \brief The leader's part in roll-outs of services: one judge for each running roll-out, on this process's own clock.
 */
class ServiceRolloutDriver
{
public:
    /** \returns the changes to propose now; each is given out again only after a pause */
    std::vector<Wire::SetServiceRollout> due(const Wire::ServingState &state, const std::vector<GatewayCounts> &counts, std::uint64_t nowMs);

private:
    struct Running {
        std::uint64_t order = 0;
        std::uint64_t sinceMs = 0;
        std::uint64_t proposedMs = 0;
        ServiceRolloutEvaluator judge;
    };

    std::map<std::string, Running> running;
};

} // namespace Apricothead
