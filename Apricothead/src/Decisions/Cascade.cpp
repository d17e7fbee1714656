#include "Cascade.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

constexpr double AbsentSmoothing = 0.03;
/** Above this share of absent ratings, a kind below the quality target is not tried at a tier whose answer would probably stay unrated. */
constexpr double MaxAbsentShare = 0.5;
/** A model with fewer ratings than this has no reliable estimate and is still being tried. */
constexpr double MinRatings = 4;
constexpr double ReferenceDecay = 0.995;
constexpr double ReferencePriorRatings = 5;
constexpr double MinErrorRate = 0.02;
constexpr double MaxErrorRate = 0.35;
/** An answer is not delivered when the probability that it is good, given its rating, is below this fraction of the quality target. */
constexpr double MinQualityFraction = 0.9;
/** Longer labels of callers are truncated. */
constexpr std::size_t MaxLabelBytes = 40;

std::string recordKey(const std::string &organisation, const std::string &kind, const std::string &model)
{
    return organisation + '\n' + kind + '\n' + model;
}

std::optional<std::size_t> nextAvailable(const CascadeProgress &progress, std::size_t from)
{
    for (std::size_t tier = from; tier < progress.tiers.size(); ++tier) {
        if (progress.tiers[tier].available) {
            return tier;
        }
    }
    return std::nullopt;
}

double goodShareOf(const CascadeProgress &progress, const CascadeHistory &history, std::size_t tier)
{
    return history.goodShare(progress.organisation, progress.kind, progress.tiers[tier].model);
}

/** \returns the share of good answers, estimated from the share of good ratings when ratings are wrong with probability \a errorRate */
double trueGoodShare(double ratedGoodShare, double errorRate)
{
    return std::clamp((ratedGoodShare - errorRate) / (1 - 2 * errorRate), 0.01, 0.99);
}

/** \returns the probability that an answer is good, given its rating and the share of good ratings of its kind (Bayes' rule) */
double posteriorGood(double ratedGoodShare, bool isRatedGood, double errorRate)
{
    const double good = trueGoodShare(ratedGoodShare, errorRate);
    const double ifGood = isRatedGood ? 1 - errorRate : errorRate;
    const double ifBad = isRatedGood ? errorRate : 1 - errorRate;
    return good * ifGood / (good * ifGood + (1 - good) * ifBad);
}

CascadeDecision chooseFirstTier(const CascadeProgress &progress, const CascadeHistory &history, double draw)
{
    const std::optional<std::size_t> cheapest = nextAvailable(progress, 0);
    if (!cheapest) {
        return {.action = CascadeAction::Refuse, .reason = "no-tier-available"};
    }
    CascadeDecision decision{.action = CascadeAction::Run, .tier = *cheapest, .reason = "cheap-first"};
    for (std::optional<std::size_t> tier = cheapest; tier; tier = nextAvailable(progress, *tier + 1)) {
        const std::optional<std::size_t> nextTier = nextAvailable(progress, *tier + 1);
        decision.tier = *tier;
        decision.goodShare = goodShareOf(progress, history, *tier);
        if (!nextTier) {
            decision.reason = tier == cheapest ? "only-tier" : decision.reason;
            return decision;
        }
        const CascadeTier &tierInfo = progress.tiers[*tier];
        const double ratingCount = history.ratingCount(progress.organisation, progress.kind, tierInfo.model);
        const bool likelyUnrated = history.absentRatingShare() > MaxAbsentShare && decision.goodShare < progress.qualityTarget;
        const bool fitsDeadline = tierInfo.expectedMs + progress.tiers[*nextTier].expectedMs <= progress.deadlineLeftMs;
        // Trying this tier costs its own run, and saves the run at the next tier as often as the answer is good enough.
        const double costRatio = tierInfo.cost / std::max(1e-9, progress.tiers[*nextTier].cost);
        const bool acceptable = posteriorGood(decision.goodShare, true, history.ratingErrorRate()) >= progress.qualityTarget * MinQualityFraction;
        const bool worthTrying = ratingCount < MinRatings || (decision.goodShare > costRatio && acceptable);
        if (worthTrying && !likelyUnrated && (fitsDeadline || decision.goodShare >= progress.qualityTarget)) {
            return decision;
        }
        if (!likelyUnrated && fitsDeadline && draw * history.settings().explorationInterval < 1) {
            decision.reason = "explore";
            return decision;
        }
        decision.reason = likelyUnrated ? "rating-absent-lately" : !worthTrying ? "cheap-not-worth-trying" : "deadline-near";
    }
    return decision;
}

} // namespace

CascadeHistory::CascadeHistory(CascadeHistoryOptions givenOptions) : options(givenOptions)
{ }

CascadeHistory::Record *CascadeHistory::find(const std::string &organisation, const std::string &kind, const std::string &model)
{
    const auto found = this->records.find(recordKey(organisation, kind, model));
    return found == this->records.end() ? nullptr : &found->second;
}

const CascadeHistory::Record *CascadeHistory::find(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const auto found = this->records.find(recordKey(organisation, kind, model));
    return found == this->records.end() ? nullptr : &found->second;
}

void CascadeHistory::recordRating(const std::string &organisation, const std::string &kind, const std::string &model, double rating, double threshold)
{
    if (!std::isfinite(rating)) {
        return;
    }
    Record &record = this->records[recordKey(organisation, kind, model)];
    record.goodSum = record.goodSum * this->options.decayPerRating + (rating >= threshold ? 1 : 0);
    record.ratedSum = record.ratedSum * this->options.decayPerRating + 1;
    record.lastUse = ++this->useCounter;
    this->absentAverage -= AbsentSmoothing * this->absentAverage;
    if (this->records.size() <= this->options.maxRecords) {
        return;
    }
    this->records.erase(std::min_element(this->records.begin(), this->records.end(), [](const auto &a, const auto &b) {
        return a.second.lastUse < b.second.lastUse;
    }));
}

void CascadeHistory::recordAbsentRating(const std::string &organisation, const std::string &kind, const std::string &model)
{
    if (Record *record = this->find(organisation, kind, model)) {
        record->lastUse = ++this->useCounter;
    }
    this->absentAverage += AbsentSmoothing * (1 - this->absentAverage);
}

double CascadeHistory::goodShare(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const Record *record = this->find(organisation, kind, model);
    const double goodSum = record == nullptr ? 0 : record->goodSum;
    const double ratedSum = record == nullptr ? 0 : record->ratedSum;
    return (goodSum + this->options.priorGoodShare * this->options.priorRatings) / (ratedSum + this->options.priorRatings);
}

double CascadeHistory::ratingCount(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const Record *record = this->find(organisation, kind, model);
    return record == nullptr ? 0 : record->ratedSum;
}

double CascadeHistory::absentRatingShare() const
{
    return this->absentAverage;
}

void CascadeHistory::recordReferenceRating(double rating, double threshold)
{
    if (!std::isfinite(rating)) {
        return;
    }
    this->referenceLow = this->referenceLow * ReferenceDecay + (rating < threshold ? 1 : 0);
    this->referenceRated = this->referenceRated * ReferenceDecay + 1;
}

double CascadeHistory::ratingErrorRate() const
{
    const double errorRate = (this->referenceLow + MinErrorRate * ReferencePriorRatings) / (this->referenceRated + ReferencePriorRatings);
    return std::clamp(errorRate, MinErrorRate, MaxErrorRate);
}

const CascadeHistoryOptions &CascadeHistory::settings() const
{
    return this->options;
}

CascadeDecision decideCascadeStep(const CascadeProgress &progress, const CascadeHistory &history, double draw)
{
    if (!progress.answered) {
        return chooseFirstTier(progress, history, draw);
    }
    const std::size_t tier = *progress.answered;
    const double goodShare = goodShareOf(progress, history, tier);
    CascadeDecision deliver{.action = CascadeAction::Deliver, .tier = tier, .goodShare = goodShare};
    const std::optional<std::size_t> nextTier = nextAvailable(progress, tier + 1);
    if (!nextTier) {
        deliver.reason = "last-tier";
        return deliver;
    }
    if (progress.tiers[*nextTier].expectedMs > progress.deadlineLeftMs) {
        deliver.reason = "deadline-near";
        return deliver;
    }
    const CascadeDecision escalate{.action = CascadeAction::Run, .tier = *nextTier, .goodShare = goodShare};
    if (progress.ratingState == RatingState::Arrived) {
        const bool isRatedGood = progress.rating >= progress.ratingThreshold;
        const bool hasEnoughRatings = history.ratingCount(progress.organisation, progress.kind, progress.tiers[tier].model) >= MinRatings;
        const double chance = posteriorGood(goodShare, isRatedGood, history.ratingErrorRate());
        if (isRatedGood && (!hasEnoughRatings || chance >= progress.qualityTarget * MinQualityFraction)) {
            deliver.reason = "rating-good";
            return deliver;
        }
        if (!isRatedGood && hasEnoughRatings && chance >= progress.qualityTarget * MinQualityFraction) {
            deliver.reason = "rating-low-but-usually-good";
            return deliver;
        }
        CascadeDecision escalateRated = escalate;
        escalateRated.reason = isRatedGood ? "rating-good-but-seldom-right" : "rating-low";
        return escalateRated;
    }
    const bool waitedEnough = progress.ratingState == RatingState::Absent || progress.ratingWaitedMs >= progress.ratingTimeoutMs;
    const bool isTooLateToWait = progress.ratingWaitedMs + progress.tiers[*nextTier].expectedMs > progress.deadlineLeftMs;
    if (!waitedEnough && !isTooLateToWait) {
        CascadeDecision awaitRating = deliver;
        awaitRating.action = CascadeAction::AwaitRating;
        awaitRating.reason = "rating-awaited";
        return awaitRating;
    }
    if (goodShare >= progress.qualityTarget) {
        deliver.reason = "rating-absent-usually-good";
        return deliver;
    }
    CascadeDecision escalateUnrated = escalate;
    escalateUnrated.reason = "rating-absent";
    return escalateUnrated;
}

std::string requestKind(const std::string &label, Wire::Priority priority, double promptTokens)
{
    if (!label.empty()) {
        return label.substr(0, MaxLabelBytes);
    }
    const std::string use = priority == Wire::PRIORITY_DRAFT ? "draft" : "chat";
    if (promptTokens < 300) {
        return use + "-short";
    }
    return use + (promptTokens < 2000 ? "-medium" : "-long");
}

} // namespace Apricothead
