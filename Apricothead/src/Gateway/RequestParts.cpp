#include "RequestParts.h"

#include <xxhash.h>

namespace Apricothead {

SuspectRequest suspectRequest(const ForwardRequest &request)
{
    SuspectRequest suspect;
    if (request.prompt.size() < 2) {
        const std::string whole = request.method + ' ' + request.target + '\n' + request.body;
        suspect.parts.push_back(XXH3_64bits(whole.data(), whole.size()));
        // Repeats of such a request count one by one: nothing but themselves can be at fault.
        suspect.fingerprint = XXH3_64bits(request.id.data(), request.id.size());
        return suspect;
    }
    suspect.fingerprint = request.prompt.back().id;
    for (auto part = request.prompt.begin(); part + 1 != request.prompt.end(); ++part) {
        suspect.parts.push_back(part->id);
    }
    return suspect;
}

std::string promptText(const std::vector<PromptPart> &prompt)
{
    std::vector<std::uint64_t> parts;
    parts.reserve(prompt.size());
    for (const PromptPart &part : prompt) {
        parts.push_back(part.id);
    }
    return partsText(parts);
}

} // namespace Apricothead
