#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <unordered_map>

namespace Apricothead {

/** \class PrefixCacheEstimate
 * \ingroup Decisions_Module
 * \brief Estimates the contents of an engine's prefix cache from the prompts sent to it, with least recently used (LRU) eviction.
 *
 * Designed for this load pattern: shared prompts that together need more cache memory than an engine has. An engine keeps some dozens of long
 * prompts, so a prompt that was sent long ago is no longer cached. Callers choose the lengths of parts, so the number of entries has a bound of
 * its own.
 */
class PrefixCacheEstimate
{
public:
    /** \a onInsert and \a onEvict are called with each prefix that is added or removed. */
    explicit PrefixCacheEstimate(std::uint64_t capacityTokens,
                                 std::function<void(std::uint64_t)> onInsert = {},
                                 std::function<void(std::uint64_t)> onEvict = {});
    PrefixCacheEstimate(const PrefixCacheEstimate &) = delete;
    PrefixCacheEstimate &operator=(const PrefixCacheEstimate &) = delete;

    /** Sets the number of prefixes to remember at most, and evicts those beyond it. */
    void setMaxPrefixes(std::size_t count);

    /** Records that a prompt beginning with \a prefix was sent. \a tokens: the length of the prefix's last part; with none, nothing is cached and
     * nothing remembered. */
    void touch(std::uint64_t prefix, std::uint64_t tokens);

    /** \returns whether the engine has \a prefix cached or is still processing it */
    bool contains(std::uint64_t prefix) const;

    std::size_t size() const;

    /** Removes all prefixes, as after a restart of the engine. */
    void clear();

private:
    struct Entry {
        std::uint64_t prefix = 0;
        std::uint64_t tokens = 0;
    };
    void evictOldest();
    void evictExcess();

    /** In tokens, as is total. */
    std::uint64_t capacity;
    std::size_t maxPrefixes = std::numeric_limits<std::size_t>::max();
    std::function<void(std::uint64_t)> onInsert;
    std::function<void(std::uint64_t)> onEvict;
    std::uint64_t total = 0;
    /** The most recently used first. */
    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entryByPrefix;
};

} // namespace Apricothead
