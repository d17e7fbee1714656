#include "ExpiryQueue.h"

namespace Apricothead {

void ExpiryQueue::add(std::int64_t timeMs, const std::string &name)
{
    this->items.emplace(timeMs, name);
}

void ExpiryQueue::remove(std::int64_t timeMs, const std::string &name)
{
    this->items.erase({timeMs, name});
}

void ExpiryQueue::clear()
{
    this->items.clear();
}

std::optional<std::string> ExpiryQueue::takeOlderThan(std::int64_t beforeMs)
{
    if (this->items.empty() || this->items.begin()->first >= beforeMs) {
        return std::nullopt;
    }
    std::string name = this->items.begin()->second;
    this->items.erase(this->items.begin());
    return name;
}

} // namespace Apricothead
