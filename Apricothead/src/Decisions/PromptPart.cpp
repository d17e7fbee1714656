#include "PromptPart.h"

#include <xxhash.h>

namespace Apricothead {

void mergeExcessParts(std::vector<PromptPart> &prompt)
{
    if (prompt.size() <= MaxPromptParts) {
        return;
    }
    // The last part is the request's own and stays apart.
    const auto merged = prompt.begin() + (MaxPromptParts - 2);
    const auto last = prompt.end() - 1;
    for (auto part = merged + 1; part != last; ++part) {
        merged->id = XXH3_64bits_withSeed(&part->id, sizeof(part->id), merged->id);
        merged->tokens += part->tokens;
    }
    prompt.erase(merged + 1, last);
    prompt.shrink_to_fit();
}

std::uint64_t promptTokens(const std::vector<PromptPart> &prompt)
{
    std::uint64_t total = 0;
    for (const PromptPart &part : prompt) {
        total += part.tokens;
    }
    return total;
}

std::uint64_t sharedTokens(const std::vector<PromptPart> &prompt)
{
    return prompt.empty() ? 0 : promptTokens(prompt) - prompt.back().tokens;
}

} // namespace Apricothead
