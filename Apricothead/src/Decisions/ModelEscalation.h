#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricothead {

/** \class ModelEscalationOptions
 * \ingroup Decisions_Module
 * \brief When a dearer model is asked.
 */
struct ModelEscalationOptions {
    /** Opinion of the smaller model, 0 to 100, below which its answer is dropped for the largest model's. */
    int minConfidence = 50;
    /** The dearer model's first event must be expected within this part of what is left of the latency objective: a sure answer that is a little
     * late is worth more than a wrong one in time. */
    double objectiveFactor = 1.5;
};

/** \class EscalationQuery
 * \ingroup Decisions_Module
 * \brief A small model's answer has begun, and the caller has none of it yet.
 */
struct EscalationQuery {
    std::optional<int> confidence;
    double objectiveLeftMs = 0;
    /** Predicted time to the dearer model's first event. */
    double expectedMs = 0;

    bool operator==(const EscalationQuery &) const = default;
};

/** \class ModelEscalation
 * \ingroup Decisions_Module
 * \brief Names the model of a request that leaves the choice: the smallest first, and the largest where the smallest is unsure.
 *
 * Answers this load: most requests are easy and the smallest model answers them in a tenth of the engine time; the largest model for all would
 * overload the engines. While they are loaded, fewer answers are dropped: an unsure answer in time is worth more than a sure one that is late.
 */
class ModelEscalation
{
public:
    ModelEscalation() = default;
    explicit ModelEscalation(ModelEscalationOptions options);

    /** \returns the model to ask first, empty when \a route has none */
    static std::string first(const Wire::PlanRoute &route);

    /** \returns the model to ask after \a model, empty when it is the last one */
    static std::string next(const Wire::PlanRoute &route, const std::string &model);

    bool shouldEscalate(const EscalationQuery &query) const;

private:
    ModelEscalationOptions options;
};

} // namespace Apricothead
