#include "ServiceRolloutDriver.h"

#include "../../Transport/WallClock.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** A proposal is committed well within this time, or its leader is deposed. */
constexpr std::uint64_t ProposeAgainMs = 500;

/** How long a roll-out runs already, for a leader that did not see its start: by the wall clock, which may be off, so within its bounds. */
std::uint64_t ageMs(const Wire::ServiceRollout &rollout)
{
    const std::int64_t age = wallClockMs() - rollout.started_ms();
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, static_cast<std::int64_t>(rollout.duration_ms())));
}

} // namespace

std::vector<Wire::SetServiceRollout> ServiceRolloutDriver::due(const Wire::ServingState &state, const std::vector<GatewayCounts> &counts, std::uint64_t nowMs)
{
    std::vector<Wire::SetServiceRollout> changes;
    for (const Wire::ServiceRollout &rollout : state.rollouts()) {
        if (rollout.state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            this->running.erase(rollout.service());
            continue;
        }
        Running &known = this->running[rollout.service()];
        if (known.order != rollout.order()) {
            known = Running{.order = rollout.order(), .sinceMs = nowMs - std::min(nowMs, ageMs(rollout))};
        }
        for (const GatewayCounts &gateway : counts) {
            known.judge.recordCounts(gateway.process, gateway.versions);
        }
        if (nowMs - known.proposedMs < ProposeAgainMs) {
            continue;
        }
        Wire::SetServiceRollout change = known.judge.decide(rollout, nowMs - known.sinceMs);
        if (change.state() == Wire::SERVICE_ROLLOUT_STATE_UNSPECIFIED) {
            continue;
        }
        known.proposedMs = nowMs;
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace Apricothead
