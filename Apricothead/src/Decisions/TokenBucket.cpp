#include "TokenBucket.h"

#include <algorithm>
#include <limits>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, double burst, double nowMs) : rate(ratePerSecond), bound(burst), filled(burst), filledAtMs(nowMs)
{ }

void TokenBucket::setRate(double ratePerSecond, double burst, double nowMs)
{
    const double now = this->level(nowMs);
    this->rate = ratePerSecond;
    this->bound = burst;
    this->filled = std::min(now, burst);
    this->filledAtMs = nowMs;
}

double TokenBucket::level(double nowMs) const
{
    const double inflow = std::max(0.0, nowMs - this->filledAtMs) / MsPerSecond * this->rate;
    return std::min(this->bound, this->filled + inflow);
}

double TokenBucket::waitMs(double amount, double nowMs) const
{
    const double missing = std::min(amount, this->bound) - this->level(nowMs);
    if (missing <= 0) {
        return 0;
    }
    return this->rate > 0 ? missing / this->rate * MsPerSecond : std::numeric_limits<double>::max();
}

void TokenBucket::take(double amount, double nowMs)
{
    this->filled = std::min(this->bound, this->level(nowMs) - amount);
    this->filledAtMs = nowMs;
}

} // namespace Apricothead
