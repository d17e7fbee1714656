#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Apricothead {

/** \class StreamPace
 * \ingroup Decisions_Module
 * \brief The typical time between two events of a stream, from its first events.
 *
 * An engine that batches makes all its streams wait while it reads a prompt, and the share of such pauses follows its load. Pauses far above the
 * median are therefore left out. What remains is the engine's own pace, which depends little on load.
 */
class StreamPace
{
public:
    /** Further events change nothing, so that long and short streams compare. */
    static constexpr std::size_t MaxGaps = 12;

    void recordEvent(std::uint64_t nowMs);
    /** The endpoint was not read from: the time until the next event says nothing. */
    void recordInterruption();

    bool isComplete() const;
    /** \returns the typical gap in ms; nothing for too few events, and where most arrived together with the one before */
    std::optional<double> gapMs() const;

private:
    std::array<std::uint64_t, MaxGaps> gaps{};
    std::size_t gapCount = 0;
    std::optional<std::uint64_t> lastEventMs;
};

} // namespace Apricothead
