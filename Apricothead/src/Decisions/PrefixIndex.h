#pragma once

#include "Routing.h"

#include <list>
#include <string_view>
#include <unordered_map>

namespace Apricothead {

/** \class PrefixBlock
 * \ingroup Decisions_Module
 * \brief A prefix of a prompt: the hash of its bytes, and its share of the length of the prompt, 0 to 1.
 */
struct PrefixBlock {
    std::uint64_t hash = 0;
    double share = 0;

    bool operator==(const PrefixBlock &) const = default;
};

/** Hashes the prefixes of a prompt that end with one of its messages. \returns at most eight of them, the longest first */
std::vector<PrefixBlock> prefixChain(const std::vector<std::string_view> &messages);

/** \class PrefixIndexOptions
 * \ingroup Decisions_Module
 * \brief Limits on the size of a PrefixIndex, and the decay of its entries.
 */
struct PrefixIndexOptions {
    std::size_t maxPrefixes = 20000;
    std::size_t maxEndpointsPerPrefix = 4;
    /** Time after which the share of an entry is discounted to 1/e. */
    double decayMs = 120000;
    /** Entries with a lower discounted share are ignored. */
    double minShare = 0.05;
};

/** \class PrefixIndex
 * \ingroup Decisions_Module
 * \brief Estimates which endpoints have which prefixes cached.
 *
 * Updated from this entry's own dispatches, which are known immediately, and from the engines' cache events, which are delayed and incomplete.
 * So the entries are estimates: they decay with time, and a wrong one costs the prefill of a prompt. The size is limited; the least recently used
 * prefix is evicted first.
 * \sa RoutingRequest::prefixes
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /** Records that this entry sent a request with the prefixes of \a chain to \a endpoint. */
    void recordDispatch(const std::vector<PrefixBlock> &chain, const std::string &endpoint, double nowMs);

    /** Records that the engine reported, \a eventAgeMs ago, that it has cached or evicted the prefix. An eviction does not apply to a later dispatch. */
    void recordCacheEvent(std::uint64_t hash, const std::string &endpoint, bool evicted, double eventAgeMs, double nowMs);

    /** Removes an endpoint that restarted or left, as its cache is lost. */
    void removeEndpoint(const std::string &endpoint);

    /** \returns at most four endpoints that probably have a prefix of the prompt cached, the largest discounted share first */
    std::vector<PrefixCandidate> lookup(const std::vector<PrefixBlock> &chain, double nowMs) const;

    std::size_t size() const;

private:
    struct Holder {
        std::uint32_t endpoint = 0;
        double seenMs = 0;
    };
    struct Entry {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator position;
    };

    std::uint32_t idOf(const std::string &endpoint);
    void record(std::uint64_t hash, std::uint32_t endpoint, double seenMs);

    PrefixIndexOptions options;
    std::unordered_map<std::uint64_t, Entry> entries;
    /** The most recently used first. */
    std::list<std::uint64_t> recentlyUsed;
    std::unordered_map<std::string, std::uint32_t> idByEndpoint;
    /** Name by id. Cleared when the endpoint is removed, so that old entries no longer refer to it. */
    std::vector<std::string> endpoints;
};

} // namespace Apricothead
