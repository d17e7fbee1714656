#include "PaceCounts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Apricothead {
namespace {

constexpr double ClassesPerOctave = 8;
constexpr std::uint64_t QuartileInverse = 4;

/** \returns the counter of a class, 0 where the message does not list it */
std::uint64_t listedCount(const Wire::ModelPaces &paces, std::size_t paceClass)
{
    if (paceClass < paces.first_class() || paceClass - paces.first_class() >= static_cast<std::size_t>(paces.streams_size())) {
        return 0;
    }
    return paces.streams(static_cast<int>(paceClass - paces.first_class()));
}

} // namespace

std::size_t PaceCounts::classOf(double gapMs)
{
    if (gapMs <= 1) {
        return 0;
    }
    return std::min(ClassCount - 1, static_cast<std::size_t>(ClassesPerOctave * std::log2(gapMs)));
}

double PaceCounts::lowerBoundMs(std::size_t paceClass)
{
    return std::exp2(static_cast<double>(paceClass) / ClassesPerOctave);
}

void PaceCounts::record(double gapMs)
{
    ++this->counts[PaceCounts::classOf(gapMs)];
}

void PaceCounts::addIncrease(const Wire::ModelPaces &previous, const Wire::ModelPaces &current)
{
    for (std::size_t index = 0; index < ClassCount; ++index) {
        const std::uint64_t before = listedCount(previous, index);
        const std::uint64_t now = listedCount(current, index);
        this->counts[index] += now >= before ? now - before : now;
    }
}

PaceCounts &PaceCounts::operator+=(const PaceCounts &other)
{
    std::ranges::transform(this->counts, other.counts, this->counts.begin(), std::plus());
    return *this;
}

void PaceCounts::write(Wire::ModelPaces &paces) const
{
    const auto isUsed = [](std::uint64_t count) {
        return count > 0;
    };
    const auto first = std::ranges::find_if(this->counts, isUsed);
    const auto end = std::find_if(this->counts.rbegin(), this->counts.rend(), isUsed).base();
    paces.set_first_class(static_cast<std::uint32_t>(first - this->counts.begin()));
    for (auto count = first; count < end; ++count) {
        paces.add_streams(static_cast<std::uint32_t>(*count));
    }
}

std::uint64_t PaceCounts::total() const
{
    return this->countFrom(0);
}

std::uint64_t PaceCounts::countFrom(std::size_t first) const
{
    const std::size_t start = std::min(first, ClassCount);
    return std::accumulate(this->counts.begin() + static_cast<std::ptrdiff_t>(start), this->counts.end(), std::uint64_t{0});
}

std::size_t PaceCounts::lowerQuartile() const
{
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < ClassCount; ++index) {
        below += this->counts[index];
        if (QuartileInverse * below > this->total()) {
            return index;
        }
    }
    return 0;
}

} // namespace Apricothead
