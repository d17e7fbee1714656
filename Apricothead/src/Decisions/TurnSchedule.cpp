#include "TurnSchedule.h"

#include <xxhash.h>

namespace Apricothead {
namespace {

std::uint64_t turnAt(double perSecond, std::uint64_t timeMs)
{
    constexpr double MsPerSecond = 1000;
    return static_cast<std::uint64_t>(static_cast<double>(timeMs) * perSecond / MsPerSecond);
}

} // namespace

void TurnSchedule::setPlace(std::uint32_t newRank, std::uint32_t newCount)
{
    this->rank = newRank;
    this->count = newCount;
}

bool TurnSchedule::canSend(const std::string &endpoint, double perSecond, std::uint64_t timeMs) const
{
    if (this->count == 0) {
        return false;
    }
    const std::uint64_t turn = turnAt(perSecond, timeMs);
    // Endpoints begin at different places, so that a gateway's turns at many endpoints don't coincide.
    const std::uint64_t start = XXH3_64bits(endpoint.data(), endpoint.size()) % this->count;
    if ((turn + start) % this->count != this->rank) {
        return false;
    }
    const auto used = this->usedTurns.find(endpoint);
    return used == this->usedTurns.end() || used->second != turn;
}

void TurnSchedule::recordSent(const std::string &endpoint, double perSecond, std::uint64_t timeMs)
{
    this->usedTurns[endpoint] = turnAt(perSecond, timeMs);
}

void TurnSchedule::forget(const std::string &endpoint)
{
    this->usedTurns.erase(endpoint);
}

} // namespace Apricothead
