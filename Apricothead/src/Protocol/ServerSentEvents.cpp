#include "ServerSentEvents.h"

#include <algorithm>

namespace Apricothead {

std::string eventOf(std::string_view json)
{
    constexpr std::string_view Field = "data: ";
    std::string event;
    event.reserve(json.size() + Field.size() + 2);
    while (true) {
        const std::size_t end = std::min(json.find('\n'), json.size());
        event.append(Field).append(json.substr(0, end)).append("\n");
        if (end == json.size()) {
            break;
        }
        json.remove_prefix(end + 1);
    }
    return event.append("\n");
}

std::string errorEventOf(std::string_view json)
{
    return "event: error\n" + eventOf(json);
}

std::string keepAliveComment()
{
    return ": keep-alive\n\n";
}

std::string endEvent()
{
    return "data: [DONE]\n\n";
}

} // namespace Apricothead
