#include "ServiceRolloutEvaluator.h"

#include "SequentialTest.h"

#include <algorithm>
#include <set>

namespace Apricothead {
namespace {

constexpr unsigned FullPermille = 1000;
/** Steps between the canary's share and 100%; the new version is evaluated at each. */
constexpr unsigned FirstGrowthPermille = 300;
constexpr unsigned SecondGrowthPermille = 600;

/** \returns the increase of a monotonic counter; a lower value means that its process has restarted */
std::uint64_t counterIncrease(std::uint64_t previous, std::uint64_t current)
{
    return current >= previous ? current - previous : current;
}

/** \returns the time spent for each answer in ms: the maximum-likelihood estimate of the mean time to an answer when some are still awaited */
double meanMs(const RolloutCounts &counts)
{
    return (counts.timeSumMs + counts.waitingSumMs) / static_cast<double>(std::max<std::uint64_t>(1, counts.answers));
}

double failedShare(const RolloutCounts &counts)
{
    return counts.answers == 0 ? 0 : static_cast<double>(counts.failed) / static_cast<double>(counts.answers);
}

/** \returns what a gateway counted of \a model; empty where it counted nothing */
Wire::ModelPaces findPaces(const Wire::VersionCount &count, const std::string &model)
{
    const auto found = std::ranges::find(count.paces(), model, &Wire::ModelPaces::model);
    return found == count.paces().end() ? Wire::ModelPaces() : *found;
}

} // namespace

ServiceRolloutEvaluator::ServiceRolloutEvaluator(ServiceRolloutOptions givenOptions) : options(givenOptions)
{ }

void ServiceRolloutEvaluator::recordCounts(const std::string &gateway, const std::vector<Wire::VersionCount> &versions)
{
    std::map<VersionRoute, Wire::VersionCount> &last = this->lastCounts[gateway];
    for (const Wire::VersionCount &current : versions) {
        const VersionRoute key{.service = current.service(), .version = current.version(), .route = current.route()};
        Wire::VersionCount &previous = last[key];
        const bool restarted = current.answers() < previous.answers();
        RolloutCounts &counts = this->totals[key];
        counts.answers += counterIncrease(previous.answers(), current.answers());
        counts.failed += restarted ? current.failed() : counterIncrease(previous.failed(), current.failed());
        counts.timeSumMs += restarted ? current.time_sum_ms() : current.time_sum_ms() - previous.time_sum_ms();
        for (const Wire::ModelPaces &paces : current.paces()) {
            counts.paces[paces.model()].addIncrease(restarted ? Wire::ModelPaces() : findPaces(previous, paces.model()), paces);
        }
        previous = current;
    }
}

RolloutCounts ServiceRolloutEvaluator::sumCounts(const std::string &service, const std::string &target, bool isTarget, const std::string *route) const
{
    RolloutCounts result;
    for (const auto &[key, counts] : this->totals) {
        if (key.service != service || (key.version == target) != isTarget || (route != nullptr && key.route != *route)) {
            continue;
        }
        result.answers += counts.answers;
        result.failed += counts.failed;
        result.timeSumMs += counts.timeSumMs;
        for (const auto &[model, paces] : counts.paces) {
            result.paces[model] += paces;
        }
    }
    for (const auto &[gateway, counts] : this->lastCounts) {
        for (const auto &[key, count] : counts) {
            if (key.service == service && (key.version == target) == isTarget && (route == nullptr || key.route == *route)) {
                result.open += count.open();
                result.waitingSumMs += count.waiting_sum_ms();
            }
        }
    }
    return result;
}

std::string ServiceRolloutEvaluator::findFault(const Wire::ServiceRollout &rollout) const
{
    std::set<std::string> routes;
    for (const auto &[key, counts] : this->totals) {
        if (key.service == rollout.service() && key.version == rollout.target()) {
            routes.insert(key.route);
        }
    }
    const auto compare = [this](const RolloutCounts &target, const RolloutCounts &previous, double slowFactor, std::uint64_t minTimed) -> std::string {
        const bool fails = target.failed >= this->options.minFailed && failedShare(target) > failedShare(previous) + this->options.maxFailedExcess;
        if (fails) {
            return "failed " + std::to_string(target.failed) + " of " + std::to_string(target.answers);
        }
        const auto expectedAnswers = static_cast<double>(std::max(target.answers, minTimed));
        const bool isSlow = previous.answers >= minTimed && target.timeSumMs + target.waitingSumMs > slowFactor * meanMs(previous) * expectedAnswers;
        if (isSlow) {
            return "took " + std::to_string(static_cast<int>(meanMs(target))) + " ms instead of " + std::to_string(static_cast<int>(meanMs(previous)));
        }
        return {};
    };
    const auto sum = [this, &rollout](bool isTarget, const std::string *route) {
        return this->sumCounts(rollout.service(), rollout.target(), isTarget, route);
    };
    for (const std::string &route : routes) {
        std::string fault = compare(sum(true, &route), sum(false, &route), this->options.slowFactor, this->options.minTimed);
        if (!fault.empty()) {
            return fault.insert(0, "route " + route + ": ");
        }
    }
    const RolloutCounts target = sum(true, nullptr);
    const RolloutCounts previous = sum(false, nullptr);
    std::string fault = compare(target, previous, this->options.slowFactorOfAllRoutes, this->options.minTimedOfAllRoutes);
    return fault.empty() ? this->findSlowStreams(target, previous) : fault;
}

std::string ServiceRolloutEvaluator::findSlowStreams(const RolloutCounts &target, const RolloutCounts &previous) const
{
    IndicatorCounts slow;
    for (const auto &[model, paces] : target.paces) {
        const auto known = previous.paces.find(model);
        if (known == previous.paces.end() || known->second.total() < this->options.minPacedStreams) {
            continue;
        }
        slow.occurrences += static_cast<double>(paces.countFrom(known->second.lowerQuartile() + this->options.slowPaceClasses));
        slow.answers += static_cast<double>(paces.total());
    }
    if (logLikelihoodRatio(slow, this->options.soundSlowShare, this->options.slowVersionShare) < this->options.minSlowStreamEvidence) {
        return {};
    }
    return "slow events in " + std::to_string(static_cast<std::uint64_t>(slow.occurrences)) + " of " + std::to_string(static_cast<std::uint64_t>(slow.answers))
        + " streams";
}

unsigned ServiceRolloutEvaluator::canaryShare() const
{
    const auto gateways = std::max<std::size_t>(1, this->lastCounts.size());
    const auto share = static_cast<unsigned>(this->options.totalCanaryPermille / gateways);
    return std::clamp(share, this->options.minCanaryPermille, this->options.maxCanaryPermille);
}

unsigned ServiceRolloutEvaluator::scheduledShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs) const
{
    const auto duration = static_cast<double>(rollout.duration_ms());
    const double elapsedFraction = duration > 0 ? static_cast<double>(elapsedMs) / duration : 1;
    if (elapsedFraction < this->options.canaryFraction) {
        return this->canaryShare();
    }
    const double growthFraction = (elapsedFraction - this->options.canaryFraction) / (this->options.fullFraction - this->options.canaryFraction);
    if (growthFraction < 0.33) {
        return FirstGrowthPermille;
    }
    return growthFraction < 0.67 ? SecondGrowthPermille : FullPermille;
}

unsigned ServiceRolloutEvaluator::nextShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs, std::uint64_t answers) const
{
    const unsigned share = rollout.share_permille();
    if (share < this->canaryShare()) {
        return this->canaryShare();
    }
    const bool isCanary = share < FirstGrowthPermille;
    const bool hasEvidence = isCanary ? answers >= this->options.minAnswers : answers >= this->answersBeforeShare + this->options.minStepAnswers;
    if (!hasEvidence) {
        return share;
    }
    const unsigned next = isCanary ? FirstGrowthPermille : (share < SecondGrowthPermille ? SecondGrowthPermille : FullPermille);
    return std::min(next, std::max(share, this->scheduledShare(rollout, elapsedMs)));
}

Wire::SetServiceRollout ServiceRolloutEvaluator::decide(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs)
{
    Wire::SetServiceRollout change;
    change.set_service(rollout.service());
    change.set_order(rollout.order());
    const std::string fault = this->findFault(rollout);
    if (!fault.empty()) {
        change.set_state(Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
        change.set_evidence(fault);
        return change;
    }
    const RolloutCounts target = this->sumCounts(rollout.service(), rollout.target(), true, nullptr);
    const RolloutCounts previous = this->sumCounts(rollout.service(), rollout.target(), false, nullptr);
    if (rollout.share_permille() != this->lastShare) {
        this->lastShare = rollout.share_permille();
        this->answersBeforeShare = target.answers;
    }
    const unsigned share = this->nextShare(rollout, elapsedMs, target.answers);
    const std::string evidence = std::to_string(target.answers) + " answers, " + std::to_string(target.failed) + " failed, "
        + std::to_string(static_cast<int>(meanMs(target))) + " ms instead of " + std::to_string(static_cast<int>(meanMs(previous)));
    const bool isFull = rollout.share_permille() == FullPermille;
    const bool isLate = elapsedMs + this->options.completionMarginMs >= rollout.duration_ms();
    if (isFull && (previous.open == 0 || isLate)) {
        change.set_state(Wire::SERVICE_ROLLOUT_STATE_COMPLETED);
        change.set_share_permille(FullPermille);
        change.set_evidence(evidence);
        return change;
    }
    if (share > rollout.share_permille()) {
        change.set_state(Wire::SERVICE_ROLLOUT_STATE_RUNNING);
        change.set_share_permille(share);
        change.set_evidence(evidence);
    }
    return change;
}

} // namespace Apricothead
