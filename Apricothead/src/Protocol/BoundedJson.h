#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <limits>
#include <stdexcept>
#include <string_view>

namespace Apricothead {

/** \class JsonBounds
 * \ingroup Protocol_Module
 * \brief What a document from outside may hold. A list or an object takes many times its two bytes of text in memory, and time to build.
 */
struct JsonBounds {
    /** Lists and objects inside each other. */
    std::size_t maxDepth = 64;
    /** Lists and objects altogether. */
    std::size_t maxContainers = std::numeric_limits<std::size_t>::max();

    auto operator<=>(const JsonBounds &) const = default;
};

/** \class JsonBoundsError
 * \ingroup Protocol_Module
 * \brief A document exceeds its JsonBounds.
 */
struct JsonBoundsError : std::length_error {
    using std::length_error::length_error;
};

/** Throws JsonBoundsError when \a text exceeds \a bounds. Does not check whether it is well-formed: up to its first error, a parser finds the same
 * lists and objects. Reads each byte once. */
void checkJsonBounds(std::string_view text, const JsonBounds &bounds = {});

/** \returns the document in \a text, discarded when it is malformed or too deeply nested; throws nothing */
nlohmann::json parseBoundedJson(std::string_view text);

} // namespace Apricothead
