#include "EndpointRing.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

/** Points of each endpoint on the ring. With this many, the endpoints' shares of the hashes differ by about 20%. */
constexpr std::uint64_t PointsPerEndpoint = 32;

} // namespace

EndpointRing::EndpointRing(const std::vector<std::string> &names)
{
    this->points.reserve(names.size() * PointsPerEndpoint);
    for (std::size_t index = 0; index < names.size(); ++index) {
        for (std::uint64_t number = 0; number < PointsPerEndpoint; ++number) {
            const std::uint64_t hash = XXH3_64bits_withSeed(names[index].data(), names[index].size(), number);
            this->points.push_back({.hash = hash, .index = static_cast<std::uint32_t>(index)});
        }
    }
    std::sort(this->points.begin(), this->points.end());
}

std::optional<std::size_t> EndpointRing::findHome(std::uint64_t hash, const std::function<bool(std::size_t)> &canServe) const
{
    const auto start = std::lower_bound(this->points.begin(), this->points.end(), Point{.hash = hash});
    const auto first = static_cast<std::size_t>(start - this->points.begin());
    for (std::size_t step = 0; step < this->points.size(); ++step) {
        const std::size_t index = this->points[(first + step) % this->points.size()].index;
        if (canServe(index)) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace Apricothead
