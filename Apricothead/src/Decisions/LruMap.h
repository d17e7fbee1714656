#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>

namespace Apricothead {

/** \class LruMap
 * \ingroup Decisions_Module
 * \brief A map with a bound on its entries, whose least recently used entry is evicted for a new one.
 *
 * For keys that come from outside, so that their number has no bound of its own.
 */
template <class Key, class Value>
class LruMap
{
public:
    explicit LruMap(std::size_t maximum) : maxEntries(maximum)
    { }
    LruMap(const LruMap &) = delete;
    LruMap &operator=(const LruMap &) = delete;
    LruMap(LruMap &&) noexcept = default;
    LruMap &operator=(LruMap &&) noexcept = default;
    ~LruMap() = default;

    /** \returns the value of \a key, added if need be, which becomes the most recently used */
    Value &touch(const Key &key)
    {
        const auto known = this->entryByKey.find(key);
        if (known != this->entryByKey.end()) {
            this->entries.splice(this->entries.begin(), this->entries, known->second);
            return known->second->second;
        }
        if (this->entries.size() >= this->maxEntries) {
            this->entryByKey.erase(this->entries.back().first);
            this->entries.pop_back();
            ++this->evictionCount;
        }
        this->entries.emplace_front(key, Value{});
        this->entryByKey.emplace(key, this->entries.begin());
        return this->entries.front().second;
    }

    /** \returns the value of \a key, null when there is none. Does not count as a use. */
    const Value *find(const Key &key) const
    {
        const auto known = this->entryByKey.find(key);
        return known == this->entryByKey.end() ? nullptr : &known->second->second;
    }
    Value *find(const Key &key)
    {
        const auto known = this->entryByKey.find(key);
        return known == this->entryByKey.end() ? nullptr : &known->second->second;
    }

    /** Removes the entries whose value \a predicate returns true for. */
    template <class Predicate>
    void eraseIf(const Predicate &predicate)
    {
        for (auto entry = this->entries.begin(); entry != this->entries.end();) {
            if (!predicate(entry->second)) {
                ++entry;
                continue;
            }
            this->entryByKey.erase(entry->first);
            entry = this->entries.erase(entry);
        }
    }

    std::size_t size() const
    {
        return this->entries.size();
    }
    /** \returns the number of entries that gave way to new ones */
    std::uint64_t evictions() const
    {
        return this->evictionCount;
    }

    /** The most recently used first. */
    auto begin() const
    {
        return this->entries.begin();
    }
    auto end() const
    {
        return this->entries.end();
    }

private:
    std::size_t maxEntries;
    std::uint64_t evictionCount = 0;
    std::list<std::pair<Key, Value>> entries;
    std::map<Key, typename std::list<std::pair<Key, Value>>::iterator> entryByKey;
};

} // namespace Apricothead
