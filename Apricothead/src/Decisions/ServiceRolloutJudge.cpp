#include "ServiceRolloutJudge.h"

#include <algorithm>
#include <set>

namespace Apricothead {
namespace {

constexpr unsigned AllPermille = 1000;
/** Steps from the canary's share to all, each under watch. */
constexpr unsigned ThirdPermille = 300;
constexpr unsigned HalfPermille = 600;

/** \returns how far a counter that only grows has grown; one that fell belongs to a process that restarted */
std::uint64_t growth(std::uint64_t former, std::uint64_t latter)
{
    return latter >= former ? latter - former : latter;
}

double meanMs(const RolloutTally &tally)
{
    return tally.answers == 0 ? 0 : tally.timeSumMs / static_cast<double>(tally.answers);
}

double failedShare(const RolloutTally &tally)
{
    return tally.answers == 0 ? 0 : static_cast<double>(tally.failed) / static_cast<double>(tally.answers);
}

} // namespace

ServiceRolloutJudge::ServiceRolloutJudge(ServiceRolloutOptions given) : options(given)
{ }

void ServiceRolloutJudge::count(const std::string &gateway, const std::vector<Wire::VersionCount> &versions)
{
    std::map<Key, Wire::VersionCount> &last = this->lastCounts[gateway];
    for (const Wire::VersionCount &now : versions) {
        const Key key{.service = now.service(), .version = now.version(), .route = now.route()};
        Wire::VersionCount &former = last[key];
        const bool restarted = now.answers() < former.answers();
        RolloutTally &tally = this->tallies[key];
        tally.answers += growth(former.answers(), now.answers());
        tally.failed += restarted ? now.failed() : growth(former.failed(), now.failed());
        tally.timeSumMs += restarted ? now.time_sum_ms() : now.time_sum_ms() - former.time_sum_ms();
        former = now;
    }
}

RolloutTally ServiceRolloutJudge::sum(const std::string &service, const std::string &target, bool isTarget, const std::string *route) const
{
    RolloutTally total;
    for (const auto &[key, tally] : this->tallies) {
        if (key.service != service || (key.version == target) != isTarget || (route != nullptr && key.route != *route)) {
            continue;
        }
        total.answers += tally.answers;
        total.failed += tally.failed;
        total.timeSumMs += tally.timeSumMs;
    }
    for (const auto &[gateway, counts] : this->lastCounts) {
        for (const auto &[key, count] : counts) {
            if (key.service == service && (key.version == target) == isTarget && (route == nullptr || key.route == *route)) {
                total.open += count.open();
            }
        }
    }
    return total;
}

std::string ServiceRolloutJudge::fault(const Wire::ServiceRollout &rollout) const
{
    std::set<std::string> routes;
    for (const auto &[key, tally] : this->tallies) {
        if (key.service == rollout.service() && key.version == rollout.target()) {
            routes.insert(key.route);
        }
    }
    const auto judge = [this](const RolloutTally &target, const RolloutTally &former) -> std::string {
        const bool fails = target.failed >= this->options.leastFailed && failedShare(target) > failedShare(former) + this->options.failedExcess;
        if (fails) {
            return "failed " + std::to_string(target.failed) + " of " + std::to_string(target.answers);
        }
        const bool isSlow = target.answers >= this->options.leastTimed && former.answers >= this->options.leastTimed
            && meanMs(target) > this->options.slowFactor * meanMs(former);
        if (isSlow) {
            return "took " + std::to_string(static_cast<int>(meanMs(target))) + " ms instead of " + std::to_string(static_cast<int>(meanMs(former)));
        }
        return {};
    };
    for (const std::string &route : routes) {
        std::string found = judge(this->sum(rollout.service(), rollout.target(), true, &route), this->sum(rollout.service(), rollout.target(), false, &route));
        if (!found.empty()) {
            return found.insert(0, "route " + route + ": ");
        }
    }
    return judge(this->sum(rollout.service(), rollout.target(), true, nullptr), this->sum(rollout.service(), rollout.target(), false, nullptr));
}

unsigned ServiceRolloutJudge::canaryShare() const
{
    const auto gateways = std::max<std::size_t>(1, this->lastCounts.size());
    const auto share = static_cast<unsigned>(this->options.canaryPermilleGateways / gateways);
    return std::clamp(share, this->options.leastCanaryPermille, this->options.canaryPermille);
}

unsigned ServiceRolloutJudge::wantedShare(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs, std::uint64_t answers) const
{
    const auto duration = static_cast<double>(rollout.duration_ms());
    const double part = duration > 0 ? static_cast<double>(elapsedMs) / duration : 1;
    if (part < this->options.canaryPart || answers < this->options.leastAnswers) {
        return this->canaryShare();
    }
    const double growing = (part - this->options.canaryPart) / (this->options.fullPart - this->options.canaryPart);
    if (growing < 0.33) {
        return ThirdPermille;
    }
    return growing < 0.67 ? HalfPermille : AllPermille;
}

Wire::SetServiceRollout ServiceRolloutJudge::decide(const Wire::ServiceRollout &rollout, std::uint64_t elapsedMs) const
{
    Wire::SetServiceRollout change;
    change.set_service(rollout.service());
    change.set_order(rollout.order());
    const std::string found = this->fault(rollout);
    if (!found.empty()) {
        change.set_state(Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
        change.set_evidence(found);
        return change;
    }
    const RolloutTally target = this->sum(rollout.service(), rollout.target(), true, nullptr);
    const RolloutTally former = this->sum(rollout.service(), rollout.target(), false, nullptr);
    const unsigned share = this->wantedShare(rollout, elapsedMs, target.answers);
    const std::string evidence = std::to_string(target.answers) + " answers, " + std::to_string(target.failed) + " failed";
    const bool isFull = rollout.share_permille() == AllPermille;
    const bool isLate = elapsedMs + this->options.marginMs >= rollout.duration_ms();
    if (isFull && (former.open == 0 || isLate)) {
        change.set_state(Wire::SERVICE_ROLLOUT_STATE_COMPLETED);
        change.set_share_permille(AllPermille);
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
