#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Apricothead {

/** \class ServiceRolloutOptions
 * \ingroup Decisions_Module
 * \brief How carefully a service is moved to another version within the time that its operator gave.
 */
struct ServiceRolloutOptions {
    /** Share of the requests that judge the new version: two thirds of the exposure that operators usually allow (15%). */
    unsigned maxCanaryPermille = 100;
    /** Many gateways see enough with a smaller share: this, over their number, within the bounds above and below. */
    unsigned totalCanaryPermille = 600;
    unsigned minCanaryPermille = 30;
    /** Part of the time during which the share stays at the canary's: half is promised to sessions, the rest is for drift of clocks. */
    double canaryFraction = 0.54;
    /** The share grows to all within this part of the time; in flight work of the former version ends in what is left. */
    double fullFraction = 0.72;
    /** A roll-out is completed at the latest this long before its end, although the former version still answers. */
    std::uint64_t completionMarginMs = 1200;
    /** Answers of the new version before the share grows. */
    std::uint64_t minAnswers = 15;
    /** Failed answers that can halt a roll-out: two may be chance. */
    std::uint64_t minFailed = 3;
    /** Excess share of failed answers that halts; bad versions fail far more often. */
    double maxFailedExcess = 0.12;
    /** Answers are slow when they take this many times the former version's mean; bad versions take eight times. */
    double slowFactor = 3.0;
    std::uint64_t minTimed = 6;
};

/** \class RolloutCounts
 * \ingroup Decisions_Module
 * \brief What is known of one version on one route.
 */
struct RolloutCounts {
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
    std::uint64_t open = 0;
    double timeSumMs = 0;

    bool operator==(const RolloutCounts &) const = default;
};

/** \class ServiceRolloutEvaluator
 * \ingroup Decisions_Module
 * \brief Decides the next step of a service's roll-out from what the gateways counted.
 *
 * Answers this load: a canary share on all routes at once, judged route by route, since a version may be bad on one only; then growth in a few
 * steps, under watch, since a version may be bad under load only. A gateway that restarts counts anew.
 */
class ServiceRolloutEvaluator
{
public:
    ServiceRolloutEvaluator() = default;
    explicit ServiceRolloutEvaluator(ServiceRolloutOptions options);

    /** Takes the counters of one gateway, which only grow while it runs. */
    void recordCounts(const std::string &gateway, const std::vector<Wire::VersionCount> &versions);

    /** \a elapsedMs: time since the order. \returns the change to make, with its reason as evidence; without a state when there is none */
    Wire::SetServiceRollout decide(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs) const;

private:
    struct Key {
        std::string service;
        std::string version;
        std::string route;
        bool operator<(const Key &other) const
        {
            return std::tie(this->service, this->version, this->route) < std::tie(other.service, other.version, other.route);
        }
    };
    std::string findFault(const Wire::ServiceRollout &rollout) const;
    RolloutCounts sumCounts(const std::string &service, const std::string &target, bool isTarget, const std::string *route) const;
    unsigned canaryShare() const;
    unsigned targetShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs, std::uint64_t answers) const;

    ServiceRolloutOptions options;
    std::map<std::string, std::map<Key, Wire::VersionCount>> lastCounts;
    std::map<Key, RolloutCounts> totals;
};

} // namespace Apricothead
