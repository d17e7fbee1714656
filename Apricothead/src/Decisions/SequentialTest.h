#pragma once

#include <vector>

namespace Apricothead {

/** \class IndicatorCounts
 * \ingroup Decisions_Module
 * \brief How often something bad was seen in how many answers.
 */
struct IndicatorCounts {
    double occurrences = 0;
    double answers = 0;

    bool operator==(const IndicatorCounts &) const = default;
};

/** \returns the log likelihood ratio of a bad share of \a worse against one of \a usual */
double logLikelihoodRatio(const IndicatorCounts &counts, double baseline, double alternative);

/** \returns the logarithm of the evidence that the share is above \a usual, as a mixture over how much it may be above it
 *
 * While the share is \a usual or less, the chance that this ever reaches h is at most exp(-h) (Ville's inequality), however often
 * it is looked at. */
double logEvidence(const IndicatorCounts &counts, double baseline);

/** \returns a cautious estimate of the usual share from \a counts and a prior of \a priorShare worth \a priorAnswers */
double baselineShare(const IndicatorCounts &counts, double priorShare, double priorAnswers);

} // namespace Apricothead
