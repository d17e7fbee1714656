#include "SequentialTest.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Apricothead {

namespace {

/** By how much a bad version may be worse, each as likely; and half the weight is on "not at all". */
constexpr std::array<double, 4> Excesses{0.06, 0.2, 0.5, 0.95};
constexpr double NoChangeWeight = 0.5;
constexpr double LeastShare = 1e-4;
/** Standard deviations added to an estimate from few answers. */
constexpr double Caution = 0.5;

} // namespace

double logLikelihoodRatio(const IndicatorCounts &counts, double usual, double worse)
{
    const double base = std::clamp(usual, LeastShare, 1 - LeastShare);
    const double other = std::clamp(worse, LeastShare, 1 - LeastShare);
    return counts.seen * std::log(other / base) + (counts.answers - counts.seen) * std::log((1 - other) / (1 - base));
}

double logEvidence(const IndicatorCounts &counts, double usual)
{
    std::array<double, Excesses.size()> ratios{};
    std::transform(Excesses.begin(), Excesses.end(), ratios.begin(), [&](double excess) {
        return logLikelihoodRatio(counts, usual, usual + (1 - usual) * excess);
    });
    const double largest = std::max(0.0, *std::max_element(ratios.begin(), ratios.end()));
    double sum = NoChangeWeight * std::exp(-largest);
    for (const double ratio : ratios) {
        sum += (1 - NoChangeWeight) / Excesses.size() * std::exp(ratio - largest);
    }
    return largest + std::log(sum);
}

double usualShare(const IndicatorCounts &counts, double priorShare, double priorAnswers)
{
    const double answers = counts.answers + priorAnswers;
    const double mean = (counts.seen + priorShare * priorAnswers) / answers;
    return mean + Caution * std::sqrt(mean * (1 - mean) / answers);
}

} // namespace Apricothead
