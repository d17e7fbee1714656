#pragma once

#include <vector>

namespace Apricothead {

/** \class IndicatorCounts
 * \ingroup Decisions_Module
 * \brief Number of answers, and in how many of them a fault indicator (failed, late or low-rated) occurred.
 */
struct IndicatorCounts {
    double occurrences = 0;
    double answers = 0;

    bool operator==(const IndicatorCounts &) const = default;
};

/** \returns the logarithm of the likelihood ratio of the share \a alternative to the share \a baseline, given \a counts */
double logLikelihoodRatio(const IndicatorCounts &counts, double baseline, double alternative);

/** \returns the logarithm of the evidence (mixture likelihood ratio over several excesses) that the share is above \a baseline
 *
 * While the true share is \a baseline or less, the probability that this value ever reaches h is at most exp(-h) (Ville's
 * inequality), however often it is evaluated. */
double logEvidence(const IndicatorCounts &counts, double baseline);

/** \returns a conservative (high) estimate of the baseline share from \a counts and a prior of \a priorShare with the weight of
 * \a priorAnswers answers */
double baselineShare(const IndicatorCounts &counts, double priorShare, double priorAnswers);

} // namespace Apricothead
