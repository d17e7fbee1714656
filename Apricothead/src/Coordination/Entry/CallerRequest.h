#pragma once

#include "../../Protocol/CallerError.h"
#include "../../Protocol/Messages.h"
#include "../../Transport/HttpServer.h"

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricothead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** \class CallerRequest
 * \ingroup Coordination_Module
 * \brief A caller's request as the entry serves it: checked, and by whom.
 */
struct CallerRequest {
    /** The caller's idempotency key, or a drawn one. */
    std::string id;
    bool hasIdempotencyKey = false;
    std::string organisation;
    /** Empty when the request belongs to no session. */
    std::string session;
    /** A model, cascade or plain service. */
    std::string model;
    bool stream = false;
    bool includeUsage = false;
    bool repeatable = true;
    Wire::Payload payload;
    /** Tells whether a key is used again for the same request. */
    std::uint64_t fingerprint = 0;
    double promptTokens = 0;
    unsigned maxTokens = 0;
    /** Messages of a chat as JSON text, for prefix hashes. */
    std::vector<std::string> messages;
};

/** The result of reading a request, or the refusal. */
using CallerRequestResult = outcome::unchecked<CallerRequest, CallerError>;

/** Reads a \c POST \c /v1/chat/completions. */
CallerRequestResult readChatRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** Reads a call of a plain service under \c /services/NAME/. */
CallerRequestResult readServiceRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** \returns the name that the caller gave the request; empty when it gave none or a bad one */
std::string requestIdFromHeaders(const HttpHeaders &headers);

} // namespace Apricothead
