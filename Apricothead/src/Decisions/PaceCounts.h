#pragma once

#include "../Protocol/Messages.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricothead {

/** \class PaceCounts
 * \ingroup Decisions_Module
 * \brief Streams by their pace, in classes that grow by the eighth root of two from 1 ms on. \sa StreamPace
 */
class PaceCounts
{
public:
    static constexpr std::size_t ClassCount = 96;

    /** \returns the class of a gap */
    static std::size_t classOf(double gapMs);
    /** \returns the gap in ms at which a class begins */
    static double lowerBoundMs(std::size_t paceClass);

    void record(double gapMs);
    /** Adds what \a current counts more than \a previous, an earlier reading of the same counters. */
    void addIncrease(const Wire::ModelPaces &previous, const Wire::ModelPaces &current);
    PaceCounts &operator+=(const PaceCounts &other);
    void write(Wire::ModelPaces &paces) const;

    std::uint64_t total() const;
    /** \returns the streams in \a first and all slower classes */
    std::uint64_t countFrom(std::size_t first) const;
    /** \returns the class below which a quarter of the streams are at most */
    std::size_t lowerQuartile() const;

    bool operator==(const PaceCounts &) const = default;

private:
    std::array<std::uint64_t, ClassCount> counts{};
};

} // namespace Apricothead
