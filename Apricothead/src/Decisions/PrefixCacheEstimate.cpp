#include "PrefixCacheEstimate.h"

#include <utility>

namespace Apricothead {

PrefixCacheEstimate::PrefixCacheEstimate(std::uint64_t capacityTokens, std::function<void(std::uint64_t)> held, std::function<void(std::uint64_t)> dropped)
    : capacity(capacityTokens), onHeld(std::move(held)), onDropped(std::move(dropped))
{ }

void PrefixCacheEstimate::dropOldest()
{
    const Part oldest = this->parts.back();
    this->total -= oldest.tokens;
    this->places.erase(oldest.prefix);
    this->parts.pop_back();
    if (this->onDropped) {
        this->onDropped(oldest.prefix);
    }
}

void PrefixCacheEstimate::clear()
{
    while (!this->parts.empty()) {
        this->dropOldest();
    }
}

void PrefixCacheEstimate::touch(std::uint64_t prefix, std::uint64_t tokens)
{
    const auto found = this->places.find(prefix);
    if (found != this->places.end()) {
        this->parts.splice(this->parts.begin(), this->parts, found->second);
        return;
    }
    this->parts.push_front({.prefix = prefix, .tokens = tokens});
    this->places.emplace(prefix, this->parts.begin());
    this->total += tokens;
    if (this->onHeld) {
        this->onHeld(prefix);
    }
    while (this->total > this->capacity && !this->parts.empty()) {
        this->dropOldest();
    }
}

bool PrefixCacheEstimate::contains(std::uint64_t prefix) const
{
    return this->places.contains(prefix);
}

std::size_t PrefixCacheEstimate::size() const
{
    return this->places.size();
}

} // namespace Apricothead
