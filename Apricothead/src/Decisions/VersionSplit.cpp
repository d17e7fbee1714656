#include "VersionSplit.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::uint64_t TotalPermille = 1000;
/** Up to this share, sessions on the previous version stay there; above it they move as well, as the previous version is being replaced. */
constexpr std::uint64_t MaxCanaryPermille = 200;

/** \returns the key of a session of a service in messages between gateways */
std::uint64_t sessionKey(const std::string &service, const std::string &session)
{
    return XXH3_64bits_withSeed(session.data(), session.size(), uniformHash(service));
}

} // namespace

std::uint64_t uniformHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
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
            const auto previous = this->firstShareMs.find(rollout.order());
            since.emplace(rollout.order(), previous == this->firstShareMs.end() ? nowMs : previous->second);
        }
    }
    this->firstShareMs = std::move(since);
    this->pastTargets.clear();
    for (const Wire::RememberedVersion &version : state.versions()) {
        PastTargets &past = this->pastTargets[version.service()];
        (version.verdict() == Wire::VERSION_VERDICT_WITHDRAWN ? past.withdrawn : past.overtaken).push_back(version.version());
    }
}

VersionRule VersionSplit::rule(const std::string &service, const std::string &session, std::uint64_t draw, std::uint64_t nowMs)
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        return {};
    }
    const Wire::ServiceRollout &rollout = found->second;
    const auto past = this->pastTargets.find(service);
    VersionRule rule{.target = rollout.target()};
    if (past != this->pastTargets.end()) {
        rule.withdrawn = past->second.withdrawn;
        rule.overtaken = past->second.overtaken;
    }
    if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK) {
        rule.isFallbackAllowed = false;
        return rule;
    }
    if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_COMPLETED) {
        rule.wantsTarget = true;
        return rule;
    }
    rule.wantsTarget = draw % TotalPermille < rollout.share_permille();
    // The target is not proven yet, so it receives no more than its share.
    rule.isFallbackAllowed = rule.wantsTarget;
    const Pin *pin = session.empty() ? nullptr : this->pins.find(sessionKey(service, session));
    const bool isPinned = pin != nullptr && this->isActive(*pin, nowMs);
    const auto since = this->firstShareMs.find(rollout.order());
    const bool isRecentCanary = since == this->firstShareMs.end() || nowMs - since->second < this->sessionMs;
    const bool mayBePinnedElsewhere = !session.empty() && !isPinned && (isRecentCanary || this->isHeldElsewhere(service, session, nowMs));
    if (isPinned && pin->version == rollout.target()) {
        rule.wantsTarget = true;
    } else if ((isPinned || mayBePinnedElsewhere) && rollout.share_permille() <= MaxCanaryPermille) {
        rule.wantsTarget = false;
        rule.isFallbackAllowed = false;
    }
    return rule;
}

bool VersionSplit::isActive(const Pin &pin, std::uint64_t nowMs) const
{
    return pin.activeRequests > 0 || nowMs - pin.lastUsedMs <= this->sessionMs;
}

bool VersionSplit::isHeldElsewhere(const std::string &service, const std::string &session, std::uint64_t nowMs) const
{
    const std::uint64_t *untilMs = this->heldElsewhereUntilMs.find(sessionKey(service, session));
    return untilMs != nullptr && *untilMs >= nowMs;
}

std::vector<std::uint64_t> VersionSplit::heldSessions(std::uint64_t nowMs) const
{
    std::vector<std::uint64_t> held;
    for (const auto &[key, pin] : this->pins) {
        if (held.size() == MaxReportedSessions) {
            break;
        }
        const auto found = this->rollouts.find(pin.service);
        if (found == this->rollouts.end() || found->second.state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            continue;
        }
        const Wire::ServiceRollout &rollout = found->second;
        const bool wouldMove = rollout.share_permille() <= MaxCanaryPermille && pin.draw % TotalPermille < rollout.share_permille();
        if (wouldMove && pin.version != rollout.target() && this->isActive(pin, nowMs)) {
            held.push_back(key);
        }
    }
    return held;
}

void VersionSplit::setOtherHeldSessions(const std::vector<std::uint64_t> &sessions, std::uint64_t nowMs)
{
    for (const std::uint64_t session : sessions) {
        this->heldElsewhereUntilMs.touch(session) = nowMs + this->sessionMs;
    }
    this->removeExpired(nowMs);
}

void VersionSplit::recordStart(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs)
{
    if (session.empty()) {
        return;
    }
    Pin &pin = this->pins.touch(sessionKey(service, session));
    pin.service = service;
    pin.version = version;
    pin.draw = uniformHash(session);
    pin.lastUsedMs = nowMs;
    ++pin.activeRequests;
    this->removeExpired(nowMs);
}

void VersionSplit::recordEnd(const std::string &service, const std::string &session, std::uint64_t nowMs)
{
    Pin *pin = session.empty() ? nullptr : this->pins.find(sessionKey(service, session));
    if (pin == nullptr) {
        return;
    }
    pin->lastUsedMs = nowMs;
    pin->activeRequests -= std::min(pin->activeRequests, 1U);
}

std::size_t VersionSplit::sessionCount() const
{
    return this->pins.size();
}

std::size_t VersionSplit::otherSessionCount() const
{
    return this->heldElsewhereUntilMs.size();
}

void VersionSplit::removeExpired(std::uint64_t nowMs)
{
    if (nowMs - this->lastCleanupMs < this->sessionMs) {
        return;
    }
    this->lastCleanupMs = nowMs;
    this->pins.eraseIf([this, nowMs](const Pin &pin) {
        return !this->isActive(pin, nowMs);
    });
    this->heldElsewhereUntilMs.eraseIf([nowMs](std::uint64_t untilMs) {
        return untilMs < nowMs;
    });
}

} // namespace Apricothead
