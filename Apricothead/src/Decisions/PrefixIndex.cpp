#include "PrefixIndex.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace Apricothead {

namespace {

constexpr std::size_t MaxChainLength = 8;
constexpr std::size_t MaxCandidates = 4;

} // namespace

std::vector<PrefixBlock> prefixChain(const std::vector<std::string_view> &messages)
{
    std::size_t total = 0;
    for (const std::string_view message : messages) {
        total += message.size();
    }
    if (total == 0) {
        return {};
    }
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::vector<PrefixBlock> chain;
    std::size_t covered = 0;
    for (const std::string_view message : messages) {
        const std::uint64_t length = message.size();
        XXH3_64bits_update(state.get(), &length, sizeof length);
        XXH3_64bits_update(state.get(), message.data(), message.size());
        covered += message.size();
        chain.push_back({.hash = XXH3_64bits_digest(state.get()), .share = static_cast<double>(covered) / static_cast<double>(total)});
    }
    std::reverse(chain.begin(), chain.end());
    if (chain.size() > MaxChainLength) {
        // The shortest prefix is kept, as it is the instruction that many prompts have in common.
        chain[MaxChainLength - 1] = chain.back();
        chain.resize(MaxChainLength);
    }
    return chain;
}

PrefixIndex::PrefixIndex(PrefixIndexOptions bounds) : options(bounds)
{ }

std::uint32_t PrefixIndex::idOf(const std::string &endpoint)
{
    const auto [known, added] = this->idByEndpoint.try_emplace(endpoint, static_cast<std::uint32_t>(this->endpoints.size()));
    if (added) {
        this->endpoints.push_back(endpoint);
    }
    return known->second;
}

void PrefixIndex::record(std::uint64_t hash, std::uint32_t endpoint, double seenMs)
{
    const auto [found, added] = this->entries.try_emplace(hash);
    Entry &entry = found->second;
    if (added) {
        this->recentlyUsed.push_front(hash);
        entry.position = this->recentlyUsed.begin();
    } else {
        this->recentlyUsed.splice(this->recentlyUsed.begin(), this->recentlyUsed, entry.position);
    }
    const auto holder = std::find_if(entry.holders.begin(), entry.holders.end(), [endpoint](const Holder &known) {
        return known.endpoint == endpoint;
    });
    if (holder != entry.holders.end()) {
        holder->seenMs = std::max(holder->seenMs, seenMs);
    } else if (entry.holders.size() < this->options.maxEndpointsPerPrefix) {
        entry.holders.push_back({.endpoint = endpoint, .seenMs = seenMs});
    } else {
        auto oldest = std::min_element(entry.holders.begin(), entry.holders.end(), [](const Holder &a, const Holder &b) {
            return a.seenMs < b.seenMs;
        });
        *oldest = {.endpoint = endpoint, .seenMs = seenMs};
    }
    if (this->entries.size() > this->options.maxPrefixes) {
        this->entries.erase(this->recentlyUsed.back());
        this->recentlyUsed.pop_back();
    }
}

void PrefixIndex::recordDispatch(const std::vector<PrefixBlock> &chain, const std::string &endpoint, double nowMs)
{
    const std::uint32_t id = this->idOf(endpoint);
    for (const PrefixBlock &block : chain) {
        this->record(block.hash, id, nowMs);
    }
}

void PrefixIndex::recordCacheEvent(std::uint64_t hash, const std::string &endpoint, bool evicted, double eventAgeMs, double nowMs)
{
    const double eventMs = nowMs - eventAgeMs;
    if (!evicted) {
        this->record(hash, this->idOf(endpoint), eventMs);
        return;
    }
    const auto found = this->entries.find(hash);
    const auto known = this->idByEndpoint.find(endpoint);
    if (found == this->entries.end() || known == this->idByEndpoint.end()) {
        return;
    }
    std::erase_if(found->second.holders, [&](const Holder &holder) {
        return holder.endpoint == known->second && holder.seenMs <= eventMs;
    });
}

void PrefixIndex::removeEndpoint(const std::string &endpoint)
{
    const auto known = this->idByEndpoint.find(endpoint);
    if (known == this->idByEndpoint.end()) {
        return;
    }
    this->endpoints[known->second].clear();
    this->idByEndpoint.erase(known);
}

std::vector<PrefixCandidate> PrefixIndex::lookup(const std::vector<PrefixBlock> &chain, double nowMs) const
{
    std::vector<PrefixCandidate> candidates;
    for (const PrefixBlock &block : chain) {
        const auto found = this->entries.find(block.hash);
        if (found == this->entries.end()) {
            continue;
        }
        for (const Holder &holder : found->second.holders) {
            const std::string &name = this->endpoints[holder.endpoint];
            const double share = block.share * std::exp(-std::max(0.0, nowMs - holder.seenMs) / this->options.decayMs);
            if (name.empty() || share < this->options.minShare) {
                continue;
            }
            const auto listed = std::find_if(candidates.begin(), candidates.end(), [&name](const PrefixCandidate &candidate) {
                return candidate.endpoint == name;
            });
            if (listed != candidates.end()) {
                listed->share = std::max(listed->share, share);
                continue;
            }
            candidates.push_back({.endpoint = name, .share = share});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const PrefixCandidate &a, const PrefixCandidate &b) {
        return a.share > b.share;
    });
    if (candidates.size() > MaxCandidates) {
        candidates.resize(MaxCandidates);
    }
    return candidates;
}

std::size_t PrefixIndex::size() const
{
    return this->entries.size();
}

} // namespace Apricothead
