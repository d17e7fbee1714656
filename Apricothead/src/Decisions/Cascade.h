#pragma once

#include "../Protocol/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class CascadeTier
 * \ingroup Decisions_Module
 * \brief One model of a cascade, cheapest first.
 */
struct CascadeTier {
    std::string model;
    /** Expected cost of the request there, in any one unit. */
    double cost = 0;
    double expectedMs = 0;
    /** False when no endpoint serves it now. */
    bool available = true;

    bool operator==(const CascadeTier &) const = default;
};

/** \enum RatingState
 * \ingroup Decisions_Module
 * \brief What is known of the rating of the newest answer.
 */
enum class RatingState {
    Awaited,
    Arrived,
    /** It did not come within the cascade's time, or the service is not there. */
    Absent,
};

/** \class CascadeHistoryOptions
 * \ingroup Decisions_Module
 * \brief How a CascadeHistory learns.
 */
struct CascadeHistoryOptions {
    /** What is known before the first rating: this share good, worth this many ratings. */
    double priorGoodShare = 0.6;
    double priorRatings = 3;
    /** Ratings are forgotten by this much with each further one, so that a change is learned anew. */
    double decayPerRating = 0.985;
    /** One request in this many tries the cheap tier although it is thought not worth trying. */
    double explorationInterval = 50;
    /** Pairs of organisation and kind that are remembered; the one used least recently goes first. */
    std::size_t maxRecords = 5000;
};

/** \class CascadeHistory
 * \ingroup Decisions_Module
 * \brief Learns for each organisation and kind of request how often a tier's answer is good enough.
 */
class CascadeHistory
{
public:
    explicit CascadeHistory(CascadeHistoryOptions options = {});

    /** A rating arrived, also one that came too late for its request. */
    void recordRating(const std::string &organisation, const std::string &kind, const std::string &model, double rating, double threshold);
    /** A rating of a last tier's answer arrived. Such answers are nearly all good, so their low ratings show how often ratings err. */
    void recordReferenceRating(double rating, double threshold);
    void recordAbsentRating(const std::string &organisation, const std::string &kind, const std::string &model);

    /** \returns the estimated chance that the tier's answer is good enough, 0 to 1 */
    double goodShare(const std::string &organisation, const std::string &kind, const std::string &model) const;
    /** \returns how many ratings the estimate rests on, older ones discounted */
    double ratingCount(const std::string &organisation, const std::string &kind, const std::string &model) const;
    /** \returns the share of lately awaited ratings that did not come, over all organisations */
    double absentRatingShare() const;
    /** \returns the chance that a rating is on the wrong side of the threshold, from the ratings of last tiers */
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
 * \brief One request's way through a cascade so far.
 */
struct CascadeProgress {
    std::string organisation;
    std::string kind;
    std::vector<CascadeTier> tiers;
    double ratingThreshold = 0.7;
    /** Tier whose answer is there whole; none before the first run. */
    std::optional<std::size_t> answered;
    RatingState ratingState = RatingState::Awaited;
    double rating = 0;
    /** Waited for the rating so far, and the bound of the cascade. */
    double ratingWaitedMs = 0;
    double ratingTimeoutMs = 2000;
    double deadlineLeftMs = 1e9;
    /** Share of answers that must be good. */
    double qualityTarget = 0.9;
};

/** \enum CascadeAction
 * \ingroup Decisions_Module
 * \brief What comes next in a cascade.
 */
enum class CascadeAction {
    Run,
    AwaitRating,
    /** Give the newest answer to the caller. */
    Deliver,
    /** No tier may run the request. */
    Refuse,
};

/** \class CascadeDecision
 * \ingroup Decisions_Module
 * \brief The next action, with the tier to run.
 */
struct CascadeDecision {
    CascadeAction action = CascadeAction::Refuse;
    std::size_t tier = 0;
    /** \c cheap-first, \c cheap-not-worth-trying, \c explore, \c rating-absent-lately, \c only-tier, \c rating-good, \c rating-low,
     * \c rating-low-but-usually-good, \c rating-good-but-seldom-right, \c rating-absent, \c rating-absent-usually-good, \c rating-awaited, \c last-tier, \c
     * deadline-near, \c no-tier-available.
     */
    std::string reason;
    double goodShare = 0;

    bool operator==(const CascadeDecision &) const = default;
};

/** \returns what to do next: where to start, then whether to deliver, wait or go dearer. \a draw is uniform in [0, 1) */
CascadeDecision decideCascadeStep(const CascadeProgress &progress, const CascadeHistory &history, double draw);

/** \returns a coarse kind of request for CascadeHistory: the caller's own label when it gave one, else by priority and size of the prompt */
std::string requestKind(const std::string &label, Wire::Priority priority, double promptTokens);

} // namespace Apricothead
