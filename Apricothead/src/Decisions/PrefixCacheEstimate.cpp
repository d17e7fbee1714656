#include "PrefixCacheEstimate.h"

#include <utility>

namespace Apricothead {

PrefixCacheEstimate::PrefixCacheEstimate(std::uint64_t capacityTokens, std::function<void(std::uint64_t)> inserted, std::function<void(std::uint64_t)> evicted)
    : capacity(capacityTokens), onInsert(std::move(inserted)), onEvict(std::move(evicted))
{ }

void PrefixCacheEstimate::evictOldest()
{
    const Entry oldest = this->entries.back();
    this->total -= oldest.tokens;
    this->entryByPrefix.erase(oldest.prefix);
    this->entries.pop_back();
    if (this->onEvict) {
        this->onEvict(oldest.prefix);
    }
}

void PrefixCacheEstimate::evictExcess()
{
    while (!this->entries.empty() && (this->total > this->capacity || this->entries.size() > this->maxPrefixes)) {
        this->evictOldest();
    }
}

void PrefixCacheEstimate::setMaxPrefixes(std::size_t count)
{
    this->maxPrefixes = count;
    this->evictExcess();
}

void PrefixCacheEstimate::clear()
{
    while (!this->entries.empty()) {
        this->evictOldest();
    }
}

void PrefixCacheEstimate::touch(std::uint64_t prefix, std::uint64_t tokens)
{
    if (tokens == 0) {
        return;
    }
    const auto found = this->entryByPrefix.find(prefix);
    if (found != this->entryByPrefix.end()) {
        this->entries.splice(this->entries.begin(), this->entries, found->second);
        return;
    }
    this->entries.push_front({.prefix = prefix, .tokens = tokens});
    this->entryByPrefix.emplace(prefix, this->entries.begin());
    this->total += tokens;
    if (this->onInsert) {
        this->onInsert(prefix);
    }
    this->evictExcess();
}

bool PrefixCacheEstimate::contains(std::uint64_t prefix) const
{
    return this->entryByPrefix.contains(prefix);
}

std::size_t PrefixCacheEstimate::size() const
{
    return this->entryByPrefix.size();
}

} // namespace Apricothead
