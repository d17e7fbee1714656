#include "TokenBucket.h"

#include <algorithm>
#include <limits>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, double burst, double nowMs) : rate(ratePerSecond), capacity(burst), storedTokens(burst), updatedMs(nowMs)
{ }

void TokenBucket::setRate(double ratePerSecond, double burst, double nowMs)
{
    const double now = this->level(nowMs);
    this->rate = ratePerSecond;
    this->capacity = burst;
    this->storedTokens = std::min(now, burst);
    this->updatedMs = nowMs;
}

double TokenBucket::level(double nowMs) const
{
    const double inflow = std::max(0.0, nowMs - this->updatedMs) / MsPerSecond * this->rate;
    return std::min(this->capacity, this->storedTokens + inflow);
}

double TokenBucket::waitMs(double amount, double nowMs) const
{
    const double missing = std::min(amount, this->capacity) - this->level(nowMs);
    if (missing <= 0) {
        return 0;
    }
    return this->rate > 0 ? missing / this->rate * MsPerSecond : std::numeric_limits<double>::max();
}

void TokenBucket::consume(double amount, double nowMs)
{
    this->storedTokens = std::min(this->capacity, this->level(nowMs) - amount);
    this->updatedMs = nowMs;
}

} // namespace Apricothead
