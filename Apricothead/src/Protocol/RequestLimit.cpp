#include "RequestLimit.h"

#include <charconv>

namespace Apricothead {

std::optional<double> parseRequestLimit(std::string_view text)
{
    constexpr double MaxPerSecond = 1e6;
    double perSecond = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, perSecond, std::chars_format::fixed);
    const bool isNumber = !text.empty() && error == std::errc() && end == last;
    return isNumber && perSecond >= 0 && perSecond <= MaxPerSecond ? std::optional(perSecond) : std::nullopt;
}

std::optional<RequestLimit> updatedLimit(const RequestLimit &current, std::optional<double> perSecond, std::uint64_t sentMs, std::uint64_t nowMs)
{
    const bool isAsLow = perSecond && (!current.perSecond || *perSecond <= *current.perSecond);
    const bool mayBeOvertaken = !isAsLow && sentMs <= current.atMs;
    const bool isUnlimited = !perSecond && !current.perSecond;
    if (isUnlimited || mayBeOvertaken) {
        return std::nullopt;
    }
    return RequestLimit{.perSecond = perSecond, .atMs = perSecond ? nowMs : sentMs};
}

} // namespace Apricothead
