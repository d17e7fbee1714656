#include "ExpiryQueue.h"

namespace Apricothead {

void ExpiryQueue::add(std::int64_t timeMs, const std::string &name)
{
    this->entries.emplace(timeMs, name);
}

void ExpiryQueue::remove(std::int64_t timeMs, const std::string &name)
{
    this->entries.erase({timeMs, name});
}

void ExpiryQueue::clear()
{
    this->entries.clear();
}

std::optional<std::string> ExpiryQueue::popOlderThan(std::int64_t beforeMs)
{
    if (this->entries.empty() || this->entries.begin()->first >= beforeMs) {
        return std::nullopt;
    }
    std::string name = this->entries.begin()->second;
    this->entries.erase(this->entries.begin());
    return name;
}

} // namespace Apricothead
