#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Apricothead {

/** \returns the requests a second that \a text names, a decimal number; nothing when it can't be read */
std::optional<double> parseRequestLimit(std::string_view text);

/** \class RequestLimit
 * \ingroup Protocol_Module
 * \brief What an endpoint or engine said last of the requests that it takes.
 */
struct RequestLimit {
    /** Requests a second; nothing when there is no limit. */
    std::optional<double> perSecond;
    /** When a limit was last known to be named, or when the request was sent whose answer named none. */
    std::uint64_t atMs = 0;

    bool operator==(const RequestLimit &) const = default;
};

/** \returns what holds after an answer named \a perSecond, or nothing, to a request that was sent at \a sentMs; nothing when that changes nothing.
 *
 * Answers overtake each other. A limit that is not higher is obeyed at once; a higher one, and the end of a limit, only in answer to a request that
 * was sent after the one in force was last known to be named. */
std::optional<RequestLimit> updatedLimit(const RequestLimit &current, std::optional<double> perSecond, std::uint64_t sentMs, std::uint64_t nowMs);

} // namespace Apricothead
