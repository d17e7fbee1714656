#pragma once

#include "../Decisions/DirectEndpoints.h"
#include "../Transport/HttpServer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ForwardRequest
 * \ingroup Gateway_Module
 * \brief A caller's request, decoded from the platform's HTTP dialect.
 */
struct ForwardRequest {
    /** Identifies this attempt of the caller; assigned by the caller. */
    std::string id;
    std::string host;
    std::string method;
    /** Request target: path and query as received. */
    std::string target;
    std::string path;
    /** End-to-end header fields to forward; the gateway adds its own. */
    HttpHeaders headers;
    std::string body;
    /** Remaining time until the caller gives up; nothing when it stated no deadline. */
    std::optional<std::uint64_t> callerTimeoutMs;
    /** Time for which the gateway has held the request before admission; callerTimeoutMs is what is left after it. */
    std::uint64_t heldMs = 0;
    /** The caller's API key; empty when there is none. */
    std::string key;
    /** Empty when the request names no model. */
    std::string model;
    /** True when the gateway chooses the model. */
    bool anyModel = false;
    std::vector<PromptPart> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::string session;
    /** Last event of the stream that the caller has received; empty for a new stream. */
    std::string lastEventId;
};

/** \class DispatchParameters
 * \ingroup Gateway_Module
 * \brief Fields that the gateway adds to a request before it sends it to an endpoint.
 */
struct DispatchParameters {
    std::string endpoint;
    /** Empty on a route that requires no API key. */
    std::string organisation;
    std::uint64_t remainingMs = 0;
    /** 0 is the highest priority, 9 the lowest. */
    unsigned priority = 5;
    /** The model chosen by the gateway; empty when the caller named one. */
    std::string model;
    std::string lastEventId;
};

/** \class EndpointResponseHead
 * \ingroup Gateway_Module
 * \brief Status line and header fields of an endpoint's response, decoded.
 */
struct EndpointResponseHead {
    unsigned status = 0;
    /** The endpoint states that it has not run the request and never will. */
    bool isNotRun = false;
    /** Id of the request that this response answers; empty when it is missing. */
    std::string requestId;
    /** The response carries the endpoint's signature field. */
    bool isSigned = false;
    /** The body has a content encoding, applied by an intermediary. */
    bool isEncoded = false;
    /** The endpoint states that it leaves, and wants no further requests. */
    bool isLeaving = false;
    /** Time for which the endpoint wants no requests from this gateway, in ms; nothing when it states none. */
    std::optional<std::uint64_t> retryAfterMs;
    /** Time for which the endpoint stays cold, in ms; 0 when it is warm or does not say. */
    std::uint64_t coldMs = 0;
    /** The endpoint names a limit on the requests that it takes, even if it can't be read. */
    bool hasLimit = false;
    /** Requests a second that the endpoint takes from all gateways together; nothing when it names no limit that can be read. */
    std::optional<double> limitPerSecond;
    /** The model's confidence in its answer, 0 to 100; nothing when it reports none. */
    std::optional<int> confidence;
    /** End-to-end header fields for the caller, without hop-by-hop fields. */
    HttpHeaders headers;
};

/** \class ForwardRefusal
 * \ingroup Gateway_Module
 * \brief An error response that the gateway itself produces.
 */
struct ForwardRefusal {
    unsigned status = 503;
    /** Reason code as logged. */
    std::string reason;
    /** Delay after which the caller may retry, in ms; nothing when a retry is not advised. */
    std::optional<std::uint64_t> retryAfterMs;
};

/** \class GatewayDialect
 * \ingroup Gateway_Module
 * \brief Translates between the HTTP dialect of one platform's callers and endpoints and the gateway's types.
 */
struct GatewayDialect {
    /** \returns the decoded request, or nothing for a malformed one */
    std::function<std::optional<ForwardRequest>(HttpRequest)> decode;
    /** \returns the header fields of the request sent to the endpoint */
    std::function<HttpHeaders(const ForwardRequest &, const DispatchParameters &)> encode;
    std::function<EndpointResponseHead(unsigned status, const HttpHeaders &)> readHead;
    /** Path of the platform's readiness probe. */
    std::string readyPath;
};

} // namespace Apricothead
