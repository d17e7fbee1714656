#include "VersionSplit.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::uint64_t AllPermille = 1000;
/** Above this share sessions of the former version move, too: their time is over then. */
constexpr std::uint64_t CanaryPermille = 200;

/** Names a session of a service in messages between gateways. */
std::uint64_t sessionKey(const std::string &service, const std::string &session)
{
    return XXH3_64bits_withSeed(session.data(), session.size(), uniformHash(service));
}

} // namespace

std::uint64_t uniformHash(std::string_view drawn)
{
    return XXH3_64bits(drawn.data(), drawn.size());
}

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
        rule.isFallbackAllowed = false;
        return rule;
    }
    if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_COMPLETED) {
        rule.wantsTarget = true;
        return rule;
    }
    rule.wantsTarget = draw % AllPermille < rollout.share_permille();
    // The target is not trusted yet: only its share goes there.
    rule.isFallbackAllowed = rule.wantsTarget;
    const auto pin = this->pins.find({service, session});
    const bool isPinned = !session.empty() && pin != this->pins.end() && this->isAlive(pin->second, nowMs);
    const auto since = this->sharedSinceMs.find(rollout.order());
    const bool isYoung = since == this->sharedSinceMs.end() || nowMs - since->second < this->sessionMs;
    const bool mayBeElsewhere = !session.empty() && !isPinned && (isYoung || this->isHeldElsewhere(service, session, nowMs));
    if (isPinned && pin->second.version == rollout.target()) {
        rule.wantsTarget = true;
    } else if ((isPinned || mayBeElsewhere) && rollout.share_permille() <= CanaryPermille) {
        rule.wantsTarget = false;
        rule.isFallbackAllowed = false;
    }
    return rule;
}

bool VersionSplit::isAlive(const Pin &pin, std::uint64_t nowMs) const
{
    return pin.open > 0 || nowMs - pin.usedMs <= this->sessionMs;
}

bool VersionSplit::isHeldElsewhere(const std::string &service, const std::string &session, std::uint64_t nowMs) const
{
    const auto held = this->heldElsewhereUntilMs.find(sessionKey(service, session));
    return held != this->heldElsewhereUntilMs.end() && held->second >= nowMs;
}

std::vector<std::uint64_t> VersionSplit::heldSessions(std::uint64_t nowMs) const
{
    std::vector<std::uint64_t> held;
    for (const auto &[name, pin] : this->pins) {
        const auto &[service, session] = name;
        const auto found = this->rollouts.find(service);
        if (found == this->rollouts.end() || found->second.state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            continue;
        }
        const Wire::ServiceRollout &rollout = found->second;
        const bool wouldMove = rollout.share_permille() <= CanaryPermille && uniformHash(session) % AllPermille < rollout.share_permille();
        if (wouldMove && pin.version != rollout.target() && this->isAlive(pin, nowMs)) {
            held.push_back(sessionKey(service, session));
        }
    }
    return held;
}

void VersionSplit::setOtherHeldSessions(const std::vector<std::uint64_t> &sessions, std::uint64_t nowMs)
{
    for (const std::uint64_t session : sessions) {
        this->heldElsewhereUntilMs[session] = nowMs + this->sessionMs;
    }
    this->forgetOld(nowMs);
}

void VersionSplit::recordStart(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs)
{
    if (session.empty()) {
        return;
    }
    Pin &pin = this->pins[{service, session}];
    pin.version = version;
    pin.usedMs = nowMs;
    ++pin.open;
    this->forgetOld(nowMs);
}

void VersionSplit::recordEnd(const std::string &service, const std::string &session, std::uint64_t nowMs)
{
    const auto found = this->pins.find({service, session});
    if (found == this->pins.end()) {
        return;
    }
    found->second.usedMs = nowMs;
    found->second.open -= std::min(found->second.open, 1U);
}

void VersionSplit::forgetOld(std::uint64_t nowMs)
{
    if (nowMs - this->sweptMs < this->sessionMs) {
        return;
    }
    this->sweptMs = nowMs;
    std::erase_if(this->pins, [this, nowMs](const auto &pin) {
        return !this->isAlive(pin.second, nowMs);
    });
    std::erase_if(this->heldElsewhereUntilMs, [nowMs](const auto &held) {
        return held.second < nowMs;
    });
}

} // namespace Apricothead
