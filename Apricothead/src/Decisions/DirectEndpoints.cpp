#include "DirectEndpoints.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

/** Weight of the newest attempt in the share of failures: about ten attempts count. */
constexpr double FailedWeight = 0.1;
/** What an answer leaves of the former ones in the measured pace: about fifty count. */
constexpr double PaceKept = 0.98;
/** A prompt of fewer tokens says more of waiting than of an engine's pace. */
constexpr std::uint64_t LeastTimedTokens = 1000;
constexpr double SlowestTokensPerMs = 5;
constexpr double FastestTokensPerMs = 200;
/** An endpoint ejected again and again stays away for at most this many times the first time. */
constexpr unsigned MostEjectionDoublings = 2;
/** Endpoints that a gateway scores, for each that would be its own if they were shared out: replays of 6 gateways with 18 engines and of 29 with
 * 52 lose most with many more than this. */
constexpr std::size_t SamplesEach = 2;
constexpr std::size_t LeastSample = 4;
/** The least loaded of this many is among the best twentieth most of the time. */
constexpr std::size_t MostSample = 24;
/** A prompt that more engines hold than this has enough of them. */
constexpr std::size_t MostHolders = 8;

std::uint64_t hashOf(std::uint64_t seed, const void *data, std::size_t size)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

/** Names the prompt up to and including each part; the same parts under another model are another prompt. */
std::vector<std::uint64_t> chainOf(const EndpointQuery &question)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = hashOf(0, question.model.data(), question.model.size());
    for (const PromptPart &part : question.prompt) {
        hash = hashOf(hash, &part.id, sizeof(part.id));
        chain.push_back(hash);
    }
    return chain;
}

std::uint64_t allTokens(const std::vector<PromptPart> &prompt)
{
    std::uint64_t total = 0;
    for (const PromptPart &part : prompt) {
        total += part.tokens;
    }
    return total;
}

/** \returns tokens of the parts that the prompt begins with and that are all in \a memory */
std::uint64_t heldTokens(const PrefixCacheEstimate &memory, const EndpointQuery &question, const std::vector<std::uint64_t> &chain)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index < chain.size() && memory.contains(chain[index]); ++index) {
        tokens += question.prompt[index].tokens;
    }
    return tokens;
}

bool isFailure(AttemptOutcome end)
{
    return end == AttemptOutcome::Failed || end == AttemptOutcome::Incomplete || end == AttemptOutcome::Unreachable;
}

} // namespace

std::uint64_t sharedTokens(const std::vector<PromptPart> &prompt)
{
    return prompt.empty() ? 0 : allTokens(prompt) - prompt.back().tokens;
}

DirectEndpoints::DirectEndpoints() : DirectEndpoints(DirectEndpointsOptions{})
{ }

DirectEndpoints::DirectEndpoints(DirectEndpointsOptions given) : options(std::move(given))
{ }

std::vector<Wire::EndpointLoad> DirectEndpoints::ownLoads(std::uint64_t nowMs)
{
    std::vector<Wire::EndpointLoad> listed;
    for (auto &[name, endpoint] : this->known) {
        while (!endpoint.sentPrefixes.empty() && endpoint.sentPrefixes.front().atMs + this->options.toldMs < nowMs) {
            endpoint.sentPrefixes.pop_front();
        }
        if (endpoint.running == 0 && endpoint.sentPrefixes.empty()) {
            continue;
        }
        Wire::EndpointLoad &load = listed.emplace_back();
        load.set_endpoint(name);
        load.set_awaiting_ms(static_cast<std::uint32_t>(endpoint.awaitingMs));
        load.set_running(static_cast<std::uint32_t>(endpoint.running));
        for (const SentPrefix &sent : endpoint.sentPrefixes) {
            load.add_prefixes(sent.prefix);
            load.add_prefix_tokens(static_cast<std::uint32_t>(sent.tokens));
        }
    }
    return listed;
}

void DirectEndpoints::setOtherLoads(const std::vector<Wire::EndpointLoad> &loads)
{
    for (auto &[name, endpoint] : this->known) {
        endpoint.othersAwaitingMs = 0;
        endpoint.othersRunning = 0;
    }
    for (const Wire::EndpointLoad &load : loads) {
        const auto found = this->known.find(load.endpoint());
        if (found == this->known.end()) {
            continue;
        }
        Known &endpoint = found->second;
        endpoint.othersAwaitingMs = load.awaiting_ms();
        endpoint.othersRunning = load.running();
        for (int index = 0; index < std::min(load.prefixes_size(), load.prefix_tokens_size()); ++index) {
            endpoint.memory.touch(load.prefixes(index), load.prefix_tokens(index));
        }
    }
}

DirectEndpoints::Known::Known(DirectEndpoints &owner)
    : memory(
        owner.options.memoryTokens,
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

DirectEndpoints::Known &DirectEndpoints::knownOf(const std::string &endpoint)
{
    return this->known.try_emplace(endpoint, *this).first->second;
}

void DirectEndpoints::forget(const std::string &endpoint)
{
    const auto found = this->known.find(endpoint);
    found->second.memory.clear();
    this->known.erase(found);
}

void DirectEndpoints::group(const std::string &service)
{
    std::map<std::string, Group> &versions = this->groups[service];
    versions.clear();
    std::map<std::string, std::vector<std::string>> names;
    for (const auto &[name, endpoint] : this->known) {
        const Wire::EndpointAnnouncement &announcement = endpoint.announcement;
        if (announcement.state() != Wire::ANNOUNCED_STATE_READY || announcement.service() != service) {
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
    if (found != this->known.end() && found->second.announcement.born_ms() < announcement.born_ms()) {
        // A new incarnation has no history; what still runs belongs to the former one.
        Condition renewed;
        renewed.running = found->second.running;
        renewed.awaitingMs = found->second.awaitingMs;
        static_cast<Condition &>(found->second) = std::move(renewed);
        found->second.memory.clear();
    }
    Known &endpoint = this->knownOf(announcement.endpoint());
    const std::string formerService = endpoint.announcement.service();
    endpoint.announcement = announcement;
    const bool isOver = announcement.state() == Wire::ANNOUNCED_STATE_GONE && endpoint.running == 0;
    if (isOver) {
        this->forget(announcement.endpoint());
    }
    this->group(announcement.service());
    if (!formerService.empty() && formerService != announcement.service()) {
        this->group(formerService);
    }
}

bool DirectEndpoints::mayTake(const Known &endpoint, const EndpointQuery &question, bool ejectedToo, std::uint64_t nowMs) const
{
    if (!ejectedToo && endpoint.ejectedUntilMs > nowMs) {
        return false;
    }
    return std::find(question.avoid.begin(), question.avoid.end(), endpoint.announcement.endpoint()) == question.avoid.end();
}

void DirectEndpoints::setGatewayCount(std::uint32_t count)
{
    this->gateways = std::max(1U, count);
}

std::size_t DirectEndpoints::sampleSize(std::size_t members) const
{
    return std::clamp(SamplesEach * members / this->gateways, LeastSample, MostSample);
}

void DirectEndpoints::addSome(PromptState &state, const Group &group, const std::function<bool(const Known &)> &mayTake) const
{
    const std::size_t sample = this->sampleSize(group.members.size());
    const bool isLarge = group.members.size() > sample;
    std::uniform_int_distribution<std::size_t> any(0, group.members.size() - 1);
    for (std::size_t drawn = 0; isLarge && drawn < sample; ++drawn) {
        const Known &endpoint = *group.members[any(this->random)];
        if (mayTake(endpoint)) {
            state.candidates.push_back(&endpoint);
        }
    }
    if (isLarge && !state.candidates.empty()) {
        return;
    }
    for (const Known *endpoint : group.members) {
        if (mayTake(*endpoint)) {
            state.candidates.push_back(endpoint);
        }
    }
}

DirectEndpoints::PromptState DirectEndpoints::candidates(const EndpointQuery &question, bool wanted, bool ejectedToo, std::uint64_t nowMs) const
{
    PromptState state{.chain = chainOf(question)};
    const auto versions = this->groups.find(question.service);
    if (versions == this->groups.end()) {
        return state;
    }
    const auto mayTake = [&](const Known &endpoint) {
        return this->mayTake(endpoint, question, ejectedToo, nowMs);
    };
    bool isSampled = false;
    for (const auto &entry : versions->second) {
        const Group &group = entry.second;
        if (question.versions.matches(entry.first) != wanted) {
            continue;
        }
        this->addSome(state, group, mayTake);
        isSampled = isSampled || group.members.size() > this->sampleSize(group.members.size());
        // The last part is the request's own, or its session's: others share what stands before it.
        const bool isShared = state.home == nullptr && state.chain.size() > 1;
        const std::optional<std::size_t> home = isShared ? group.ring.findHome(state.chain[state.chain.size() - 2],
                                                                               [&](std::size_t index) {
                                                                                   return mayTake(*group.members[index]);
                                                                               })
                                                         : std::nullopt;
        state.home = home ? group.members[*home] : state.home;
    }
    if (isSampled) {
        this->addHolders(state, question, wanted, mayTake);
    }
    for (const Known *endpoint : state.candidates) {
        state.heldTokens = std::max(state.heldTokens, heldTokens(endpoint->memory, question, state.chain));
    }
    return state;
}

void DirectEndpoints::addHolders(PromptState &state, const EndpointQuery &question, bool wanted, const std::function<bool(const Known &)> &mayTake) const
{
    if (state.home != nullptr) {
        state.candidates.push_back(state.home);
    }
    std::size_t added = 0;
    // From the longest beginning to the shortest.
    for (std::size_t index = state.chain.size(); index-- > 0 && added < MostHolders;) {
        const auto held = this->holders.find(state.chain[index]);
        if (held == this->holders.end()) {
            continue;
        }
        for (const Known *endpoint : held->second) {
            const Wire::EndpointAnnouncement &announcement = endpoint->announcement;
            const bool isReady = announcement.state() == Wire::ANNOUNCED_STATE_READY && announcement.service() == question.service;
            if (added == MostHolders || !isReady || question.versions.matches(announcement.version()) != wanted || !mayTake(*endpoint)) {
                continue;
            }
            state.candidates.push_back(endpoint);
            ++added;
        }
    }
}

double DirectEndpoints::readingMs(const std::string &model, std::uint64_t tokens) const
{
    const auto measured = this->paces.find(model);
    const double tokensPerMs = measured == this->paces.end()
        ? this->options.tokensPerMs
        : std::clamp(measured->second.tokens / measured->second.tookMs, SlowestTokensPerMs, FastestTokensPerMs);
    return static_cast<double>(tokens) / tokensPerMs;
}

DirectEndpoints::Scored DirectEndpoints::score(const Known &endpoint, const EndpointQuery &question, const PromptState &state) const
{
    Scored scored{.endpoint = &endpoint, .isHome = &endpoint == state.home};
    const std::uint64_t cached = heldTokens(endpoint.memory, question, state.chain);
    scored.uncachedTokens = allTokens(question.prompt) - cached;
    const double readingMs = this->readingMs(question.model, scored.uncachedTokens);
    scored.expectedMs = endpoint.awaitingMs + endpoint.othersAwaitingMs + readingMs
        + this->options.perRunningMs * static_cast<double>(endpoint.running + endpoint.othersRunning);
    if (endpoint.announcement.availability_zone() != this->options.availabilityZone) {
        scored.expectedMs += this->options.otherZoneMs;
    }
    scored.rankMs = scored.expectedMs + (this->options.readingWeight - 1) * readingMs;
    // Nobody holds the shared parts: gateways that get such prompts at the same time agree on who reads them.
    const std::uint64_t shared = sharedTokens(question.prompt);
    if (scored.isHome && state.heldTokens < shared) {
        scored.rankMs -= this->options.readingWeight * this->readingMs(question.model, shared - state.heldTokens);
    }
    return scored;
}

std::optional<EndpointChoice> DirectEndpoints::choose(const EndpointQuery &question, std::uint64_t nowMs) const
{
    PromptState state = this->candidates(question, true, false, nowMs);
    std::string reason;
    if (state.candidates.empty()) {
        state = this->candidates(question, true, true, nowMs);
        reason = "last-resort";
    }
    if (state.candidates.empty() && question.versions.isFallbackAllowed) {
        state = this->candidates(question, false, false, nowMs);
        reason = "other-version";
    }
    if (state.candidates.empty()) {
        return std::nullopt;
    }
    Scored best;
    for (const Known *endpoint : state.candidates) {
        const Scored scored = this->score(*endpoint, question, state);
        if (best.endpoint == nullptr || scored.rankMs < best.rankMs) {
            best = scored;
        }
    }
    if (reason.empty()) {
        reason = best.isHome ? "home" : state.home == nullptr ? "least-loaded" : "spill";
    }
    const Wire::EndpointAnnouncement &announcement = best.endpoint->announcement;
    return EndpointChoice{
        .endpoint = announcement.endpoint(),
        .address = announcement.address(),
        .version = announcement.version(),
        .expectedMs = best.expectedMs,
        .uncachedTokens = best.uncachedTokens,
        .model = question.model,
        .reason = reason,
    };
}

void DirectEndpoints::recordStart(const EndpointQuery &question, const EndpointChoice &choice, std::uint64_t nowMs)
{
    Known &endpoint = this->knownOf(choice.endpoint);
    ++endpoint.running;
    endpoint.awaitingMs += this->readingMs(choice.model, choice.uncachedTokens);
    const std::vector<std::uint64_t> chain = chainOf(question);
    // The beginning last, as it is the part that is used most.
    for (std::size_t index = chain.size(); index-- > 0;) {
        endpoint.memory.touch(chain[index], question.prompt[index].tokens);
        endpoint.sentPrefixes.push_back({.prefix = chain[index], .tokens = question.prompt[index].tokens, .atMs = nowMs});
    }
}

void DirectEndpoints::recordAnswer(const EndpointChoice &choice, std::uint64_t tookMs, std::uint64_t nowMs)
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return;
    }
    Known &endpoint = found->second;
    endpoint.awaitingMs = std::max(0.0, endpoint.awaitingMs - this->readingMs(choice.model, choice.uncachedTokens));
    std::uint64_t &sentMs = endpoint.answeredSentMs[choice.model];
    sentMs = std::max(sentMs, nowMs - tookMs);
    const bool isTimed = choice.uncachedTokens >= LeastTimedTokens && tookMs > 0;
    if (isTimed) {
        Pace &pace = this->paces[choice.model];
        pace.tokens = PaceKept * pace.tokens + static_cast<double>(choice.uncachedTokens);
        pace.tookMs = PaceKept * pace.tookMs + static_cast<double>(tookMs);
    }
}

bool DirectEndpoints::mayEject(const std::string &service, std::uint64_t nowMs) const
{
    std::size_t ready = 0;
    std::size_t ejected = 0;
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.announcement.service() != service || endpoint.announcement.state() != Wire::ANNOUNCED_STATE_READY) {
            continue;
        }
        ++ready;
        ejected += endpoint.ejectedUntilMs > nowMs ? 1 : 0;
    }
    return 2 * (ejected + 1) <= ready + 1;
}

void DirectEndpoints::eject(Known &endpoint, std::uint64_t nowMs) const
{
    if (endpoint.ejectedUntilMs > nowMs || !this->mayEject(endpoint.announcement.service(), nowMs)) {
        return;
    }
    endpoint.ejectedUntilMs = nowMs + (this->options.ejectMs << std::min(endpoint.ejections, MostEjectionDoublings));
    ++endpoint.ejections;
    endpoint.failedInRow = 0;
    endpoint.failedShare = 0;
}

void DirectEndpoints::recordEnd(const EndpointChoice &choice, AttemptOutcome end, bool wasAnswered, std::uint64_t nowMs)
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return;
    }
    Known &endpoint = found->second;
    endpoint.running -= std::min<std::uint64_t>(endpoint.running, 1);
    if (!wasAnswered) {
        endpoint.awaitingMs = std::max(0.0, endpoint.awaitingMs - this->readingMs(choice.model, choice.uncachedTokens));
    }
    if (end == AttemptOutcome::Complete) {
        endpoint.failedInRow = 0;
        endpoint.ejections = 0;
    }
    if (end == AttemptOutcome::Complete || isFailure(end)) {
        endpoint.failedShare += FailedWeight * ((isFailure(end) ? 1 : 0) - endpoint.failedShare);
    }
    if (isFailure(end)) {
        ++endpoint.failedInRow;
    }
    const bool isUnreachable = end == AttemptOutcome::Unreachable;
    if (isUnreachable || endpoint.failedInRow >= this->options.failuresInRow || endpoint.failedShare > this->options.failedShare) {
        this->eject(endpoint, nowMs);
    }
    const bool isOver = endpoint.announcement.state() == Wire::ANNOUNCED_STATE_GONE && endpoint.running == 0;
    if (isOver) {
        this->forget(choice.endpoint);
    }
}

bool DirectEndpoints::isOvertaken(const EndpointChoice &choice, std::uint64_t startedMs) const
{
    const auto found = this->known.find(choice.endpoint);
    if (found == this->known.end()) {
        return true;
    }
    const auto answered = found->second.answeredSentMs.find(choice.model);
    return answered != found->second.answeredSentMs.end() && answered->second > startedMs + this->options.overtakenMs;
}

bool DirectEndpoints::isReady(const std::string &name) const
{
    const auto found = this->known.find(name);
    return found != this->known.end() && found->second.announcement.state() == Wire::ANNOUNCED_STATE_READY;
}

std::size_t DirectEndpoints::readyCount(const std::string &service) const
{
    return static_cast<std::size_t>(std::count_if(this->known.begin(), this->known.end(), [&service](const auto &entry) {
        return entry.second.announcement.service() == service && entry.second.announcement.state() == Wire::ANNOUNCED_STATE_READY;
    }));
}

} // namespace Apricothead
