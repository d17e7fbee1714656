#include "CascadePlan.h"

#include "../../State/ConfigurationLookup.h"

#include <charconv>

namespace Apricothead {
namespace {

constexpr double UsualQualityTarget = 0.9;
constexpr double UsualRatingTimeoutMs = 2000;
/** Assumed where the caller set no bound. */
constexpr double UsualAnswerTokens = 400;
constexpr double TokensPerPrice = 1000;

double costOf(const Wire::Version *version, const CallerRequest &request)
{
    if (version == nullptr) {
        return 0;
    }
    const double answerTokens = request.maxTokens > 0 ? request.maxTokens : UsualAnswerTokens;
    const double input = request.promptTokens * static_cast<double>(version->input_price_micros());
    const double output = answerTokens * static_cast<double>(version->output_price_micros());
    return (input + output) / TokensPerPrice;
}

} // namespace

CascadeProgress cascadeViewOf(const Wire::Configuration &configuration, const Wire::Cascade &cascade, const CallerRequest &request, const IsServed &isServed)
{
    CascadeProgress view;
    view.organisation = request.organisation;
    view.kind = requestKind({}, request.payload.priority(), request.promptTokens);
    view.ratingThreshold = cascade.rating_threshold();
    view.ratingTimeoutMs = cascade.rating_timeout_ms() > 0 ? cascade.rating_timeout_ms() : UsualRatingTimeoutMs;
    for (const std::string &id : cascade.models()) {
        const Wire::Model *model = findModel(configuration, id);
        const std::string stable = model == nullptr ? std::string() : model->stable_version();
        view.tiers.push_back({.model = id, .cost = costOf(findVersion(configuration, stable), request), .available = isServed(id, stable)});
    }
    if (const Wire::Organisation *organisation = findOrganisation(configuration, request.organisation)) {
        view.qualityTarget = qualityTargetOf(*organisation);
    }
    return view;
}

double qualityTargetOf(const Wire::Organisation &organisation)
{
    const std::string &text = organisation.quality_target();
    double target = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), target);
    const bool isShare = error == std::errc() && end == text.data() + text.size() && target > 0 && target <= 1;
    return isShare ? target : UsualQualityTarget;
}

} // namespace Apricothead
