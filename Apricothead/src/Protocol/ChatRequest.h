#pragma once

#include "CallerError.h"

#include <boost/outcome.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** \class ChatRequest
 * \ingroup Protocol_Module
 * \brief What the entry has to know of a chat completion; the body itself is passed on as it is.
 */
struct ChatRequest {
    /** A model or a cascade. */
    std::string model;
    bool stream = false;
    /** The caller wants the last event of a stream to tell the usage. */
    bool includeUsage = false;
    /** Each message as JSON text, for prefix hashes. */
    std::vector<std::string> messages;
    /** 0 when the caller set no bound. */
    unsigned maxTokens = 0;

    bool operator==(const ChatRequest &) const = default;
};

/** Reads a chat completion's body. \returns the request, or an error that names the field */
outcome::unchecked<ChatRequest, CallerError> parseChatRequest(std::string_view body);

} // namespace Apricothead
