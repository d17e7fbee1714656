#include "EndpointLimits.h"

#include "PermitTerms.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Apricothead {
namespace {

constexpr double MsPerSecond = 1000;

/** \returns whether \a left was said before \a right for certain */
bool isOlder(const RequestLimit &left, const RequestLimit &right)
{
    return left.atMs + LimitAgeErrorMs < right.atMs;
}

} // namespace

EndpointLimits::EndpointLimits() : EndpointLimits(EndpointLimitsOptions{})
{ }

EndpointLimits::EndpointLimits(EndpointLimitsOptions given) : options(given)
{ }

const RequestLimit *EndpointLimits::Known::newest(std::uint64_t confirmedRound) const
{
    if (!this->seen || !this->told) {
        return this->seen ? &*this->seen : this->told ? &*this->told : nullptr;
    }
    const bool isSeenIncluded = this->seenRound != 0 && this->seenRound <= confirmedRound;
    return isSeenIncluded || isOlder(*this->seen, *this->told) ? &*this->told : &*this->seen;
}

std::optional<double> EndpointLimits::limitOf(const Known &endpoint) const
{
    const RequestLimit *newest = endpoint.newest(this->confirmedRound);
    if (newest == nullptr || !newest->perSecond) {
        return std::nullopt;
    }
    return std::max(*newest->perSecond, this->options.minPerSecond);
}

void EndpointLimits::setPlace(std::uint32_t rank, std::uint32_t count, std::uint64_t offsetMs)
{
    this->turns.setPlace(rank, count);
    this->gatewayCount = std::max(1U, count);
    this->clockOffsetMs = offsetMs;
}

bool EndpointLimits::recordAnswer(const LimitSighting &sighting, std::uint64_t nowMs)
{
    const auto found = this->known.find(sighting.endpoint);
    const bool isNew = found == this->known.end() || found->second.bornMs < sighting.bornMs;
    const bool isOutdated = !isNew && sighting.bornMs < found->second.bornMs;
    if (isOutdated || (isNew && !sighting.perSecond)) {
        return false;
    }
    Known &endpoint = this->known[sighting.endpoint];
    if (isNew) {
        endpoint = {.bornMs = sighting.bornMs, .service = sighting.service};
    }
    const RequestLimit *newest = endpoint.newest(this->confirmedRound);
    const RequestLimit current = newest == nullptr ? RequestLimit() : *newest;
    const std::optional<RequestLimit> updated = updatedLimit(current, sighting.perSecond, sighting.sentMs, nowMs);
    if (!updated) {
        return false;
    }
    endpoint.seen = updated;
    endpoint.seenRound = 0;
    if (current.perSecond && sighting.perSecond && *sighting.perSecond < *current.perSecond) {
        EndpointLimits::dropPermits(endpoint);
    }
    return current.perSecond != sighting.perSecond;
}

std::optional<double> EndpointLimits::perSecond(const std::string &name, std::int64_t bornMs) const
{
    const auto found = this->known.find(name);
    return found == this->known.end() || found->second.bornMs != bornMs ? std::nullopt : this->limitOf(found->second);
}

bool EndpointLimits::hasLeader(std::uint64_t nowMs) const
{
    return this->confirmedMs && nowMs - *this->confirmedMs < this->options.leaderSilenceMs;
}

double EndpointLimits::turnsPerSecond(double limit) const
{
    return limit * this->options.turnShare;
}

bool EndpointLimits::canSend(const std::string &name, std::int64_t bornMs, std::uint64_t nowMs) const
{
    const std::optional<double> limit = this->perSecond(name, bornMs);
    if (!limit) {
        return true;
    }
    if (EndpointLimits::hasPermit(this->known.find(name)->second, nowMs)) {
        return true;
    }
    return !this->hasLeader(nowMs) && this->turns.canSend(name, this->turnsPerSecond(*limit), nowMs + this->clockOffsetMs);
}

bool EndpointLimits::hasPermit(const Known &endpoint, std::uint64_t nowMs)
{
    return !endpoint.permitEndsMs.empty() && endpoint.permitEndsMs.back() > nowMs;
}

std::vector<std::string> EndpointLimits::permitted(const std::string &service, std::uint64_t nowMs) const
{
    std::vector<std::string> names;
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.service == service && this->limitOf(endpoint) && EndpointLimits::hasPermit(endpoint, nowMs)) {
            names.push_back(name);
        }
    }
    return names;
}

void EndpointLimits::recordSent(const std::string &name, std::int64_t bornMs, std::uint64_t nowMs)
{
    const std::optional<double> limit = this->perSecond(name, bornMs);
    if (!limit) {
        return;
    }
    Known &endpoint = this->known[name];
    EndpointLimits::dropEnded(endpoint, nowMs);
    if (endpoint.permitEndsMs.empty()) {
        this->turns.recordSent(name, this->turnsPerSecond(*limit), nowMs + this->clockOffsetMs);
        return;
    }
    endpoint.permitEndsMs.pop_front();
    ++endpoint.used;
}

void EndpointLimits::dropEnded(Known &endpoint, std::uint64_t nowMs)
{
    while (!endpoint.permitEndsMs.empty() && endpoint.permitEndsMs.front() <= nowMs) {
        endpoint.permitEndsMs.pop_front();
        ++endpoint.unused;
    }
}

void EndpointLimits::dropPermits(Known &endpoint)
{
    endpoint.unused += endpoint.permitEndsMs.size();
    endpoint.permitEndsMs.clear();
}

void EndpointLimits::recordDemand(const std::string &service, std::uint64_t nowMs)
{
    this->demand.try_emplace(service, this->options.demandAveragingMs).first->second.add(1, static_cast<double>(nowMs));
}

void EndpointLimits::setWaiting(const std::string &service, std::uint32_t count)
{
    this->waiting[service] = count;
}

double EndpointLimits::demandOf(const std::string &service, std::uint64_t nowMs) const
{
    const auto found = this->demand.find(service);
    return found == this->demand.end() ? 0 : found->second.perSecond(static_cast<double>(nowMs));
}

std::uint32_t EndpointLimits::waitingFor(const std::string &service) const
{
    const auto found = this->waiting.find(service);
    return found == this->waiting.end() ? 0 : found->second;
}

std::vector<Wire::EndpointLimitReport> EndpointLimits::reports(std::uint64_t round, std::uint64_t nowMs)
{
    std::vector<Wire::EndpointLimitReport> listed;
    for (auto &[name, endpoint] : this->known) {
        EndpointLimits::dropEnded(endpoint, nowMs);
        if (endpoint.seen && endpoint.seenRound == 0) {
            endpoint.seenRound = round;
        }
        listed.push_back(this->report(name, endpoint, nowMs));
    }
    return listed;
}

Wire::EndpointLimitReport EndpointLimits::report(const std::string &name, const Known &endpoint, std::uint64_t nowMs) const
{
    Wire::EndpointLimitReport report;
    report.set_endpoint(name);
    report.set_born_ms(endpoint.bornMs);
    report.set_service(endpoint.service);
    // What this gateway was only told is for a leader that does not know it: it is told anew, and would seem newer each time.
    const RequestLimit *newest = endpoint.newest(this->confirmedRound);
    const bool isOwnOutdated = endpoint.seen && endpoint.told && isOlder(*endpoint.seen, *endpoint.told);
    const RequestLimit *own = endpoint.seen && !isOwnOutdated ? &*endpoint.seen : nullptr;
    if (const RequestLimit *stated = endpoint.isListed ? own : newest) {
        Wire::LimitStatement &statement = *report.mutable_statement();
        statement.set_requests_per_second(stated->perSecond.value_or(0));
        statement.set_ended(!stated->perSecond);
        statement.set_age_ms(nowMs - std::min(nowMs, stated->atMs));
    }
    const double demandPerSecond = this->demandOf(endpoint.service, nowMs);
    const std::uint32_t waitingCount = this->waitingFor(endpoint.service);
    report.set_demand(demandPerSecond);
    report.set_waiting(waitingCount);
    const std::optional<double> limit = this->limitOf(endpoint);
    if (limit) {
        const double inAdvance = demandPerSecond < this->options.minDemand ? 0 : std::ceil(demandPerSecond * this->options.demandMs / MsPerSecond);
        const double most = std::ceil(*limit * static_cast<double>(PermitValidMs) / MsPerSecond) + 1;
        report.set_wanted(static_cast<std::uint32_t>(std::min(inAdvance + waitingCount, most)));
    }
    report.set_issuer(this->issuer);
    report.set_used(endpoint.used);
    report.set_unused(endpoint.unused);
    return report;
}

void EndpointLimits::confirm(const LimitConfirmation &confirmation, std::uint64_t nowMs)
{
    this->confirmedMs = nowMs;
    this->confirmedRound = confirmation.reportRound;
    if (std::exchange(this->issuer, confirmation.issuer) != confirmation.issuer) {
        for (auto &[name, endpoint] : this->known) {
            EndpointLimits::resetPermits(endpoint);
        }
    }
    if (confirmation.limits) {
        this->applyList(*confirmation.limits, confirmation.askedAgoMs, nowMs);
    }
    for (const Wire::EndpointPermits &permits : confirmation.permits) {
        this->applyPermits(permits, nowMs + PermitValidMs - std::min(PermitValidMs, confirmation.askedAgoMs));
    }
    std::erase_if(this->known, [this, nowMs](const auto &entry) {
        const RequestLimit *newest = entry.second.newest(this->confirmedRound);
        const std::uint64_t ageMs = newest == nullptr ? nowMs : nowMs - std::min(nowMs, newest->atMs);
        return ageMs > (this->limitOf(entry.second) ? LimitValidMs : this->options.endRetentionMs);
    });
}

void EndpointLimits::applyList(const std::vector<Wire::EndpointLimit> &limits, std::uint64_t askedAgoMs, std::uint64_t nowMs)
{
    for (auto &[name, endpoint] : this->known) {
        endpoint.isListed = false;
    }
    for (const Wire::EndpointLimit &limit : limits) {
        this->applyTold(limit, askedAgoMs, nowMs);
    }
}

void EndpointLimits::applyTold(const Wire::EndpointLimit &limit, std::uint64_t askedAgoMs, std::uint64_t nowMs)
{
    const auto found = this->known.find(limit.endpoint());
    const bool isNew = found == this->known.end() || found->second.bornMs < limit.born_ms();
    const bool isOutdated = !isNew && limit.born_ms() < found->second.bornMs;
    if (isOutdated || (isNew && limit.statement().ended())) {
        return;
    }
    Known &endpoint = this->known[limit.endpoint()];
    if (isNew) {
        endpoint = {.bornMs = limit.born_ms(), .service = limit.service()};
    }
    const std::optional<double> before = this->limitOf(endpoint);
    // The list may have been on its way for all the time since it was asked for: an end must not seem newer than it is.
    const bool isEnd = limit.statement().ended();
    const std::uint64_t ageMs = limit.statement().age_ms() + (isEnd ? askedAgoMs : 0);
    const RequestLimit listed{
        .perSecond = isEnd ? std::nullopt : std::optional(limit.statement().requests_per_second()),
        .atMs = nowMs - std::min(nowMs, ageMs),
    };
    // A leader that has just begun may not have heard of what its predecessor told.
    if (endpoint.told && isOlder(listed, *endpoint.told)) {
        return;
    }
    endpoint.told = listed;
    endpoint.isListed = true;
    const std::optional<double> after = this->limitOf(endpoint);
    if (before && after && *after < *before) {
        EndpointLimits::dropPermits(endpoint);
    }
}

void EndpointLimits::resetPermits(Known &endpoint)
{
    endpoint.permitEndsMs.clear();
    endpoint.issued = 0;
    endpoint.used = 0;
    endpoint.unused = 0;
}

void EndpointLimits::applyPermits(const Wire::EndpointPermits &permits, std::uint64_t endMs)
{
    const auto found = this->known.find(permits.endpoint());
    if (found == this->known.end() || found->second.bornMs != permits.born_ms()) {
        return;
    }
    Known &endpoint = found->second;
    endpoint.othersWeight = permits.others_weight();
    const std::uint64_t before = permits.issued() - std::min<std::uint64_t>(permits.issued(), permits.count());
    if (before < endpoint.issued) {
        // The leader counts anew for a new connection.
        EndpointLimits::resetPermits(endpoint);
    }
    // Messages in between were lost, and the permits with them.
    endpoint.unused += before - endpoint.issued;
    endpoint.issued = permits.issued();
    endpoint.permitEndsMs.insert(endpoint.permitEndsMs.end(), permits.count(), endMs);
}

std::optional<std::uint64_t>
EndpointLimits::waitMs(const std::string &service, std::size_t ahead, const std::function<bool(const std::string &)> &isUsable, std::uint64_t nowMs) const
{
    const double ownWeight = permitWeight(this->demandOf(service, nowMs), ahead + 1);
    double perSecond = 0;
    for (const auto &[name, endpoint] : this->known) {
        const std::optional<double> limit = this->limitOf(endpoint);
        if (endpoint.service != service || !limit || !isUsable(name)) {
            continue;
        }
        const bool isShared = this->hasLeader(nowMs) && endpoint.othersWeight;
        perSecond += isShared ? *limit * ownWeight / (ownWeight + *endpoint.othersWeight) : this->turnsPerSecond(*limit) / this->gatewayCount;
    }
    if (perSecond == 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(static_cast<double>(ahead + 1) * MsPerSecond / perSecond);
}

void EndpointLimits::forget(const std::string &name)
{
    this->known.erase(name);
    this->turns.forget(name);
}

std::size_t EndpointLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [this](const auto &entry) {
        return this->limitOf(entry.second).has_value();
    }));
}

std::size_t EndpointLimits::permitCount(std::uint64_t nowMs) const
{
    return std::accumulate(this->known.begin(), this->known.end(), std::size_t{0}, [nowMs](std::size_t sum, const auto &entry) {
        return sum + static_cast<std::size_t>(std::ranges::count_if(entry.second.permitEndsMs, [nowMs](std::uint64_t endMs) {
                   return endMs > nowMs;
               }));
    });
}

} // namespace Apricothead
