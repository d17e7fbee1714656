#pragma once

#include "ServingPublisher.h"

#include "../../Decisions/ServiceRolloutEvaluator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ServiceRolloutDriver
 * \ingroup Coordination_Module
 * \brief Runs the roll-outs of services on the leader: one evaluator per running roll-out, on this process's monotonic clock.
 */
class ServiceRolloutDriver
{
public:
    /** \returns the changes to propose now; at most one per service and 500 ms */
    std::vector<Wire::SetServiceRollout> due(const Wire::ServingState &state, const std::vector<GatewayCounts> &counts, std::uint64_t nowMs);

private:
    struct ActiveRollout {
        std::uint64_t order = 0;
        std::uint64_t startedMs = 0;
        std::uint64_t lastProposedMs = 0;
        ServiceRolloutEvaluator evaluator;
    };

    std::map<std::string, ActiveRollout> activeRollouts;
};

} // namespace Apricothead
