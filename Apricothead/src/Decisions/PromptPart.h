#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Apricothead {

/** \class PromptPart
 * \ingroup Decisions_Module
 * \brief A segment of a prompt. Other requests may share the leading segments.
 */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** Parts of a prompt that are told apart. */
constexpr std::size_t MaxPromptParts = 64;

/** Merges the parts of \a prompt before the last one into the last that is told apart, so that it has at most MaxPromptParts and as many tokens
 * as before. Bounds what one request costs in memory, messages and time, whatever number of parts its caller made. */
void mergeExcessParts(std::vector<PromptPart> &prompt);

/** \returns the number of tokens in the parts of \a prompt that other requests may have in common: all but the last part */
std::uint64_t sharedTokens(const std::vector<PromptPart> &prompt);

/** \returns the number of tokens in all parts of \a prompt */
std::uint64_t promptTokens(const std::vector<PromptPart> &prompt);

} // namespace Apricothead
