#include "DirectEndpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Apricothead {
namespace {

/** Weight of the latest attempt in the moving average of failures, which spans about ten attempts. */
constexpr double FailureWeight = 0.1;
/** Decay of the prefill rate's sums with each answer, so that about fifty answers count. */
constexpr double PrefillRateDecay = 0.98;
/** With fewer uncached tokens the time to the first event depends more on queueing than on the prefill rate. */
constexpr std::uint64_t MinTimedTokens = 1000;
/** Bounds on the measured prefill rate. */
constexpr double MinTokensPerMs = 5;
constexpr double MaxTokensPerMs = 200;
/** Weight of the latest answer in the mean by which answers exceed their predictions. */
constexpr double PeerDelayWeight = 0.05;
/** The duration of repeated ejections doubles at most this many times. */
constexpr unsigned MaxEjectionDoublings = 2;
/** Sample size as a multiple of the number of endpoints per gateway. Replays of 6 gateways with 18 engines and of 29 gateways with 52 engines perform
 * worst with much larger samples. */
constexpr std::size_t SamplesPerGatewayShare = 2;
constexpr std::size_t MinSampleSize = 4;
/** The least loaded endpoint of a sample of this size is mostly among the best 5% of all. */
constexpr std::size_t MaxSampleSize = 24;
/** Limit on the candidates that are added because they have a prefix of the prompt cached. */
constexpr std::size_t MaxHolders = 8;
/** An endpoint that claims to stay cold for longer is bounded no longer than this. */
constexpr std::uint64_t MaxColdMs = 600'000;

std::uint64_t hashBytes(std::uint64_t seed, const void *data, std::size_t size)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

/** \returns for each part a hash of the prompt up to and including it. The model is hashed too, as caches are not shared between models. */
std::vector<std::uint64_t> hashPrefixes(const EndpointQuery &query)
{
    std::vector<std::uint64_t> prefixHashes;
    std::uint64_t hash = hashBytes(0, query.model.data(), query.model.size());
    for (const PromptPart &part : query.prompt) {
        hash = hashBytes(hash, &part.id, sizeof(part.id));
        prefixHashes.push_back(hash);
    }
    return prefixHashes;
}

/** \returns the number of tokens in the leading parts of the prompt that are all in \a cache */
std::uint64_t cachedPrefixTokens(const PrefixCacheEstimate &cache, const EndpointQuery &query, const std::vector<std::uint64_t> &prefixHashes)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index < prefixHashes.size(); ++index) {
        const std::uint64_t added = query.prompt[index].tokens;
        if (added > 0 && !cache.contains(prefixHashes[index])) {
            break;
        }
        tokens += added;
    }
    return tokens;
}

bool isFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Incomplete || outcome == AttemptOutcome::Overdue
        || outcome == AttemptOutcome::Unreachable;
}

} // namespace

DirectEndpoints::DirectEndpoints() : DirectEndpoints(DirectEndpointsOptions{})
{ }

DirectEndpoints::DirectEndpoints(DirectEndpointsOptions given) : options(std::move(given)), coldRate(this->options.coldRate)
{ }

std::vector<Wire::EndpointLoad> DirectEndpoints::takeOwnLoads()
{
    std::vector<Wire::EndpointLoad> listed;
    this->unreportedCount = 0;
    for (auto &[name, endpoint] : this->known) {
        if (endpoint.running == 0 && endpoint.unreportedPrefixes.empty()) {
            continue;
        }
        Wire::EndpointLoad &load = listed.emplace_back();
        load.set_endpoint(name);
        load.set_awaiting_ms(static_cast<std::uint32_t>(endpoint.pendingPrefillMs));
        load.set_running(static_cast<std::uint32_t>(endpoint.running));
        for (const SentPrefix &sent : std::exchange(endpoint.unreportedPrefixes, {})) {
            load.add_prefixes(sent.prefix);
            load.add_prefix_tokens(static_cast<std::uint32_t>(sent.tokens));
        }
    }
    return listed;
}

std::uint64_t DirectEndpoints::unreportedPrefixes() const
{
    return this->unreportedDropped;
}

void DirectEndpoints::setOtherLoads(const std::vector<Wire::EndpointLoad> &loads)
{
    for (auto &[name, endpoint] : this->known) {
        endpoint.othersPendingPrefillMs = 0;
        endpoint.othersRunning = 0;
    }
    for (const Wire::EndpointLoad &load : loads) {
        const auto found = this->known.find(load.endpoint());
        if (found == this->known.end()) {
            continue;
        }
        found->second.othersPendingPrefillMs = load.awaiting_ms();
        found->second.othersRunning = load.running();
        found->second.pace.recordOthers(load.running());
    }
}

void DirectEndpoints::recordOtherPrompts(const EndpointLoads &prompts)
{
    for (const Wire::EndpointLoad &sent : prompts) {
        const auto found = this->known.find(sent.endpoint());
        if (found == this->known.end()) {
            continue;
        }
        for (int index = 0; index < std::min(sent.prefixes_size(), sent.prefix_tokens_size()); ++index) {
            found->second.cache.touch(sent.prefixes(index), sent.prefix_tokens(index));
        }
    }
}

DirectEndpoints::KnownEndpoint::KnownEndpoint(DirectEndpoints &owner)
    : cache(
        owner.options.cacheCapacityTokens,
        [this, &owner](std::uint64_t prefix) {
            owner.holders[prefix].push_back(this);
        },
        [this, &owner](std::uint64_t prefix) {
            const auto held = owner.holders.find(prefix);
            std::erase(held->second, this);
            if (held->second.empty()) {
                owner.holders.erase(held);
            }
        })
{ }

DirectEndpoints::KnownEndpoint &DirectEndpoints::findOrAdd(const std::string &endpoint)
{
    const auto [found, isAdded] = this->known.try_emplace(endpoint, *this);
    if (isAdded) {
        this->dividePrefixes();
    }
    return found->second;
}

void DirectEndpoints::dividePrefixes()
{
    const std::size_t share = std::max<std::size_t>(1, this->options.maxPrefixes / std::max<std::size_t>(1, this->known.size()));
    for (auto &[name, endpoint] : this->known) {
        endpoint.cache.setMaxPrefixes(share);
    }
}

std::size_t DirectEndpoints::endpointCount() const
{
    return this->known.size();
}

std::size_t DirectEndpoints::modelCount() const
{
    return std::accumulate(
        this->known.begin(), this->known.end(), this->prefillRates.size() + this->peerDelayMs.size(), [](std::size_t sum, const auto &entry) {
            return sum + entry.second.lastAnsweredSentMs.size();
        });
}

std::size_t DirectEndpoints::prefixCount() const
{
    return std::accumulate(this->known.begin(), this->known.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
        return sum + entry.second.cache.size();
    });
}

void DirectEndpoints::removeEndpoint(const std::string &endpoint)
{
    const auto found = this->known.find(endpoint);
    found->second.cache.clear();
    this->coldRate.forget(endpoint);
    this->requestLimits.forget(endpoint);
    this->unreportedCount -= found->second.unreportedPrefixes.size();
    this->known.erase(found);
    this->dividePrefixes();
}

void DirectEndpoints::rebuildGroups(const std::string &service) const
{
    ++this->rebuildCount;
    std::map<std::string, Group> &versions = this->groups[service];
    versions.clear();
    std::map<std::string, std::vector<std::string>> names;
    for (const auto &[name, endpoint] : this->known) {
        const Wire::EndpointAnnouncement &announcement = endpoint.announcement;
        if (!this->isEligible(endpoint) || announcement.service() != service) {
            continue;
        }
        versions[announcement.version()].members.push_back(&endpoint);
        names[announcement.version()].push_back(name);
    }
    for (auto &[version, group] : versions) {
        group.ring = EndpointRing(names[version]);
    }
}

void DirectEndpoints::applyAnnouncement(const Wire::EndpointAnnouncement &announcement)
{
    const auto found = this->known.find(announcement.endpoint());
    if (found == this->known.end() && announcement.state() != Wire::ANNOUNCED_STATE_READY) {
        return;
    }
    const bool isRenewed = found != this->known.end() && found->second.announcement.born_ms() < announcement.born_ms();
    const bool wasSilent = found != this->known.end() && found->second.announcement.state() == Wire::ANNOUNCED_STATE_SILENT;
    if (isRenewed) {
        // A new incarnation starts without history, except for the load: runs of the previous incarnation are yet to be recorded as ended.
        EndpointStats renewed;
        this->unreportedCount -= found->second.unreportedPrefixes.size();
        renewed.running = found->second.running;
        renewed.pendingPrefillMs = found->second.pendingPrefillMs;
        static_cast<EndpointStats &>(found->second) = std::move(renewed);
        found->second.cache.clear();
    }
    KnownEndpoint &endpoint = this->findOrAdd(announcement.endpoint());
    const std::string previousService = endpoint.announcement.service();
    endpoint.announcement = announcement;
    // The endpoints that a gateway finds when it starts have not just started themselves.
    const bool isAdded = previousService.empty() && this->answeredServices.contains(announcement.service());
    const bool hasRecovered = wasSilent && announcement.state() == Wire::ANNOUNCED_STATE_READY;
    if (isRenewed || isAdded || hasRecovered) {
        this->startPace(endpoint);
    }
    const bool isRemovable = announcement.state() == Wire::ANNOUNCED_STATE_GONE && endpoint.running == 0;
    if (isRemovable) {
        this->removeEndpoint(announcement.endpoint());
    }
    this->changedServices.insert(announcement.service());
    if (!previousService.empty()) {
        this->changedServices.insert(previousService);
    }
}

void DirectEndpoints::applyAnnouncements(const std::vector<Wire::EndpointAnnouncement> &announcements)
{
    for (const Wire::EndpointAnnouncement &announcement : announcements) {
        this->applyAnnouncement(announcement);
    }
}

void DirectEndpoints::setEvacuatedZones(std::set<std::string> zones, std::uint64_t nowMs)
{
    if (zones == this->evacuatedZones) {
        return;
    }
    std::swap(zones, this->evacuatedZones);
    for (auto &[name, endpoint] : this->known) {
        const std::string &service = endpoint.announcement.service();
        this->changedServices.insert(service);
        const std::string &zone = endpoint.announcement.availability_zone();
        if (!zones.contains(zone) || this->evacuatedZones.contains(zone)) {
            continue;
        }
        this->startPace(endpoint);
        const auto cold = this->coldServices.find(service);
        if (cold != this->coldServices.end()) {
            this->recordCold(name, cold->second.startMs, nowMs);
        }
    }
}

std::map<std::string, std::size_t> DirectEndpoints::evacuatedCounts() const
{
    std::map<std::string, std::size_t> counts;
    for (const std::string &zone : this->evacuatedZones) {
        counts[zone] = static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [&zone](const auto &entry) {
            return entry.second.announcement.availability_zone() == zone && DirectEndpoints::isReady(entry.second);
        }));
    }
    return counts;
}

void DirectEndpoints::setColdServices(std::map<std::string, ColdService> services)
{
    this->coldServices = std::move(services);
}

void DirectEndpoints::setGatewayPlace(std::uint32_t rank, std::uint32_t count, std::uint64_t offsetMs)
{
    this->coldRate.setPlace(rank, count);
    this->requestLimits.setPlace(rank, count, offsetMs);
    this->clockOffsetMs = offsetMs;
}

void DirectEndpoints::recordCold(const std::string &name, std::uint64_t coldMs, std::uint64_t nowMs)
{
    const auto found = this->known.find(name);
    if (found != this->known.end()) {
        found->second.coldUntilMs = std::max(found->second.coldUntilMs, nowMs + std::min(coldMs, MaxColdMs));
    }
}

void DirectEndpoints::recordSent(const std::string &name, std::uint64_t nowMs)
{
    const auto found = this->known.find(name);
    if (found == this->known.end()) {
        return;
    }
    const double coldPerSecond = this->coldRateOf(found->second, nowMs);
    if (coldPerSecond > 0) {
        this->coldRate.recordSent(name, coldPerSecond, nowMs + this->clockOffsetMs);
    }
    this->requestLimits.recordSent(name, found->second.announcement.born_ms(), nowMs);
}

EndpointLimits &DirectEndpoints::limits()
{
    return this->requestLimits;
}

std::optional<std::uint64_t> DirectEndpoints::limitWaitMs(const EndpointQuery &query, std::size_t ahead, std::uint64_t nowMs) const
{
    const auto isUsable = [&](const std::string &name) {
        const auto found = this->known.find(name);
        return found != this->known.end() && this->isEligible(found->second)
            && query.versions.rank(found->second.announcement.version()) == VersionRank::Preferred
            && this->canTakeWithinLimit(found->second, query, false, nowMs);
    };
    return this->requestLimits.waitMs(query.service, ahead, isUsable, nowMs);
}

double DirectEndpoints::coldRateOf(const KnownEndpoint &endpoint, std::uint64_t nowMs) const
{
    if (endpoint.coldUntilMs <= nowMs) {
        return 0;
    }
    const auto cold = this->coldServices.find(endpoint.announcement.service());
    return cold == this->coldServices.end() ? 0 : cold->second.perSecond;
}

std::uint64_t DirectEndpoints::rebuilds() const
{
    return this->rebuildCount;
}

bool DirectEndpoints::canTake(const KnownEndpoint &endpoint, const EndpointQuery &query, bool includeEjected, std::uint64_t nowMs) const
{
    const Wire::EndpointAnnouncement &announcement = endpoint.announcement;
    return this->canTakeWithinLimit(endpoint, query, includeEjected, nowMs)
        && this->requestLimits.canSend(announcement.endpoint(), announcement.born_ms(), nowMs);
}

bool DirectEndpoints::canTakeWithinLimit(const KnownEndpoint &endpoint, const EndpointQuery &query, bool includeEjected, std::uint64_t nowMs) const
{
    const bool isEjected = !includeEjected && endpoint.ejectedUntilMs > nowMs;
    if (isEjected || endpoint.pausedUntilMs > nowMs) {
        return false;
    }
    const double coldPerSecond = this->coldRateOf(endpoint, nowMs);
    if (coldPerSecond > 0 && !this->coldRate.canSend(endpoint.announcement.endpoint(), coldPerSecond, nowMs + this->clockOffsetMs)) {
        return false;
    }
    return std::find(query.avoid.begin(), query.avoid.end(), endpoint.announcement.endpoint()) == query.avoid.end();
}

void DirectEndpoints::setGatewayCount(std::uint32_t count)
{
    this->gatewayCount = std::max(1U, count);
}

std::size_t DirectEndpoints::sampleSize(std::size_t members) const
{
    return std::clamp(SamplesPerGatewayShare * members / this->gatewayCount, MinSampleSize, MaxSampleSize);
}

void DirectEndpoints::addSample(CandidateSet &candidateSet, const Group &group, const std::function<bool(const KnownEndpoint &)> &canTake) const
{
    const std::size_t sample = this->sampleSize(group.members.size());
    const bool isLarge = group.members.size() > sample;
    std::uniform_int_distribution<std::size_t> any(0, group.members.size() - 1);
    for (std::size_t drawn = 0; isLarge && drawn < sample; ++drawn) {
        const KnownEndpoint &endpoint = *group.members[any(this->random)];
        if (canTake(endpoint)) {
            candidateSet.candidates.push_back(&endpoint);
        }
    }
    if (isLarge && !candidateSet.candidates.empty()) {
        return;
    }
    for (const KnownEndpoint *endpoint : group.members) {
        if (canTake(*endpoint)) {
            candidateSet.candidates.push_back(endpoint);
        }
    }
}

DirectEndpoints::CandidateSet DirectEndpoints::findCandidates(const EndpointQuery &query, VersionRank rank, bool includeEjected, std::uint64_t nowMs) const
{
    CandidateSet candidateSet{.prefixHashes = hashPrefixes(query)};
    const auto versions = this->groups.find(query.service);
    if (versions == this->groups.end()) {
        return candidateSet;
    }
    const auto canTake = [&](const KnownEndpoint &endpoint) {
        return this->canTake(endpoint, query, includeEjected, nowMs);
    };
    bool isSampled = false;
    for (const auto &entry : versions->second) {
        const Group &group = entry.second;
        if (query.versions.rank(entry.first) != rank) {
            continue;
        }
        this->addSample(candidateSet, group, canTake);
        isSampled = isSampled || group.members.size() > this->sampleSize(group.members.size());
        // The last part belongs to this request or its session; other requests have the parts before it in common.
        const bool isShared = candidateSet.home == nullptr && candidateSet.prefixHashes.size() > 1;
        const std::optional<std::size_t> home = isShared ? group.ring.findHome(candidateSet.prefixHashes[candidateSet.prefixHashes.size() - 2],
                                                                               [&](std::size_t index) {
                                                                                   return canTake(*group.members[index]);
                                                                               })
                                                         : std::nullopt;
        candidateSet.home = home ? group.members[*home] : candidateSet.home;
    }
    if (isSampled) {
        this->addHolders(candidateSet, query, rank, canTake);
        this->addPermitted(candidateSet, query, rank, canTake, nowMs);
    }
    for (const KnownEndpoint *endpoint : candidateSet.candidates) {
        candidateSet.maxCachedTokens = std::max(candidateSet.maxCachedTokens, cachedPrefixTokens(endpoint->cache, query, candidateSet.prefixHashes));
    }
    return candidateSet;
}

void DirectEndpoints::addPermitted(CandidateSet &candidateSet,
                                   const EndpointQuery &query,
                                   VersionRank rank,
                                   const std::function<bool(const KnownEndpoint &)> &canTake,
                                   std::uint64_t nowMs) const
{
    for (const std::string &name : this->requestLimits.permitted(query.service, nowMs)) {
        const auto found = this->known.find(name);
        const bool isCandidate = found != this->known.end() && this->isEligible(found->second)
            && query.versions.rank(found->second.announcement.version()) == rank && canTake(found->second);
        if (isCandidate) {
            candidateSet.candidates.push_back(&found->second);
        }
    }
}

void DirectEndpoints::addHolders(CandidateSet &candidateSet,
                                 const EndpointQuery &query,
                                 VersionRank rank,
                                 const std::function<bool(const KnownEndpoint &)> &canTake) const
{
    if (candidateSet.home != nullptr) {
        candidateSet.candidates.push_back(candidateSet.home);
    }
    std::size_t added = 0;
    // From the longest prefix to the shortest.
    for (std::size_t index = candidateSet.prefixHashes.size(); index-- > 0 && added < MaxHolders;) {
        const auto held = this->holders.find(candidateSet.prefixHashes[index]);
        if (held == this->holders.end()) {
            continue;
        }
        for (const KnownEndpoint *endpoint : held->second) {
            const Wire::EndpointAnnouncement &announcement = endpoint->announcement;
            const bool isOfService = this->isEligible(*endpoint) && announcement.service() == query.service;
            if (added == MaxHolders || !isOfService || query.versions.rank(announcement.version()) != rank || !canTake(*endpoint)) {
                continue;
            }
            candidateSet.candidates.push_back(endpoint);
            ++added;
        }
    }
}

double DirectEndpoints::prefillMs(const std::string &model, std::uint64_t tokens) const
{
    const PrefillRate *measured = this->prefillRates.find(uniformHash(model));
    const double tokensPerMs
        = measured == nullptr ? this->options.defaultTokensPerMs : std::clamp(measured->tokens / measured->tookMs, MinTokensPerMs, MaxTokensPerMs);
    return static_cast<double>(tokens) / tokensPerMs;
}

DirectEndpoints::ScoredEndpoint DirectEndpoints::score(const KnownEndpoint &endpoint, const EndpointQuery &query, const CandidateSet &candidateSet) const
{
    ScoredEndpoint scored{.endpoint = &endpoint, .isHome = &endpoint == candidateSet.home};
    const std::uint64_t cached = cachedPrefixTokens(endpoint.cache, query, candidateSet.prefixHashes);
    scored.uncachedTokens = promptTokens(query.prompt) - cached;
    const double prefillMs = this->prefillMs(query.model, scored.uncachedTokens);
    scored.expectedMs = endpoint.pendingPrefillMs + endpoint.othersPendingPrefillMs + prefillMs
        + this->options.perRunningMs * static_cast<double>(endpoint.running + endpoint.othersRunning);
    if (endpoint.announcement.availability_zone() != this->options.availabilityZone) {
        scored.expectedMs += this->options.crossZoneMs;
    }
    scored.scoreMs = scored.expectedMs + (this->options.prefillWeight - 1) * prefillMs;
    // No candidate has all of the shared parts cached: favours the home, so that gateways that receive such prompts at the same time agree on
    // the endpoint that processes them.
    const std::uint64_t shared = sharedTokens(query.prompt);
    if (scored.isHome && candidateSet.maxCachedTokens < shared) {
        scored.scoreMs -= this->options.prefillWeight * this->prefillMs(query.model, shared - candidateSet.maxCachedTokens);
    }
    return scored;
}

bool DirectEndpoints::hasVersion(const EndpointQuery &query, VersionRank rank) const
{
    const auto versions = this->groups.find(query.service);
    return versions != this->groups.end() && std::ranges::any_of(versions->second, [&query, rank](const auto &entry) {
               return !entry.second.members.empty() && query.versions.rank(entry.first) == rank;
           });
}

std::optional<EndpointChoice> DirectEndpoints::choose(const EndpointQuery &query, std::uint64_t nowMs) const
{
    if (this->changedServices.erase(query.service) > 0) {
        this->rebuildGroups(query.service);
    }
    CandidateSet candidateSet = this->findCandidates(query, VersionRank::Preferred, false, nowMs);
    std::string reason;
    if (candidateSet.candidates.empty()) {
        candidateSet = this->findCandidates(query, VersionRank::Preferred, true, nowMs);
        reason = "last-resort";
    }
    const bool hasPreferred = !candidateSet.candidates.empty() || this->hasVersion(query, VersionRank::Preferred);
    // Where only targets of earlier orders stand beside it, the version that was in force may have been ordered back.
    const bool isOrderedBack = !hasPreferred && (this->hasVersion(query, VersionRank::Excluded) || this->hasVersion(query, VersionRank::Overtaken));
    if (candidateSet.candidates.empty() && (query.versions.isFallbackAllowed || isOrderedBack)) {
        candidateSet = this->findCandidates(query, VersionRank::Other, false, nowMs);
        reason = "other-version";
    }
    if (candidateSet.candidates.empty() && !hasPreferred) {
        candidateSet = this->findCandidates(query, VersionRank::Overtaken, false, nowMs);
        reason = "overtaken-version";
    }
    if (candidateSet.candidates.empty()) {
        return std::nullopt;
    }
    DirectEndpoints::preferOpen(candidateSet.candidates);
    ScoredEndpoint best;
    for (const KnownEndpoint *endpoint : candidateSet.candidates) {
        const ScoredEndpoint scored = this->score(*endpoint, query, candidateSet);
        if (best.endpoint == nullptr || scored.scoreMs < best.scoreMs) {
            best = scored;
        }
    }
    if (reason.empty()) {
        reason = best.isHome ? "home" : candidateSet.home == nullptr ? "least-loaded" : "spill";
    }
    const Wire::EndpointAnnouncement &announcement = best.endpoint->announcement;
    return EndpointChoice{
        .endpoint = announcement.endpoint(),
        .address = announcement.address(),
        .bornMs = announcement.born_ms(),
        .version = announcement.version(),
        .expectedMs = best.expectedMs,
        .uncachedTokens = best.uncachedTokens,
        .model = query.model,
        .reason = reason,
    };
}

void DirectEndpoints::recordStart(const EndpointQuery &query, const EndpointChoice &choice)
{
    KnownEndpoint &endpoint = this->findOrAdd(choice.endpoint);
    ++endpoint.running;
    endpoint.pendingPrefillMs += this->prefillMs(choice.model, choice.uncachedTokens);
    const std::vector<std::uint64_t> prefixHashes = hashPrefixes(query);
    // The shortest prefix is touched last, as it is used most often and should be evicted last.
    for (std::size_t index = prefixHashes.size(); index-- > 0;) {
        const std::uint64_t tokens = query.prompt[index].tokens;
        if (tokens == 0) {
            continue;
        }
        endpoint.cache.touch(prefixHashes[index], tokens);
        if (this->unreportedCount >= PromptNews::MaxPrefixesOfSender) {
            ++this->unreportedDropped;
            continue;
        }
        endpoint.unreportedPrefixes.push_back({.prefix = prefixHashes[index], .tokens = tokens});
        ++this->unreportedCount;
    }
}

void DirectEndpoints::recordAnswer(const EndpointChoice &choice, std::uint64_t tookMs, std::uint64_t nowMs)
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return;
    }
    KnownEndpoint &endpoint = found->second;
    endpoint.pendingPrefillMs = std::max(0.0, endpoint.pendingPrefillMs - this->prefillMs(choice.model, choice.uncachedTokens));
    std::uint64_t &sentMs = endpoint.lastAnsweredSentMs.touch(uniformHash(choice.model));
    sentMs = std::max(sentMs, nowMs - tookMs);
    this->recordPace(endpoint, choice, static_cast<double>(tookMs));
    const bool isTimed = choice.uncachedTokens >= MinTimedTokens && tookMs > 0;
    if (isTimed) {
        PrefillRate &rate = this->prefillRates.touch(uniformHash(choice.model));
        rate.tokens = PrefillRateDecay * rate.tokens + static_cast<double>(choice.uncachedTokens);
        rate.tookMs = PrefillRateDecay * rate.tookMs + static_cast<double>(tookMs);
    }
}

std::uint64_t DirectEndpoints::inFlight(const KnownEndpoint &endpoint)
{
    return endpoint.running + endpoint.othersRunning;
}

void DirectEndpoints::startPace(KnownEndpoint &endpoint) const
{
    if (this->options.pace) {
        endpoint.pace = EndpointPace(*this->options.pace);
        endpoint.pace.start();
    }
}

void DirectEndpoints::recordPace(KnownEndpoint &endpoint, const EndpointChoice &choice, double tookMs)
{
    if (!this->options.pace) {
        return;
    }
    const std::string &service = endpoint.announcement.service();
    this->answeredServices.insert(service);
    double &delayMs = this->peerDelayMs.touch({service, uniformHash(choice.model)});
    if (endpoint.pace.isAtPace()) {
        delayMs += PeerDelayWeight * (tookMs - choice.expectedMs - delayMs);
        return;
    }
    endpoint.pace.recordAnswer(tookMs, choice.expectedMs + std::max(0.0, delayMs), this->meanInFlightAtPace(service));
}

double DirectEndpoints::meanInFlightAtPace(const std::string &service) const
{
    double sum = 0;
    double count = 0;
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.announcement.service() != service || !this->isEligible(endpoint) || !endpoint.pace.isAtPace()) {
            continue;
        }
        sum += static_cast<double>(DirectEndpoints::inFlight(endpoint));
        ++count;
    }
    return count > 0 ? sum / count : 0;
}

void DirectEndpoints::preferOpen(std::vector<const KnownEndpoint *> &candidates)
{
    const auto isClosed = [](const KnownEndpoint *endpoint) {
        return !endpoint->pace.canTake(DirectEndpoints::inFlight(*endpoint));
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isClosed)) {
        std::erase_if(candidates, isClosed);
    }
}

bool DirectEndpoints::canEject(const std::string &service, std::uint64_t nowMs) const
{
    std::size_t ready = 0;
    std::size_t ejected = 0;
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.announcement.service() != service || !this->isEligible(endpoint)) {
            continue;
        }
        ++ready;
        ejected += endpoint.ejectedUntilMs > nowMs ? 1 : 0;
    }
    return 2 * (ejected + 1) <= ready + 1;
}

void DirectEndpoints::eject(KnownEndpoint &endpoint, std::uint64_t nowMs) const
{
    if (endpoint.ejectedUntilMs > nowMs || !this->canEject(endpoint.announcement.service(), nowMs)) {
        return;
    }
    this->startPace(endpoint);
    endpoint.ejectedUntilMs = nowMs + (this->options.baseEjectionMs << std::min(endpoint.ejections, MaxEjectionDoublings));
    ++endpoint.ejections;
    endpoint.consecutiveFailures = 0;
    endpoint.failedShare = 0;
}

void DirectEndpoints::recordLeaving(const std::string &name)
{
    const auto found = this->known.find(name);
    if (found != this->known.end() && !std::exchange(found->second.isLeaving, true)) {
        this->changedServices.insert(found->second.announcement.service());
    }
}

void DirectEndpoints::recordPause(const std::string &name, std::uint64_t pauseMs, std::uint64_t nowMs)
{
    const auto found = this->known.find(name);
    if (found != this->known.end()) {
        found->second.pausedUntilMs = std::max(found->second.pausedUntilMs, nowMs + pauseMs);
        this->startPace(found->second);
    }
}

std::uint64_t DirectEndpoints::pauseLeftMs(const std::string &service, std::uint64_t nowMs) const
{
    std::optional<std::uint64_t> leastMs;
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.announcement.service() == service && this->isEligible(endpoint)) {
            const std::uint64_t leftMs = endpoint.pausedUntilMs - std::min(endpoint.pausedUntilMs, nowMs);
            leastMs = std::min(leastMs.value_or(leftMs), leftMs);
        }
    }
    return leastMs.value_or(0);
}

void DirectEndpoints::recordCrash(const std::string &name, std::uint64_t nowMs)
{
    const auto found = this->known.find(name);
    if (found != this->known.end()) {
        this->eject(found->second, nowMs);
    }
}

void DirectEndpoints::recordEnd(const EndpointChoice &choice, AttemptOutcome outcome, bool wasAnswered, std::uint64_t nowMs)
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return;
    }
    KnownEndpoint &endpoint = found->second;
    endpoint.running -= std::min<std::uint64_t>(endpoint.running, 1);
    if (!wasAnswered) {
        endpoint.pendingPrefillMs = std::max(0.0, endpoint.pendingPrefillMs - this->prefillMs(choice.model, choice.uncachedTokens));
    }
    if (outcome == AttemptOutcome::Complete) {
        endpoint.consecutiveFailures = 0;
        endpoint.ejections = 0;
    }
    if (outcome == AttemptOutcome::Complete || isFailure(outcome)) {
        endpoint.failedShare += FailureWeight * ((isFailure(outcome) ? 1 : 0) - endpoint.failedShare);
    }
    if (isFailure(outcome)) {
        ++endpoint.consecutiveFailures;
    }
    if (isFailure(outcome) || outcome == AttemptOutcome::Refused) {
        endpoint.pace.recordFailure();
    }
    const bool isUnreachable = outcome == AttemptOutcome::Unreachable;
    if (isUnreachable || endpoint.consecutiveFailures >= this->options.ejectAfterFailures || endpoint.failedShare > this->options.maxFailedShare) {
        this->eject(endpoint, nowMs);
    }
    const bool isRemovable = endpoint.announcement.state() == Wire::ANNOUNCED_STATE_GONE && endpoint.running == 0;
    if (isRemovable) {
        this->removeEndpoint(choice.endpoint);
    }
}

bool DirectEndpoints::isOvertaken(const EndpointChoice &choice, std::uint64_t startedMs) const
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return true;
    }
    const std::uint64_t *answeredMs = found->second.lastAnsweredSentMs.find(uniformHash(choice.model));
    return answeredMs != nullptr && *answeredMs > startedMs + this->options.overtakenMarginMs;
}

bool DirectEndpoints::isReady(const std::string &name) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && DirectEndpoints::isReady(found->second);
}

bool DirectEndpoints::isReady(const KnownEndpoint &endpoint)
{
    return endpoint.announcement.state() == Wire::ANNOUNCED_STATE_READY && !endpoint.isLeaving;
}

bool DirectEndpoints::isEligible(const KnownEndpoint &endpoint) const
{
    return DirectEndpoints::isReady(endpoint) && !this->evacuatedZones.contains(endpoint.announcement.availability_zone());
}

std::size_t DirectEndpoints::readyCount(const std::string &service) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [this, &service](const auto &entry) {
        return entry.second.announcement.service() == service && this->isEligible(entry.second);
    }));
}

std::size_t DirectEndpoints::pacedCount(const std::string &service) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [this, &service](const auto &entry) {
        return entry.second.announcement.service() == service && this->isEligible(entry.second) && !entry.second.pace.isAtPace();
    }));
}

} // namespace Apricothead
