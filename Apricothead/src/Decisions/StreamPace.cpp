#include "StreamPace.h"

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::size_t MinGaps = 4;
/** Gaps of more than this many times the median are pauses. Events that hold several tokens come in turns of unequal length. */
constexpr std::uint64_t PauseFactor = 3;

} // namespace

void StreamPace::recordEvent(std::uint64_t nowMs)
{
    if (this->lastEventMs && !this->isComplete()) {
        this->gaps[this->gapCount++] = nowMs - std::min(nowMs, *this->lastEventMs);
    }
    this->lastEventMs = nowMs;
}

void StreamPace::recordInterruption()
{
    this->lastEventMs.reset();
}

bool StreamPace::isComplete() const
{
    return this->gapCount == MaxGaps;
}

std::optional<double> StreamPace::gapMs() const
{
    if (this->gapCount < MinGaps) {
        return std::nullopt;
    }
    std::array<std::uint64_t, MaxGaps> sorted = this->gaps;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(this->gapCount));
    const std::uint64_t median = sorted[(this->gapCount - 1) / 2];
    if (median == 0) {
        return std::nullopt;
    }
    std::uint64_t sum = 0;
    std::size_t count = 0;
    for (; count < this->gapCount && sorted[count] <= PauseFactor * median; ++count) {
        sum += sorted[count];
    }
    return static_cast<double>(sum) / static_cast<double>(count);
}

} // namespace Apricothead
