#include "ModelEscalation.h"

namespace Apricothead {

ModelEscalation::ModelEscalation(ModelEscalationOptions given) : options(given)
{ }

std::string ModelEscalation::first(const Wire::PlanRoute &route)
{
    return route.models().empty() ? std::string() : route.models(0);
}

std::string ModelEscalation::next(const Wire::PlanRoute &route, const std::string &model)
{
    if (route.models().empty() || model == route.models(route.models_size() - 1)) {
        return {};
    }
    // The models in between cost several times as much as the smallest one and are hardly better.
    return route.models(route.models_size() - 1);
}

bool ModelEscalation::shouldEscalate(const EscalationQuery &query) const
{
    const bool isUnsure = query.confidence && *query.confidence < this->options.minConfidence;
    return isUnsure && query.expectedMs < this->options.objectiveFactor * query.objectiveLeftMs;
}

} // namespace Apricothead
