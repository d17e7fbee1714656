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
 * \brief One attempt of a caller, decoded from the dialect that the caller speaks.
 */
struct ForwardRequest {
    /** The caller's own id of this attempt. */
    std::string id;
    std::string host;
    std::string method;
    /** Path and query as received. */
    std::string target;
    std::string path;
    /** What the endpoint gets besides the fields that the gateway sets. */
    HttpHeaders headers;
    std::string body;
    /** How long the caller waits from now on; nothing when it did not say. */
    std::optional<std::uint64_t> callerTimeoutMs;
    /** Empty when there is none. */
    std::string key;
    /** Empty when the request names none. */
    std::string model;
    /** The caller leaves the choice of a model to the gateway. */
    bool anyModel = false;
    std::vector<PromptPart> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::string session;
    /** The caller has the events of the stream up to this one. */
    std::string lastEventId;
};

/** \class DispatchTerms
 * \ingroup Gateway_Module
 * \brief What a gateway adds to a request that it sends to an endpoint.
 */
struct DispatchParameters {
    std::string endpoint;
    /** Empty when the request needs none. */
    std::string organisation;
    std::uint64_t remainingMs = 0;
    /** 0 is the most urgent, 9 the least. */
    unsigned priority = 5;
    /** The model chosen for a request that leaves the choice; empty otherwise. */
    std::string model;
    std::string lastEventId;
};

/** \class EndpointAnswerHead
 * \ingroup Gateway_Module
 * \brief What the head of an endpoint's answer says.
 */
struct EndpointResponseHead {
    unsigned status = 0;
    /** The endpoint says that it did not run the request and never will. */
    bool isNotRun = false;
    /** Names the attempt that it answers; empty when it names none. */
    std::string requestId;
    /** The endpoint vouches for the answer. */
    bool isSigned = false;
    /** The endpoint's body is encoded by something on the way. */
    bool isEncoded = false;
    /** 0 to 100, the model's own opinion of the answer; nothing when it has none. */
    std::optional<int> confidence;
    /** For the caller, without the fields that concern one connection only. */
    HttpHeaders headers;
};

/** \class ForwardRefusal
 * \ingroup Gateway_Module
 * \brief An answer of the gateway's own.
 */
struct ForwardRefusal {
    unsigned status = 503;
    /** Reason code, as logged. */
    std::string reason;
    /** When the caller should come back; nothing when it need not. */
    std::optional<std::uint64_t> retryAfterMs;
};

/** \class GatewayDialect
 * \ingroup Gateway_Module
 * \brief How callers and endpoints of one platform speak: translates between HTTP and the gateway's types.
 */
struct GatewayDialect {
    /** \returns nothing for a request that can't be read */
    std::function<std::optional<ForwardRequest>(HttpRequest)> decode;
    std::function<HttpHeaders(const ForwardRequest &, const DispatchParameters &)> encode;
    std::function<EndpointResponseHead(unsigned status, const HttpHeaders &)> readHead;
    /** Where the platform asks whether the gateway takes callers. */
    std::string readyPath;
};

} // namespace Apricothead
