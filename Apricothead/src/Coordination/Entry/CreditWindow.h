#pragma once

#include <cstddef>
#include <cstdint>

namespace Apricothead {

/** \class CreditWindow
 * \ingroup Coordination_Module
 * \brief Chunks of one run that an endpoint process may send before it gets new credit: few where they are large, so that what is on its way is
 * bounded in bytes as well.
 */
class CreditWindow
{
public:
    /** Credit for the run from \a fromChunk on; nothing is unacknowledged. \returns the number of chunks */
    std::uint32_t start(std::uint64_t fromChunk);

    /** Acknowledges all chunks below \a nextChunk. \returns the number of chunks that may follow */
    std::uint32_t renew(std::uint64_t nextChunk);

    void recordChunk(std::size_t bytes);

    /** \returns whether it is to be renewed, given the next chunk that is expected */
    bool isLow(std::uint64_t nextChunk) const;

private:
    std::uint32_t grant(std::uint64_t nextChunk, std::uint32_t chunks);

    std::uint64_t end = 0;
    std::uint32_t granted = 0;
    std::size_t unacknowledgedBytes = 0;
    std::size_t largestChunk = 0;
};

} // namespace Apricothead
