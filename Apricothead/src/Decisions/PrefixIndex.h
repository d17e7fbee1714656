#pragma once

#include "Routing.h"

#include <list>
#include <string_view>
#include <unordered_map>

namespace Apricothead {

/** \class PrefixBlock
 * \ingroup Decisions_Module
 * \brief One leading part of a prompt: the hash of all bytes up to its end, and its share of the prompt.
 */
struct PrefixBlock {
    std::uint64_t hash = 0;
    double share = 0;

    bool operator==(const PrefixBlock &) const = default;
};

/** Hashes the leading parts of a prompt at the ends of its messages. \returns the longest first, at most eight */
std::vector<PrefixBlock> prefixChain(const std::vector<std::string_view> &messages);

/** \class PrefixIndexOptions
 * \ingroup Decisions_Module
 * \brief Bounds on what a PrefixIndex remembers and how long it trusts it.
 */
struct PrefixIndexOptions {
    std::size_t maxPrefixes = 20000;
    std::size_t maxEndpointsPerPrefix = 4;
    /** After this time the trust in a hint is 1/e. */
    double decayMs = 120000;
    double minShare = 0.05;
};

/** \class PrefixIndex
 * \ingroup Decisions_Module
 * \brief Remembers which endpoints are thought to hold which prefixes.
 *
 * Fed by this entry's own dispatches, which are never late, and by the engines' cache events, which are late and have gaps.
 * So a hint is no fact: it decays, and a wrong one costs a prefill. Memory is bounded; the prefix used least recently goes first.
 * \sa RoutingRequest::prefixes
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /** This entry sent a request with these parts to \a endpoint. */
    void recordDispatch(const std::vector<PrefixBlock> &chain, const std::string &endpoint, double nowMs);

    /** The engine said, \a eventAgeMs ago, that it holds the prefix or has evicted it. A dispatch after the event outweighs it. */
    void recordCacheEvent(std::uint64_t hash, const std::string &endpoint, bool evicted, double eventAgeMs, double nowMs);

    /** The endpoint restarted or left: its cache is gone. */
    void removeEndpoint(const std::string &endpoint);

    /** \returns endpoints thought to hold a leading part of the prompt, the largest discounted share first */
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
    std::list<std::uint64_t> recentlyUsed;
    std::unordered_map<std::string, std::uint32_t> idByEndpoint;
    /** Name by id; empty once forgotten, so that old hints name nobody. */
    std::vector<std::string> endpoints;
};

} // namespace Apricothead
