#include "CascadePlan.h"

#include "../../State/ConfigurationLookup.h"

#include <charconv>

namespace Apricothead {
namespace {

constexpr double DefaultQualityTarget = 0.9;
constexpr double DefaultRatingTimeoutMs = 2000;
/** Assumed when the request sets no max_tokens. */
constexpr double DefaultOutputTokens = 400;
constexpr double TokensPerPriceUnit = 1000;

double expectedCost(const Wire::Version *version, const CallerRequest &request)
{
    if (version == nullptr) {
        return 0;
    }
    const double answerTokens = request.maxTokens > 0 ? request.maxTokens : DefaultOutputTokens;
    const double input = request.promptTokens * static_cast<double>(version->input_price_micros());
    const double output = answerTokens * static_cast<double>(version->output_price_micros());
    return (input + output) / TokensPerPriceUnit;
}

} // namespace

CascadeProgress makeCascadeView(const Wire::Configuration &configuration, const Wire::Cascade &cascade, const CallerRequest &request, const IsServed &isServed)
{
    CascadeProgress view;
    view.organisation = request.organisation;
    view.kind = requestKind({}, request.payload.priority(), request.promptTokens);
    view.ratingThreshold = cascade.rating_threshold();
    view.ratingTimeoutMs = cascade.rating_timeout_ms() > 0 ? cascade.rating_timeout_ms() : DefaultRatingTimeoutMs;
    for (const std::string &id : cascade.models()) {
        const Wire::Model *model = findModel(configuration, id);
        const std::string stable = model == nullptr ? std::string() : model->stable_version();
        view.tiers.push_back({.model = id, .cost = expectedCost(findVersion(configuration, stable), request), .available = isServed(id, stable)});
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
    const bool isFraction = error == std::errc() && end == text.data() + text.size() && target > 0 && target <= 1;
    return isFraction ? target : DefaultQualityTarget;
}

} // namespace Apricothead
