#include "PrefixMemory.h"

namespace Apricothead {

PrefixMemory::PrefixMemory(std::uint64_t capacityTokens) : capacity(capacityTokens)
{ }

void PrefixMemory::touch(std::uint64_t prefix, std::uint64_t tokens)
{
    const auto found = this->places.find(prefix);
    if (found != this->places.end()) {
        this->parts.splice(this->parts.begin(), this->parts, found->second);
        return;
    }
    this->parts.push_front({.prefix = prefix, .tokens = tokens});
    this->places.emplace(prefix, this->parts.begin());
    this->total += tokens;
    while (this->total > this->capacity && !this->parts.empty()) {
        this->total -= this->parts.back().tokens;
        this->places.erase(this->parts.back().prefix);
        this->parts.pop_back();
    }
}

bool PrefixMemory::holds(std::uint64_t prefix) const
{
    return this->places.contains(prefix);
}

std::size_t PrefixMemory::size() const
{
    return this->places.size();
}

} // namespace Apricothead
