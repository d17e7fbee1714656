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
 * \brief A validated request and the organisation that sent it.
 */
struct CallerRequest {
    /** The caller's idempotency key, or a random id. */
    std::string id;
    bool hasIdempotencyKey = false;
    std::string organisation;
    /** Empty when the request belongs to no session. */
    std::string session;
    /** Id of a chat model, a cascade or a plain service. */
    std::string model;
    bool stream = false;
    bool includeUsage = false;
    bool repeatable = true;
    Wire::Payload payload;
    /** Hash of the request; differs if an idempotency key is reused for another request. */
    std::uint64_t fingerprint = 0;
    double promptTokens = 0;
    unsigned maxTokens = 0;
    /** Messages of a chat as JSON text, for prefix hashes. */
    std::vector<std::string> messages;
};

/** The parsed request, or the error for the caller. */
using CallerRequestResult = outcome::unchecked<CallerRequest, CallerError>;

/** Parses a \c POST \c /v1/chat/completions. */
CallerRequestResult readChatRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** Parses a call of a plain service under \c /services/NAME/. */
CallerRequestResult readServiceRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** \returns the caller's idempotency key; empty if it is missing or invalid */
std::string requestIdFromHeaders(const HttpHeaders &headers);

} // namespace Apricothead
