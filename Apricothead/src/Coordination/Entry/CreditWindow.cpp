#include "CreditWindow.h"

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::uint32_t MaxChunks = 256;
/** So that a run of large chunks does not wait for new credit after each of them. */
constexpr std::uint32_t MinChunks = 4;
/** Before the size of the chunks is known. */
constexpr std::uint32_t FirstChunks = 64;
constexpr std::size_t MaxBytes = 512 * 1024;
/** Acknowledged before half of the window is used: the endpoint process keeps them until then, and its buffer is bounded. */
constexpr std::size_t MaxUnacknowledgedBytes = MaxBytes / 2;

} // namespace

std::uint32_t CreditWindow::start(std::uint64_t fromChunk)
{
    return this->grant(fromChunk, FirstChunks);
}

std::uint32_t CreditWindow::renew(std::uint64_t nextChunk)
{
    const std::size_t fitting = MaxBytes / std::max<std::size_t>(1, this->largestChunk);
    return this->grant(nextChunk, static_cast<std::uint32_t>(std::clamp<std::size_t>(fitting, MinChunks, MaxChunks)));
}

void CreditWindow::recordChunk(std::size_t bytes)
{
    this->unacknowledgedBytes += bytes;
    this->largestChunk = std::max(this->largestChunk, bytes);
}

bool CreditWindow::isLow(std::uint64_t nextChunk) const
{
    return this->end < nextChunk + this->granted / 2 || this->unacknowledgedBytes >= MaxUnacknowledgedBytes;
}

std::uint32_t CreditWindow::grant(std::uint64_t nextChunk, std::uint32_t chunks)
{
    this->end = nextChunk + chunks;
    this->granted = chunks;
    this->unacknowledgedBytes = 0;
    return chunks;
}

} // namespace Apricothead
