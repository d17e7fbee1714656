#pragma once

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string_view>

namespace Apricothead {

/** Levels of arrays and objects in a document from outside. Each level takes many times its one byte of text in memory. */
constexpr int MaxJsonDepth = 64;

/** \class JsonDepthError
 * \ingroup Protocol_Module
 * \brief A document is nested more deeply than MaxJsonDepth.
 */
struct JsonDepthError : std::length_error {
    using std::length_error::length_error;
};

/** \returns a callback for the JSON parser that throws JsonDepthError */
nlohmann::json::parser_callback_t checkJsonDepth();

/** \returns the document in \a text, discarded when it is malformed or too deeply nested; throws nothing */
nlohmann::json parseBoundedJson(std::string_view text);

} // namespace Apricothead
