#include "BoundedJson.h"

namespace Apricothead {

nlohmann::json::parser_callback_t checkJsonDepth()
{
    return [](int depth, nlohmann::json::parse_event_t, const nlohmann::json &) {
        if (depth > MaxJsonDepth) {
            throw JsonDepthError("nested too deeply");
        }
        return true;
    };
}

nlohmann::json parseBoundedJson(std::string_view text)
{
    try {
        return nlohmann::json::parse(text, checkJsonDepth(), false);
    } catch (const JsonDepthError &) {
        return nlohmann::json::value_t::discarded;
    }
}

} // namespace Apricothead
