#pragma once

#include "../Protocol/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class CascadeTier
 * \ingroup Decisions_Module
 * \brief One model of a cascade. The tiers of a cascade are ordered by cost, the cheapest first.
 */
struct CascadeTier {
    std::string model;
    /** Expected cost of the request at this tier, in the same unit for all tiers. */
    double cost = 0;
    /** Expected duration of a run at this tier. */
    double expectedMs = 0;
    /** False when no endpoint currently serves the model. */
    bool available = true;

    bool operator==(const CascadeTier &) const = default;
};

/** \enum RatingState
 * \ingroup Decisions_Module
 * \brief State of the rating of the latest answer.
 */
enum class RatingState {
    Awaited,
    Arrived,
    /** No rating arrived within the cascade's time-out, or the rating service is unavailable. */
    Absent,
};

/** \class CascadeHistoryOptions
 * \ingroup Decisions_Module
 * \brief Options of the estimates of a CascadeHistory.
 */
struct CascadeHistoryOptions {
    /** Prior of the estimate: this share of good answers, with the weight of priorRatings ratings. */
    double priorGoodShare = 0.6;
    double priorRatings = 3;
    /** Factor by which older ratings are discounted with each new one, so that the estimate follows changes. */
    double decayPerRating = 0.985;
    /** One request in this many is run at a cheaper tier although the estimate says that it is not worth trying. */
    double explorationInterval = 50;
    /** Records (one for each organisation, kind and model) that are kept; the least recently used one is evicted first. */
    std::size_t maxRecords = 5000;
};

/** \class CascadeHistory
 * \ingroup Decisions_Module
 * \brief Estimates, for each organisation, kind of request and model, how often the model's answer is good enough.
 */
class CascadeHistory
{
public:
    explicit CascadeHistory(CascadeHistoryOptions options = {});

    /** Records a rating, including one that arrived too late for its request. A rating that is not finite is ignored. */
    void recordRating(const std::string &organisation, const std::string &kind, const std::string &model, double rating, double threshold);
    /** Records a rating of an answer of a last tier. Nearly all such answers are good, so their low ratings show how often ratings are wrong. */
    void recordReferenceRating(double rating, double threshold);
    /** Records that no rating arrived in time. */
    void recordAbsentRating(const std::string &organisation, const std::string &kind, const std::string &model);

    /** \returns the estimated share of the model's answers that are rated good enough, 0 to 1 */
    double goodShare(const std::string &organisation, const std::string &kind, const std::string &model) const;
    /** \returns the number of ratings that the estimate is based on, older ones discounted */
    double ratingCount(const std::string &organisation, const std::string &kind, const std::string &model) const;
    /** \returns the share of recently expected ratings that did not arrive, over all organisations */
    double absentRatingShare() const;
    /** \returns the estimated probability that a rating is on the wrong side of the threshold, from the ratings of last tiers */
    double ratingErrorRate() const;

    const CascadeHistoryOptions &settings() const;

private:
    struct Record {
        double goodSum = 0;
        double ratedSum = 0;
        std::uint64_t lastUse = 0;
    };

    Record *find(const std::string &organisation, const std::string &kind, const std::string &model);
    const Record *find(const std::string &organisation, const std::string &kind, const std::string &model) const;

    CascadeHistoryOptions options;
    std::map<std::string, Record> records;
    std::uint64_t useCounter = 0;
    double absentAverage = 0;
    double referenceLow = 0;
    double referenceRated = 0;
};

/** \class CascadeProgress
 * \ingroup Decisions_Module
 * \brief Progress of one request through a cascade.
 */
struct CascadeProgress {
    std::string organisation;
    std::string kind;
    std::vector<CascadeTier> tiers;
    /** A rating of at least this counts as good. */
    double ratingThreshold = 0.7;
    /** Tier whose complete answer is available; none before the first run. */
    std::optional<std::size_t> answered;
    RatingState ratingState = RatingState::Awaited;
    double rating = 0;
    /** Time spent waiting for the rating so far, and the cascade's time-out for it. */
    double ratingWaitedMs = 0;
    double ratingTimeoutMs = 2000;
    double deadlineLeftMs = 1e9;
    /** Share of answers that must be good, 0 to 1. */
    double qualityTarget = 0.9;
};

/** \enum CascadeAction
 * \ingroup Decisions_Module
 * \brief The next action for a request in a cascade.
 */
enum class CascadeAction {
    Run,
    AwaitRating,
    /** Deliver the latest answer to the caller. */
    Deliver,
    /** No tier can run the request. */
    Refuse,
};

/** \class CascadeDecision
 * \ingroup Decisions_Module
 * \brief The next action, with the tier to run.
 */
struct CascadeDecision {
    CascadeAction action = CascadeAction::Refuse;
    std::size_t tier = 0;
    /** One of \c cheap-first, \c cheap-not-worth-trying, \c explore, \c rating-absent-lately, \c only-tier, \c rating-good, \c rating-low,
     * \c rating-low-but-usually-good, \c rating-good-but-seldom-right, \c rating-absent, \c rating-absent-usually-good, \c rating-awaited, \c last-tier, \c
     * deadline-near, \c no-tier-available.
     */
    std::string reason;
    double goodShare = 0;

    bool operator==(const CascadeDecision &) const = default;
};

/** \returns the next action: which tier to start with, then whether to deliver the answer, wait for its rating or run the next
 * tier. \a draw: a random number, uniform in [0, 1) */
CascadeDecision decideCascadeStep(const CascadeProgress &progress, const CascadeHistory &history, double draw);

/** \returns the kind of a request for CascadeHistory: the caller's \a label if there is one, else a class by priority and prompt size */
std::string requestKind(const std::string &label, Wire::Priority priority, double promptTokens);

} // namespace Apricothead
