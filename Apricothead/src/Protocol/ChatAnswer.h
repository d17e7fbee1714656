#pragma once

#include "Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class ChatAnswer
 * \ingroup Protocol_Module
 * \brief Follows the events of one streamed chat completion: whether it is whole, empty or an error, and what it used.
 */
class ChatAnswer
{
public:
    /** Takes the data of one event. \returns true when it is a piece of the answer, false for the end mark */
    bool take(std::string_view data);

    /** \returns true once the end mark was seen, or a reason to finish together with the usage */
    bool isWhole() const;
    /** \returns true once the end mark was seen: nothing follows */
    bool isEnded() const;
    /** \returns true when no content, tool call or refusal was seen */
    bool isEmpty() const;
    /** \returns the engine's own error message, empty when it sent none */
    const std::string &error() const;
    /** \returns the engine's usage, or as long as it sent none the pieces of content counted as output tokens */
    Wire::Usage usage() const;

private:
    bool ended = false;
    bool finished = false;
    std::string errorText;
    std::uint64_t pieces = 0;
    std::optional<Wire::Usage> reported;
};

/** \returns the body of a chat completion changed so that the engine streams it with usage, or nothing when \a body is no JSON object */
std::optional<std::string> streamedChatBody(std::string_view body, std::string_view version, Wire::Priority priority);

} // namespace Apricothead
