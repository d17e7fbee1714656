#include "ModelLadder.h"

namespace Apricothead {

ModelLadder::ModelLadder(ModelLadderOptions given) : options(given)
{ }

std::string ModelLadder::first(const Wire::PlanRoute &route)
{
    return route.models().empty() ? std::string() : route.models(0);
}

std::string ModelLadder::next(const Wire::PlanRoute &route, const std::string &model)
{
    if (route.models().empty() || model == route.models(route.models_size() - 1)) {
        return {};
    }
    // The models between are hardly better than the smallest for several times its cost.
    return route.models(route.models_size() - 1);
}

bool ModelLadder::shouldEscalate(const EscalationQuestion &question) const
{
    const bool isUnsure = question.confidence && *question.confidence < this->options.leastConfidence;
    return isUnsure && question.expectedMs < this->options.objectivePart * question.objectiveLeftMs;
}

} // namespace Apricothead
