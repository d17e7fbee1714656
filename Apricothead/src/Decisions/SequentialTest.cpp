#include "SequentialTest.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Apricothead {

namespace {

/** Excess shares of the mixture, equally weighted. Half of the total weight is on "no excess". */
constexpr std::array<double, 4> Excesses{0.06, 0.2, 0.5, 0.95};
constexpr double NoChangeWeight = 0.5;
constexpr double MinShare = 1e-4;
/** Standard deviations added to the estimated share, so that an estimate from few answers is not too low. */
constexpr double MarginSigmas = 0.5;

} // namespace

double logLikelihoodRatio(const IndicatorCounts &counts, double baseline, double alternative)
{
    const double baselineClamped = std::clamp(baseline, MinShare, 1 - MinShare);
    const double alternativeClamped = std::clamp(alternative, MinShare, 1 - MinShare);
    return counts.occurrences * std::log(alternativeClamped / baselineClamped)
        + (counts.answers - counts.occurrences) * std::log((1 - alternativeClamped) / (1 - baselineClamped));
}

double logEvidence(const IndicatorCounts &counts, double baseline)
{
    std::array<double, Excesses.size()> ratios{};
    std::transform(Excesses.begin(), Excesses.end(), ratios.begin(), [&](double excess) {
        return logLikelihoodRatio(counts, baseline, baseline + (1 - baseline) * excess);
    });
    const double largest = std::max(0.0, *std::max_element(ratios.begin(), ratios.end()));
    double sum = NoChangeWeight * std::exp(-largest);
    for (const double ratio : ratios) {
        sum += (1 - NoChangeWeight) / Excesses.size() * std::exp(ratio - largest);
    }
    return largest + std::log(sum);
}

double baselineShare(const IndicatorCounts &counts, double priorShare, double priorAnswers)
{
    const double answers = counts.answers + priorAnswers;
    const double mean = (counts.occurrences + priorShare * priorAnswers) / answers;
    return mean + MarginSigmas * std::sqrt(mean * (1 - mean) / answers);
}

} // namespace Apricothead
