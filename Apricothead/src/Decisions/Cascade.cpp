#include "Cascade.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

constexpr double AbsentWeight = 0.03;
/** From this share of absent ratings on, an unknown kind is not tried on a tier that nobody would judge. */
constexpr double AbsentLimit = 0.5;
/** A tier with fewer ratings than this is still being tried out. */
constexpr double LeastRatings = 4;
constexpr double ReferenceForgetting = 0.995;
constexpr double ReferencePrior = 5;
constexpr double LeastNoise = 0.02;
constexpr double MostNoise = 0.35;
/** An answer is not delivered when the chance that it is good, given its rating, is below this part of the target. */
constexpr double AcceptPart = 0.9;
/** Bytes of a caller's label that are kept. */
constexpr std::size_t LabelLimit = 40;

std::string recordKey(const std::string &organisation, const std::string &kind, const std::string &model)
{
    return organisation + '\n' + kind + '\n' + model;
}

std::optional<std::size_t> nextAvailable(const CascadeView &view, std::size_t from)
{
    for (std::size_t tier = from; tier < view.tiers.size(); ++tier) {
        if (view.tiers[tier].available) {
            return tier;
        }
    }
    return std::nullopt;
}

double goodShareOf(const CascadeView &view, const CascadeMemory &memory, std::size_t tier)
{
    return memory.goodShare(view.organisation, view.kind, view.tiers[tier].model);
}

/** \returns the share of good answers behind a share of good ratings that err with the chance \a noise */
double withoutNoise(double ratedGood, double noise)
{
    return std::clamp((ratedGood - noise) / (1 - 2 * noise), 0.01, 0.99);
}

/** \returns the chance that an answer is good, given its rating and the share of good ratings of its kind */
double chanceGood(double usual, bool ratedGood, double noise)
{
    const double good = withoutNoise(usual, noise);
    const double ifGood = ratedGood ? 1 - noise : noise;
    const double ifBad = ratedGood ? noise : 1 - noise;
    return good * ifGood / (good * ifGood + (1 - good) * ifBad);
}

CascadeDecision firstTier(const CascadeView &view, const CascadeMemory &memory, double draw)
{
    const std::optional<std::size_t> cheap = nextAvailable(view, 0);
    if (!cheap) {
        return {.action = CascadeAction::Refuse, .reason = "no-tier-available"};
    }
    CascadeDecision decision{.action = CascadeAction::Run, .tier = *cheap, .reason = "cheap-first"};
    for (std::optional<std::size_t> tier = cheap; tier; tier = nextAvailable(view, *tier + 1)) {
        const std::optional<std::size_t> dearer = nextAvailable(view, *tier + 1);
        decision.tier = *tier;
        decision.goodShare = goodShareOf(view, memory, *tier);
        if (!dearer) {
            decision.reason = tier == cheap ? "only-tier" : decision.reason;
            return decision;
        }
        const CascadeTier &here = view.tiers[*tier];
        const double ratings = memory.ratings(view.organisation, view.kind, here.model);
        const bool unjudged = memory.absentShare() > AbsentLimit && decision.goodShare < view.qualityTarget;
        const bool inTime = here.expectedMs + view.tiers[*dearer].expectedMs <= view.deadlineLeftMs;
        // Trying costs here.cost and saves the dearer run as often as the answer will do.
        const double worth = here.cost / std::max(1e-9, view.tiers[*dearer].cost);
        const bool acceptable = chanceGood(decision.goodShare, true, memory.ratingNoise()) >= view.qualityTarget * AcceptPart;
        const bool worthTrying = ratings < LeastRatings || (decision.goodShare > worth && acceptable);
        if (worthTrying && !unjudged && (inTime || decision.goodShare >= view.qualityTarget)) {
            return decision;
        }
        if (!unjudged && inTime && draw * memory.settings().exploreEvery < 1) {
            decision.reason = "explore";
            return decision;
        }
        decision.reason = unjudged ? "rating-absent-lately" : !worthTrying ? "cheap-not-worth-trying" : "deadline-near";
    }
    return decision;
}

} // namespace

CascadeMemory::CascadeMemory(CascadeMemoryOptions bounds) : options(bounds)
{ }

CascadeMemory::Record *CascadeMemory::find(const std::string &organisation, const std::string &kind, const std::string &model)
{
    const auto found = this->records.find(recordKey(organisation, kind, model));
    return found == this->records.end() ? nullptr : &found->second;
}

const CascadeMemory::Record *CascadeMemory::find(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const auto found = this->records.find(recordKey(organisation, kind, model));
    return found == this->records.end() ? nullptr : &found->second;
}

void CascadeMemory::noteRating(const std::string &organisation, const std::string &kind, const std::string &model, double rating, double threshold)
{
    if (!std::isfinite(rating)) {
        return;
    }
    Record &record = this->records[recordKey(organisation, kind, model)];
    record.good = record.good * this->options.forgetting + (rating >= threshold ? 1 : 0);
    record.rated = record.rated * this->options.forgetting + 1;
    record.used = ++this->uses;
    this->absent -= AbsentWeight * this->absent;
    if (this->records.size() <= this->options.kinds) {
        return;
    }
    this->records.erase(std::min_element(this->records.begin(), this->records.end(), [](const auto &a, const auto &b) {
        return a.second.used < b.second.used;
    }));
}

void CascadeMemory::noteAbsent(const std::string &organisation, const std::string &kind, const std::string &model)
{
    if (Record *record = this->find(organisation, kind, model)) {
        record->used = ++this->uses;
    }
    this->absent += AbsentWeight * (1 - this->absent);
}

double CascadeMemory::goodShare(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const Record *record = this->find(organisation, kind, model);
    const double good = record == nullptr ? 0 : record->good;
    const double rated = record == nullptr ? 0 : record->rated;
    return (good + this->options.priorGood * this->options.priorRatings) / (rated + this->options.priorRatings);
}

double CascadeMemory::ratings(const std::string &organisation, const std::string &kind, const std::string &model) const
{
    const Record *record = this->find(organisation, kind, model);
    return record == nullptr ? 0 : record->rated;
}

double CascadeMemory::absentShare() const
{
    return this->absent;
}

void CascadeMemory::noteReference(double rating, double threshold)
{
    if (!std::isfinite(rating)) {
        return;
    }
    this->referenceLow = this->referenceLow * ReferenceForgetting + (rating < threshold ? 1 : 0);
    this->referenceRated = this->referenceRated * ReferenceForgetting + 1;
}

double CascadeMemory::ratingNoise() const
{
    const double share = (this->referenceLow + LeastNoise * ReferencePrior) / (this->referenceRated + ReferencePrior);
    return std::clamp(share, LeastNoise, MostNoise);
}

const CascadeMemoryOptions &CascadeMemory::settings() const
{
    return this->options;
}

CascadeDecision decideCascadeStep(const CascadeView &view, const CascadeMemory &memory, double draw)
{
    if (!view.answered) {
        return firstTier(view, memory, draw);
    }
    const std::size_t tier = *view.answered;
    const double usual = goodShareOf(view, memory, tier);
    CascadeDecision deliver{.action = CascadeAction::Deliver, .tier = tier, .goodShare = usual};
    const std::optional<std::size_t> dearer = nextAvailable(view, tier + 1);
    if (!dearer) {
        deliver.reason = "last-tier";
        return deliver;
    }
    if (view.tiers[*dearer].expectedMs > view.deadlineLeftMs) {
        deliver.reason = "deadline-near";
        return deliver;
    }
    const CascadeDecision goDearer{.action = CascadeAction::Run, .tier = *dearer, .goodShare = usual};
    if (view.ratingState == RatingState::Arrived) {
        const bool ratedGood = view.rating >= view.ratingThreshold;
        const bool known = memory.ratings(view.organisation, view.kind, view.tiers[tier].model) >= LeastRatings;
        const double chance = chanceGood(usual, ratedGood, memory.ratingNoise());
        if (ratedGood && (!known || chance >= view.qualityTarget * AcceptPart)) {
            deliver.reason = "rating-good";
            return deliver;
        }
        if (!ratedGood && known && chance >= view.qualityTarget * AcceptPart) {
            deliver.reason = "rating-low-but-usually-good";
            return deliver;
        }
        CascadeDecision low = goDearer;
        low.reason = ratedGood ? "rating-good-but-seldom-right" : "rating-low";
        return low;
    }
    const bool waitedEnough = view.ratingState == RatingState::Absent || view.ratingWaitedMs >= view.ratingTimeoutMs;
    const bool noTimeToWait = view.ratingWaitedMs + view.tiers[*dearer].expectedMs > view.deadlineLeftMs;
    if (!waitedEnough && !noTimeToWait) {
        CascadeDecision wait = deliver;
        wait.action = CascadeAction::AwaitRating;
        wait.reason = "rating-awaited";
        return wait;
    }
    if (usual >= view.qualityTarget) {
        deliver.reason = "rating-absent-usually-good";
        return deliver;
    }
    CascadeDecision unrated = goDearer;
    unrated.reason = "rating-absent";
    return unrated;
}

std::string requestKind(const std::string &label, Wire::Priority priority, double promptTokens)
{
    if (!label.empty()) {
        return label.substr(0, LabelLimit);
    }
    const std::string use = priority == Wire::PRIORITY_DRAFT ? "draft" : "chat";
    if (promptTokens < 300) {
        return use + "-short";
    }
    return use + (promptTokens < 2000 ? "-medium" : "-long");
}

} // namespace Apricothead
