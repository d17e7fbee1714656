#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Apricothead {

/** Classes of the time that a stream takes for an event: class n begins at the n-th power of the square root of two, in ms. */
constexpr std::size_t PaceClassCount = 28;

/** Streams in each class. */
using PaceCounts = std::array<std::uint64_t, PaceClassCount>;

/**
 * \returns the class of a stream that went on for \a elapsedMs after its first event and had \a events more. A pause at the start of a stream says
 * little on its pace, so the time is shared among a few events at least.
 */
std::size_t paceClass(std::uint64_t elapsedMs, std::uint64_t events);

/** Bounds of findSlowStreams(). */
struct SlowStreamOptions {
    /** Streams of the former version that make its share of slow ones known. */
    std::uint64_t minFormer = 30;
    std::uint64_t minSlow = 3;
    /** A stream can only be slow from this many classes above the former version's median on: at least 2.8 times as slow. Endpoints of a canary
     * carry less load than those of the former version, so that a sound one is the faster. */
    std::size_t minClassesAboveMedian = 4;
    /** The probability that a sound version would have as many slow streams. Small, as it is tested often, on each route and at each bound. */
    double maxChance = 5e-5;
};

/** Slow streams of a version. */
struct SlowStreams {
    std::uint64_t slow = 0;
    std::uint64_t all = 0;

    bool operator==(const SlowStreams &) const = default;
};

/**
 * Compares streams one by one, not by the mean time for an event: of a version that is slow on a part of its streams, those that are cut or still
 * under way have too few events to move the mean.
 * \returns the slow streams of a version if it has more than \a former explains
 */
std::optional<SlowStreams> findSlowStreams(const PaceCounts &target, const PaceCounts &former, const SlowStreamOptions &options = {});

} // namespace Apricothead
