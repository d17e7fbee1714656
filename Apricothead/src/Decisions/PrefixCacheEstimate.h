#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace Apricothead {

/** \class PrefixCacheEstimate
 * \ingroup Decisions_Module
 * \brief What an engine's cache is thought to hold: the prompts sent to it, the least recently used left out.
 *
 * Answers this load: shared prompts whose readings compete for less memory than they need. An engine keeps some dozens of long prompts, so
 * one that was sent long ago has been read for nothing.
 */
class PrefixCacheEstimate
{
public:
    /** \a onHeld and \a onDropped tell of prefixes that come and go. */
    explicit PrefixCacheEstimate(std::uint64_t capacityTokens,
                                 std::function<void(std::uint64_t)> onInsert = {},
                                 std::function<void(std::uint64_t)> onEvict = {});
    PrefixCacheEstimate(const PrefixCacheEstimate &) = delete;
    PrefixCacheEstimate &operator=(const PrefixCacheEstimate &) = delete;

    /** A prompt that begins with \a prefix is sent; its last part adds \a tokens to the part before. */
    void touch(std::uint64_t prefix, std::uint64_t tokens);

    /** \returns true also for what is still being read */
    bool contains(std::uint64_t prefix) const;

    std::size_t size() const;

    /** Forgets everything. */
    void clear();

private:
    struct Entry {
        std::uint64_t prefix = 0;
        std::uint64_t tokens = 0;
    };
    void evictOldest();

    std::uint64_t capacity;
    std::function<void(std::uint64_t)> onInsert;
    std::function<void(std::uint64_t)> onEvict;
    std::uint64_t total = 0;
    /** The most recently used first. */
    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entryByPrefix;
};

} // namespace Apricothead
