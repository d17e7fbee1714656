#include "DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

DecayingRate::DecayingRate(double givenAveragingMs) : averagingMs(givenAveragingMs)
{ }

void DecayingRate::add(double amount, double nowMs)
{
    constexpr double MsPerSecond = 1000;
    this->rate = this->perSecond(nowMs) + amount * MsPerSecond / this->averagingMs;
    this->updatedMs = nowMs;
}

double DecayingRate::perSecond(double nowMs) const
{
    return this->rate * std::exp(-std::max(0.0, nowMs - this->updatedMs) / this->averagingMs);
}

} // namespace Apricothead
