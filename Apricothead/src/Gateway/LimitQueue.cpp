#include "LimitQueue.h"

#include "../Transport/Ticker.h"

#include <iterator>
#include <vector>

namespace Apricothead {

LimitQueue::LimitQueue(Ticker &givenTicker, std::function<void(const std::string &, std::uint32_t)> givenOnCount)
    : ticker(givenTicker), onCount(std::move(givenOnCount))
{ }

LimitQueue::~LimitQueue()
{
    this->ticker.remove(this);
}

void LimitQueue::add(const void *key, const std::string &service, unsigned priority, std::function<void()> retry)
{
    this->remove(key);
    const Place place{priority, ++this->lastNumber};
    std::map<Place, Waiting> &waiting = this->services[service];
    waiting[place] = {.key = key, .retry = std::move(retry)};
    this->places[key] = {service, place};
    this->onCount(service, static_cast<std::uint32_t>(waiting.size()));
    // Turns come without a message that could tell of them.
    this->ticker.add(this, [this] {
        this->retryAll();
    });
}

void LimitQueue::remove(const void *key)
{
    const auto found = this->places.find(key);
    if (found == this->places.end()) {
        return;
    }
    const auto [service, place] = found->second;
    this->places.erase(found);
    const auto waiting = this->services.find(service);
    waiting->second.erase(place);
    this->onCount(service, static_cast<std::uint32_t>(waiting->second.size()));
    if (waiting->second.empty()) {
        this->services.erase(waiting);
    }
    if (this->places.empty()) {
        this->ticker.remove(this);
    }
}

void LimitQueue::retryAll()
{
    std::vector<Waiting> ordered;
    for (const auto &[service, waiting] : this->services) {
        for (const auto &[place, request] : waiting) {
            ordered.push_back(request);
        }
    }
    for (const Waiting &request : ordered) {
        // A retry may end other requests.
        if (this->places.contains(request.key)) {
            request.retry();
        }
    }
}

std::size_t LimitQueue::ahead(const std::string &service, unsigned priority) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::distance(found->second.begin(), found->second.lower_bound({priority + 1, 0})));
}

std::size_t LimitQueue::size() const
{
    return this->places.size();
}

} // namespace Apricothead
