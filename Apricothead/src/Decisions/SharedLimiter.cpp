#include "SharedLimiter.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

/** Minimum time between two computations of an organisation's share. */
constexpr double ShareIntervalMs = 250;
constexpr double ConcurrencyRetryMs = 1000;

} // namespace

SharedLimiter::Account::Account(double demandAveragingMs) : requestRate(demandAveragingMs), tokenRate(demandAveragingMs)
{ }

SharedLimiter::SharedLimiter(SharedLimiterOptions givenOptions) : options(std::move(givenOptions))
{ }

void SharedLimiter::configure(const std::string &organisation, const Wire::Limits &limits, double nowMs)
{
    const bool isNew = !this->accounts.contains(organisation);
    Account &account = this->accounts.try_emplace(organisation, this->options.demandAveragingMs).first->second;
    account.limits = limits;
    this->applyShare(organisation, account, nowMs, isNew);
}

void SharedLimiter::setLiveEntries(unsigned entries)
{
    this->liveEntries = std::max(1U, entries);
}

LimitDecision SharedLimiter::admit(const std::string &organisation, double tokens, double nowMs)
{
    const auto found = this->accounts.find(organisation);
    if (found == this->accounts.end()) {
        return {.allowed = true, .reason = "within-limits"};
    }
    Account &account = found->second;
    account.requestRate.add(1, nowMs);
    account.tokenRate.add(tokens, nowMs);
    if (nowMs - account.shareUpdatedMs > ShareIntervalMs) {
        this->applyShare(organisation, account, nowMs, false);
    }
    const Wire::Limits &limits = account.limits;
    if (limits.concurrent_requests() > 0) {
        const double maxRunning = std::ceil(limits.concurrent_requests() * this->share(organisation, nowMs));
        if (account.running >= std::max(1.0, maxRunning)) {
            return {.reason = "organisation-concurrency-limit", .retryAfterMs = ConcurrencyRetryMs};
        }
    }
    const double requestWait = limits.requests_per_second() > 0 ? account.requests.waitMs(1, nowMs) : 0;
    if (requestWait > 0) {
        return {.reason = "organisation-request-limit", .retryAfterMs = requestWait};
    }
    const double tokenWait = limits.tokens_per_second() > 0 ? account.tokens.waitMs(tokens, nowMs) : 0;
    if (tokenWait > 0) {
        return {.reason = "organisation-token-limit", .retryAfterMs = tokenWait};
    }
    account.requests.consume(1, nowMs);
    account.tokens.consume(tokens, nowMs);
    ++account.running;
    return {.allowed = true, .reason = "within-limits"};
}

void SharedLimiter::release(const std::string &organisation, double estimatedTokens, double actualTokens, bool ran, double nowMs)
{
    const auto found = this->accounts.find(organisation);
    if (found == this->accounts.end()) {
        return;
    }
    Account &account = found->second;
    account.running -= std::min(1U, account.running);
    account.tokens.consume((ran ? actualTokens : 0) - estimatedTokens, nowMs);
    if (!ran) {
        account.requests.consume(-1, nowMs);
    }
}

std::vector<Wire::OrganisationDemand> SharedLimiter::digest(double nowMs)
{
    std::vector<Wire::OrganisationDemand> demands;
    for (const auto &[organisation, account] : this->accounts) {
        if (account.requestRate.perSecond(nowMs) < 0.01) {
            continue;
        }
        Wire::OrganisationDemand &demand = demands.emplace_back();
        demand.set_organisation(organisation);
        demand.set_requests_per_second(account.requestRate.perSecond(nowMs));
        demand.set_tokens_per_second(account.tokenRate.perSecond(nowMs));
    }
    return demands;
}

void SharedLimiter::receive(const std::string &entry, const std::vector<Wire::OrganisationDemand> &demands, double nowMs)
{
    if (entry == this->options.entry) {
        return;
    }
    std::erase_if(this->peers, [this, nowMs](const auto &known) {
        return nowMs - known.second.lastReceivedMs > this->options.digestValidMs;
    });
    Peer &peer = this->peers[entry];
    peer.lastReceivedMs = nowMs;
    peer.requestRates.clear();
    for (const Wire::OrganisationDemand &demand : demands) {
        if (this->accounts.contains(demand.organisation())) {
            peer.requestRates[demand.organisation()] = demand.requests_per_second();
        }
    }
}

std::size_t SharedLimiter::otherDemandCount() const
{
    std::size_t count = 0;
    for (const auto &[entry, peer] : this->peers) {
        count += peer.requestRates.size();
    }
    return count;
}

double SharedLimiter::share(const std::string &organisation, double nowMs) const
{
    const auto found = this->accounts.find(organisation);
    const double ownRate = found == this->accounts.end() ? 0 : found->second.requestRate.perSecond(nowMs);
    double otherRates = 0;
    unsigned reporting = 1;
    for (const auto &[entry, peer] : this->peers) {
        if (nowMs - peer.lastReceivedMs > this->options.digestValidMs) {
            continue;
        }
        ++reporting;
        const auto rate = peer.requestRates.find(organisation);
        otherRates += rate == peer.requestRates.end() ? 0 : rate->second;
    }
    const unsigned entries = std::max(reporting, this->liveEntries);
    const double evenShare = 1.0 / entries;
    // Each entry without a valid digest keeps an equal share; the rest is split by demand.
    const double reportingShare = reporting * evenShare;
    const double byDemand = ownRate + otherRates > 0 ? reportingShare * ownRate / (ownRate + otherRates) : evenShare;
    return this->options.evenFraction * evenShare + (1 - this->options.evenFraction) * byDemand;
}

void SharedLimiter::applyShare(const std::string &organisation, Account &account, double nowMs, bool startsFull) const
{
    const double fraction = this->share(organisation, nowMs);
    const double requestRate = account.limits.requests_per_second() * fraction;
    const double tokenRate = account.limits.tokens_per_second() * fraction;
    const double requestBurst = std::max(1.0, requestRate * this->options.burstSeconds);
    const double tokenBurst = tokenRate * this->options.burstSeconds;
    account.shareUpdatedMs = nowMs;
    if (startsFull) {
        account.requests = TokenBucket(requestRate, requestBurst, nowMs);
        account.tokens = TokenBucket(tokenRate, tokenBurst, nowMs);
        return;
    }
    account.requests.setRate(requestRate, requestBurst, nowMs);
    account.tokens.setRate(tokenRate, tokenBurst, nowMs);
}

} // namespace Apricothead
