#include "ColdRate.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** Divisions of the turns that may be in use at a time: that of the gateways in touch, and that of those that are cut off. */
constexpr double Divisions = 2;
/** A second that begins inside a turn touches one turn more than it holds, and a request that is delayed on its way arrives in the next one. */
constexpr double TurnsAtTheEdges = 2;

} // namespace

ColdRate::ColdRate() : ColdRate(ColdRateOptions{})
{ }

ColdRate::ColdRate(ColdRateOptions given) : options(given)
{ }

void ColdRate::setPlace(std::uint32_t rank, std::uint32_t count)
{
    this->turns.setPlace(rank, count);
}

double ColdRate::turnsPerSecond(double perSecond) const
{
    const double bound = perSecond * this->options.ratio + this->options.slack;
    // With a small bound the edges would leave no turns; half of the rate is then borne even twice.
    return std::max(std::min(perSecond, bound / Divisions - TurnsAtTheEdges), perSecond / Divisions);
}

bool ColdRate::canSend(const std::string &endpoint, double perSecond, std::uint64_t timeMs) const
{
    return this->turns.canSend(endpoint, this->turnsPerSecond(perSecond), timeMs);
}

void ColdRate::recordSent(const std::string &endpoint, double perSecond, std::uint64_t timeMs)
{
    this->turns.recordSent(endpoint, this->turnsPerSecond(perSecond), timeMs);
}

void ColdRate::forget(const std::string &endpoint)
{
    this->turns.forget(endpoint);
}

} // namespace Apricothead
