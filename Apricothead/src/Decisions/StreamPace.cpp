#include "StreamPace.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Apricothead {
namespace {

constexpr std::uint64_t MinEvents = 4;

std::uint64_t countFrom(const PaceCounts &counts, std::size_t first)
{
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first), counts.end(), std::uint64_t{0});
}

std::size_t medianClass(const PaceCounts &counts)
{
    const std::uint64_t all = countFrom(counts, 0);
    std::size_t median = 0;
    while (median + 1 < PaceClassCount && 2 * countFrom(counts, median + 1) > all) {
        ++median;
    }
    return median;
}

/** \returns the probability of \a count or more hits in \a draws that hit with \a probability each */
double chanceOfAtLeast(std::uint64_t count, std::uint64_t draws, double probability)
{
    double below = 0;
    double exactly = std::exp(static_cast<double>(draws) * std::log1p(-probability));
    for (std::uint64_t hits = 0; hits < count; ++hits) {
        below += exactly;
        exactly *= static_cast<double>(draws - hits) / static_cast<double>(hits + 1) * probability / (1 - probability);
    }
    return std::max(0.0, 1 - below);
}

} // namespace

std::size_t paceClass(std::uint64_t elapsedMs, std::uint64_t events)
{
    const double paceMs = static_cast<double>(elapsedMs) / static_cast<double>(std::max(events, MinEvents));
    if (paceMs < 1) {
        return 0;
    }
    return std::min(PaceClassCount - 1, static_cast<std::size_t>(2 * std::log2(paceMs)));
}

std::optional<SlowStreams> findSlowStreams(const PaceCounts &target, const PaceCounts &former, const SlowStreamOptions &options)
{
    const std::uint64_t formerAll = countFrom(former, 0);
    if (formerAll < options.minFormer) {
        return std::nullopt;
    }
    const std::uint64_t all = countFrom(target, 0);
    for (std::size_t bound = medianClass(former) + options.minClassesAboveMedian; bound < PaceClassCount; ++bound) {
        const SlowStreams found{.slow = countFrom(target, bound), .all = all};
        if (found.slow < options.minSlow) {
            break;
        }
        // The mean under Jeffreys' prior: of a few sound streams none is slow by chance.
        const double share = (static_cast<double>(countFrom(former, bound)) + 0.5) / static_cast<double>(formerAll + 1);
        if (chanceOfAtLeast(found.slow, found.all, share) < options.maxChance) {
            return found;
        }
    }
    return std::nullopt;
}

} // namespace Apricothead
