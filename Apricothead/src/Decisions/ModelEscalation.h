#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricothead {

/** \class ModelEscalationOptions
 * \ingroup Decisions_Module
 * \brief When a request is escalated to a larger model.
 */
struct ModelEscalationOptions {
    /** Confidence of the smaller model, 0 to 100, below which its answer is replaced by that of the largest model. */
    int minConfidence = 50;
    /** The first event of the larger model must be predicted within this multiple of the remaining latency objective. Above 1, as a reliable answer
     * that is slightly late is worth more than a wrong one in time. */
    double objectiveFactor = 1.5;
};

/** \class EscalationQuery
 * \ingroup Decisions_Module
 * \brief The inputs for the decision to escalate, when the answer of a small model has begun and none of it was sent to the caller.
 */
struct EscalationQuery {
    /** The small model's confidence in its answer, 0 to 100; nothing when it reports none. */
    std::optional<int> confidence;
    /** What is left of the latency objective; negative when it has passed. */
    double objectiveLeftMs = 0;
    /** Predicted time to the first event of the larger model. */
    double expectedMs = 0;

    bool operator==(const EscalationQuery &) const = default;
};

/** \class ModelEscalation
 * \ingroup Decisions_Module
 * \brief Chooses the model of a request that does not name one: the smallest first, and the largest when the smallest has a low confidence.
 *
 * Designed for this load pattern: most requests are easy, and the smallest model answers them in a tenth of the engine time; sending all requests
 * to the largest model would overload the engines. Under load fewer answers are replaced, as an uncertain answer in time is worth more than a
 * reliable one that is late.
 */
class ModelEscalation
{
public:
    ModelEscalation() = default;
    explicit ModelEscalation(ModelEscalationOptions options);

    /** \returns the model to send a request to first, empty when \a route lists none */
    static std::string first(const Wire::PlanRoute &route);

    /** \returns the model to escalate to from \a model, empty when \a model is the largest one or \a route lists none */
    static std::string next(const Wire::PlanRoute &route, const std::string &model);

    bool shouldEscalate(const EscalationQuery &query) const;

private:
    ModelEscalationOptions options;
};

} // namespace Apricothead
