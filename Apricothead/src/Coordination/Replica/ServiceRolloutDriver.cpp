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

/** \returns the counters that say something on \a rollout: targets of other orders are neither its target nor the former version */
std::vector<Wire::VersionCount> countsFor(const Wire::ServiceRollout &rollout, const Wire::ServingState &state, const std::vector<Wire::VersionCount> &counts)
{
    std::vector<Wire::VersionCount> kept = counts;
    std::erase_if(kept, [&rollout, &state](const Wire::VersionCount &count) {
        const bool isOfEarlierOrder = count.version() == rollout.target() && count.order() != 0 && count.order() != rollout.order();
        return isOfEarlierOrder || std::ranges::any_of(state.versions(), [&count](const Wire::RememberedVersion &version) {
                   return version.service() == count.service() && version.version() == count.version();
               });
    });
    return kept;
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
            known.evaluator.recordCounts(gateway.process, countsFor(rollout, state, gateway.versions));
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
