#pragma once

#include "PaceCounts.h"
#include "VersionRoute.h"

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ServiceRolloutOptions
 * \ingroup Decisions_Module
 * \brief Options of a ServiceRolloutEvaluator, which moves a service to another version within the duration that the operator set.
 */
struct ServiceRolloutOptions {
    /** Maximum share of the requests that the canary gets: two thirds of the exposure that operators usually allow (15%). */
    unsigned maxCanaryPermille = 100;
    /** With many gateways a smaller share gives enough answers: this divided by the number of gateways, clamped to the minimum and maximum. */
    unsigned totalCanaryPermille = 600;
    unsigned minCanaryPermille = 30;
    /** Fraction of the duration during which the share stays at that of the canary. Sessions are guaranteed half of the duration; the
     * rest is a margin for clock drift. */
    double canaryFraction = 0.54;
    /** The share reaches 100% within this fraction of the duration; in-flight requests of the previous version complete in the rest. */
    double fullFraction = 0.72;
    /** A roll-out is completed at the latest this long before the end of its duration, even if the previous version still has open requests. */
    std::uint64_t completionMarginMs = 1200;
    /** Answers of the new version that are required before the canary's share is increased. */
    std::uint64_t minAnswers = 15;
    /** Further answers that are required at each greater share before the next one. */
    std::uint64_t minStepAnswers = 6;
    /** Minimum number of failed answers that rolls back a version: two can be chance. */
    std::uint64_t minFailed = 3;
    /** A version is rolled back when its share of failed answers exceeds that of the previous version by more than this; bad versions
     * fail far more often. */
    double maxFailedExcess = 0.12;
    /** A version is slow when its mean time to an answer exceeds this many times that of the previous version; bad versions take about 8 times. */
    double slowFactor = 3.0;
    /** Minimum number of answers for comparing mean times: of the previous version, and those that the new version would have given in its time
     * if it were slower by slowFactor. */
    std::uint64_t minTimed = 6;
    /** The same bounds for all routes together, where the times of more answers vary less. */
    double slowFactorOfAllRoutes = 2.0;
    std::uint64_t minTimedOfAllRoutes = 20;
    /** Streams of the previous version that make the pace of a model known. */
    std::uint64_t minPacedStreams = 30;
    /** A stream is slow from this many classes of PaceCounts above the lower quartile of the previous version on: at least 1.19 times as slow. */
    std::size_t slowPaceClasses = 3;
    /** Share of a sound version's streams that may be slow. Load slows the streams of busy engines; a slow version those of idle ones as well. */
    double soundSlowShare = 0.6;
    /** Share of slow streams that a slow version is taken to have. */
    double slowVersionShare = 0.95;
    /** Logarithm of the likelihood ratio of the second to the first that rolls back a version. */
    double minSlowStreamEvidence = 6.9;
};

/** \class RolloutCounts
 * \ingroup Decisions_Module
 * \brief Counts of one version on one route.
 */
struct RolloutCounts {
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
    std::uint64_t open = 0;
    double timeSumMs = 0;
    /** \sa VersionCounts */
    double waitingSumMs = 0;
    /** By model. */
    std::map<std::string, PaceCounts> paces;

    bool operator==(const RolloutCounts &) const = default;
};

/** \class ServiceRolloutEvaluator
 * \ingroup Decisions_Module
 * \brief Decides the next step of a service's roll-out from the counters of the gateways.
 *
 * Designed for versions that are bad on a single route or only under load: the canary gets its share on all routes at once and is
 * evaluated route by route, and then the share grows in a few steps while the evaluation continues. A gateway that restarts counts
 * from zero.
 *
 * Times are compared by the time spent on a version for each of its answers, waits without an answer included. A version that is slow on some of
 * its requests is therefore found before those are answered, and also when they are given up and answered elsewhere. From the first event on, streams
 * of one model are compared by their pace.
 */
class ServiceRolloutEvaluator
{
public:
    ServiceRolloutEvaluator() = default;
    explicit ServiceRolloutEvaluator(ServiceRolloutOptions options);

    /** Adds the counters of one gateway, which never decrease while it runs. */
    void recordCounts(const std::string &gateway, const std::vector<Wire::VersionCount> &versions);

    /** \a elapsedMs: time since the roll-out was ordered. \returns the change to propose, with its reason as evidence; with the state
     * unspecified when there is none. Called at each change of the share, as answers are counted from there. */
    Wire::SetServiceRollout decide(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs);

private:
    std::string findFault(const Wire::ServiceRollout &rollout) const;
    std::string findSlowStreams(const RolloutCounts &target, const RolloutCounts &previous) const;
    RolloutCounts sumCounts(const std::string &service, const std::string &target, bool isTarget, const std::string *route) const;
    unsigned canaryShare() const;
    /** \returns the share that the schedule allows by now */
    unsigned scheduledShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs) const;
    /** \returns the share to give the new version, which has given \a answers so far: the present one or the next */
    unsigned nextShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs, std::uint64_t answers) const;

    ServiceRolloutOptions options;
    /** The share seen last, and the answers of the new version before it. */
    unsigned lastShare = 0;
    std::uint64_t answersBeforeShare = 0;
    std::map<std::string, std::map<VersionRoute, Wire::VersionCount>> lastCounts;
    std::map<VersionRoute, RolloutCounts> totals;
};

} // namespace Apricothead
