#include "RequestDurations.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Apricothead {
namespace {

constexpr double ExpectedShare = 0.9;

} // namespace

void RequestDurations::record(const std::string &route, std::uint64_t tookMs)
{
    Recent &recent = this->routes[route];
    recent.tookMs[recent.count % recent.tookMs.size()] = tookMs;
    ++recent.count;
}

std::optional<std::uint64_t> RequestDurations::expectedMs(const std::string &route) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return std::nullopt;
    }
    const std::size_t count = std::min(found->second.count, found->second.tookMs.size());
    std::vector<std::uint64_t> sorted(found->second.tookMs.begin(), found->second.tookMs.begin() + static_cast<std::ptrdiff_t>(count));
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(ExpectedShare * static_cast<double>(count)));
    return sorted[rank - 1];
}

} // namespace Apricothead
