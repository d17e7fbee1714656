#pragma once

#include <algorithm>
#include <cstdint>

namespace Apricothead {

/** For how long a permit is valid, from when the gateway sent the report that it answers. */
constexpr std::uint64_t PermitValidMs = 1000;

/** For how long a limit is remembered that no answer has named again. An endpoint that is asked names it sooner. */
constexpr std::uint64_t LimitValidMs = 60'000;

/** Times of what was said of a limit may differ by this much between processes that heard of the same answer. */
constexpr std::uint64_t LimitAgeErrorMs = 500;

/** \returns the weight of a gateway among those that share a limit. \a demand: requests a second; \a waiting: requests that wait for an endpoint */
inline double permitWeight(double demand, std::size_t waiting)
{
    /** A waiting request counts as much as this demand. */
    constexpr double WaitingWeight = 10;
    /** Gateways without measured demand have a chance, too. */
    constexpr double MinWeight = 0.1;
    return std::max(MinWeight, demand + WaitingWeight * static_cast<double>(waiting));
}

} // namespace Apricothead
