#include "ServiceRolloutDriver.h"

#include "../../Transport/WallClock.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** A proposal is committed well within this time unless the leader is deposed. */
constexpr std::uint64_t ReproposeIntervalMs = 500;

/** \returns the age of a roll-out for a leader that did not see its start; from the wall clock, which may be off, so clamped to the duration */
std::uint64_t ageMs(const Wire::ServiceRollout &rollout)
{
    const std::int64_t age = wallClockMs() - rollout.started_ms();
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, static_cast<std::int64_t>(rollout.duration_ms())));
}

/** \returns \a counts without the paces of earlier targets, which are neither the target of \a rollout nor a measure for it */
std::vector<Wire::VersionCount> comparableCounts(const Wire::ServiceRollout &rollout, const Wire::ServingState &state, std::vector<Wire::VersionCount> counts)
{
    for (Wire::VersionCount &count : counts) {
        const bool isEarlierTarget = std::ranges::any_of(state.versions(), [&count](const Wire::RememberedVersion &version) {
            return version.service() == count.service() && version.version() == count.version();
        });
        if (isEarlierTarget && count.version() != rollout.target()) {
            count.clear_paces();
        }
    }
    return counts;
}

} // namespace

std::vector<Wire::SetServiceRollout> ServiceRolloutDriver::due(const Wire::ServingState &state, const std::vector<GatewayCounts> &counts, std::uint64_t nowMs)
{
    std::vector<Wire::SetServiceRollout> changes;
    for (const Wire::ServiceRollout &rollout : state.rollouts()) {
        if (rollout.state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            this->activeRollouts.erase(rollout.service());
            continue;
        }
        ActiveRollout &known = this->activeRollouts[rollout.service()];
        if (known.order != rollout.order()) {
            known = ActiveRollout{.order = rollout.order(), .startedMs = nowMs - std::min(nowMs, ageMs(rollout))};
        }
        for (const GatewayCounts &gateway : counts) {
            known.evaluator.recordCounts(gateway.process, comparableCounts(rollout, state, gateway.versions));
        }
        if (nowMs - known.lastProposedMs < ReproposeIntervalMs) {
            continue;
        }
        Wire::SetServiceRollout change = known.evaluator.decide(rollout, nowMs - known.startedMs);
        if (change.state() == Wire::SERVICE_ROLLOUT_STATE_UNSPECIFIED) {
            continue;
        }
        known.lastProposedMs = nowMs;
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace Apricothead
