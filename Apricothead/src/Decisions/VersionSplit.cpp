#include "VersionSplit.h"

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::uint64_t AllPermille = 1000;
/** Above this share sessions of the former version move, too: their time is over then. */
constexpr std::uint64_t CanaryPermille = 200;

} // namespace

VersionSplit::VersionSplit(std::uint64_t session) : sessionMs(session)
{ }

void VersionSplit::setState(const Wire::ServingState &state, std::uint64_t nowMs)
{
    std::map<std::uint64_t, std::uint64_t> since;
    this->rollouts.clear();
    for (const Wire::ServiceRollout &rollout : state.rollouts()) {
        this->rollouts[rollout.service()] = rollout;
        if (rollout.share_permille() > 0) {
            const auto former = this->sharedSinceMs.find(rollout.order());
            since.emplace(rollout.order(), former == this->sharedSinceMs.end() ? nowMs : former->second);
        }
    }
    this->sharedSinceMs = std::move(since);
}

VersionRule VersionSplit::rule(const std::string &service, const std::string &session, std::uint64_t draw, std::uint64_t nowMs)
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        return {};
    }
    const Wire::ServiceRollout &rollout = found->second;
    VersionRule rule{.target = rollout.target()};
    if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK) {
        rule.mayFallBack = false;
        return rule;
    }
    if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_COMPLETED) {
        rule.wantsTarget = true;
        return rule;
    }
    rule.wantsTarget = draw % AllPermille < rollout.share_permille();
    // The target is not trusted yet: only its share goes there.
    rule.mayFallBack = rule.wantsTarget;
    const auto pin = this->pins.find({service, session});
    const bool isPinned = !session.empty() && pin != this->pins.end() && nowMs - pin->second.usedMs <= this->sessionMs;
    const auto since = this->sharedSinceMs.find(rollout.order());
    const bool isYoung = since == this->sharedSinceMs.end() || nowMs - since->second < this->sessionMs;
    const bool mayBeElsewhere = !session.empty() && !isPinned && isYoung;
    if (isPinned && pin->second.version == rollout.target()) {
        rule.wantsTarget = true;
    } else if ((isPinned || mayBeElsewhere) && rollout.share_permille() <= CanaryPermille) {
        rule.wantsTarget = false;
        rule.mayFallBack = false;
    }
    return rule;
}

void VersionSplit::note(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs)
{
    if (session.empty()) {
        return;
    }
    this->pins[{service, session}] = {.version = version, .usedMs = nowMs};
    this->forgetOld(nowMs);
}

void VersionSplit::forgetOld(std::uint64_t nowMs)
{
    if (nowMs - this->sweptMs < this->sessionMs) {
        return;
    }
    this->sweptMs = nowMs;
    std::erase_if(this->pins, [this, nowMs](const auto &pin) {
        return nowMs - pin.second.usedMs > 2 * this->sessionMs;
    });
}

} // namespace Apricothead
