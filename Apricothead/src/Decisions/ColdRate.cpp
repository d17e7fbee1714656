#include "ColdRate.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

constexpr double MsPerSecond = 1000;
/** Divisions of the turns that may be in use at a time: that of the gateways in touch, and that of those that are cut off. */
constexpr double Divisions = 2;
/** A second that begins inside a turn touches one turn more than it holds, and a request that is delayed on its way arrives in the next one. */
constexpr double TurnsAtTheEdges = 2;

} // namespace

ColdRate::ColdRate() : ColdRate(ColdRateOptions{})
{ }

ColdRate::ColdRate(ColdRateOptions given) : options(given)
{ }

void ColdRate::setPlace(std::uint32_t newRank, std::uint32_t newCount)
{
    this->rank = newRank;
    this->count = newCount;
}

double ColdRate::turnsPerSecond(double perSecond) const
{
    const double bound = perSecond * this->options.ratio + this->options.slack;
    // With a small bound the edges would leave no turns; half of the rate is then borne even twice.
    return std::max(std::min(perSecond, bound / Divisions - TurnsAtTheEdges), perSecond / Divisions);
}

std::uint64_t ColdRate::turnAt(double perSecond, std::uint64_t timeMs) const
{
    return static_cast<std::uint64_t>(static_cast<double>(timeMs) * this->turnsPerSecond(perSecond) / MsPerSecond);
}

bool ColdRate::canSend(const std::string &endpoint, double perSecond, std::uint64_t timeMs) const
{
    if (this->count == 0) {
        return false;
    }
    const std::uint64_t turn = this->turnAt(perSecond, timeMs);
    // Endpoints begin at different places, so that a gateway's turns at many cold endpoints don't coincide.
    const std::uint64_t start = XXH3_64bits(endpoint.data(), endpoint.size()) % this->count;
    if ((turn + start) % this->count != this->rank) {
        return false;
    }
    const auto used = this->usedTurns.find(endpoint);
    return used == this->usedTurns.end() || used->second != turn;
}

void ColdRate::recordSent(const std::string &endpoint, double perSecond, std::uint64_t timeMs)
{
    this->usedTurns[endpoint] = this->turnAt(perSecond, timeMs);
}

void ColdRate::forget(const std::string &endpoint)
{
    this->usedTurns.erase(endpoint);
}

} // namespace Apricothead
