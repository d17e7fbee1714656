#include "BoundedJson.h"

namespace Apricothead {

void checkJsonBounds(std::string_view text, const JsonBounds &bounds)
{
    std::size_t depth = 0;
    std::size_t containers = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (character == '"') {
            isInString = !isInString;
        } else if (isInString) {
            // Passes over the character that is escaped.
            index += character == '\\' ? 1 : 0;
        } else if (character == '[' || character == '{') {
            if (++depth > bounds.maxDepth) {
                throw JsonBoundsError("nested too deeply");
            }
            if (++containers > bounds.maxContainers) {
                throw JsonBoundsError("too many lists and objects");
            }
        } else if (character == ']' || character == '}') {
            depth -= depth > 0 ? 1 : 0;
        }
    }
}

nlohmann::json parseBoundedJson(std::string_view text)
{
    try {
        checkJsonBounds(text);
    } catch (const JsonBoundsError &) {
        return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace Apricothead
