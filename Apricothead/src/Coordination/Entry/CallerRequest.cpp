#include "CallerRequest.h"

#include "ModelList.h"

#include "../../Protocol/ChatRequest.h"
#include "../../Protocol/KeyHash.h"
#include "../../Protocol/RequestTarget.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr std::size_t MaxNameBytes = 200;
constexpr unsigned RandomIdBytes = 16;
/** Rough estimate, used for predictions only. */
constexpr double BytesPerToken = 4;
constexpr std::string_view ServicesPrefix = "/services/";

std::string headerOf(const HttpHeaders &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 0x7F;
    });
}

CallerError invalidHeaderError(std::string name, std::string message)
{
    return {.status = BadRequest, .code = "invalid-header", .field = std::move(name), .message = std::move(message)};
}

/** Reads the header fields that chat and service requests share. */
outcome::unchecked<void, CallerError> readHeaders(const HttpHeaders &headers, CallerRequest &request)
{
    for (const char *name : {"idempotency-key", "x-session-id"}) {
        const auto found = headers.find(name);
        if (found != headers.end() && !isValidName(found->second)) {
            return invalidHeaderError(name, "must be 1 to 200 printable ASCII characters without spaces");
        }
    }
    for (const char *name : {"x-not-repeatable", "x-repeatable"}) {
        const auto found = headers.find(name);
        if (found != headers.end() && found->second != "true" && found->second != "false") {
            return invalidHeaderError(name, "must be true or false");
        }
    }
    const std::string priority = headerOf(headers, "x-priority");
    if (!priority.empty() && priority != "interactive" && priority != "draft") {
        return invalidHeaderError("x-priority", "must be interactive or draft");
    }
    request.payload.set_priority(priority == "draft" ? Wire::PRIORITY_DRAFT : Wire::PRIORITY_INTERACTIVE);
    request.session = headerOf(headers, "x-session-id");
    request.id = headerOf(headers, "idempotency-key");
    request.hasIdempotencyKey = !request.id.empty();
    if (!request.hasIdempotencyKey) {
        request.id = randomHex(RandomIdBytes);
    }
    return outcome::success();
}

std::uint64_t fingerprintOf(const CallerRequest &request)
{
    std::uint64_t hash = 0;
    for (const std::string *part : {&request.payload.method(), &request.payload.path(), &request.payload.body(), &request.model, &request.session}) {
        hash = XXH3_64bits_withSeed(part->data(), part->size(), hash + part->size());
    }
    return hash;
}

CallerError notFoundError(std::string field, std::string_view kind, const std::string &name)
{
    std::string message(kind);
    message.append(" ").append(name).append(" is unknown, or your organisation may not use it");
    return {.status = NotFound, .code = std::string(kind) + "-not-found", .field = std::move(field), .message = std::move(message)};
}

} // namespace

CallerRequestResult readChatRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    CallerRequest request;
    BOOST_OUTCOME_TRYV(readHeaders(http.headers, request));
    BOOST_OUTCOME_TRY(chat, parseChatRequest(http.body));
    if (!canUseChatModel(configuration, organisation, chat.model)) {
        return notFoundError("model", "model", chat.model);
    }
    request.organisation = organisation.id();
    request.model = chat.model;
    request.stream = chat.stream;
    request.includeUsage = chat.includeUsage;
    request.maxTokens = chat.maxTokens;
    request.messages = std::move(chat.messages);
    request.repeatable = headerOf(http.headers, "x-not-repeatable") != "true";
    request.promptTokens = static_cast<double>(http.body.size()) / BytesPerToken;
    request.payload.set_method("POST");
    request.payload.set_path("/v1/chat/completions");
    request.payload.set_content_type("application/json");
    request.payload.set_body(http.body);
    request.payload.set_chat(true);
    request.fingerprint = fingerprintOf(request);
    return request;
}

CallerRequestResult readServiceRequest(const HttpRequest &http, const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    CallerRequest request;
    BOOST_OUTCOME_TRYV(readHeaders(http.headers, request));
    const std::string_view suffix = std::string_view(http.path).substr(ServicesPrefix.size());
    const std::size_t slash = std::min(suffix.find('/'), suffix.size());
    request.model = suffix.substr(0, slash);
    if (!canUseService(configuration, organisation, request.model)) {
        return notFoundError("path", "service", request.model);
    }
    std::string path = slash == suffix.size() ? "/" : std::string(suffix.substr(slash));
    if (!http.query.empty()) {
        path.append("?").append(http.query);
    }
    if (!isOriginForm(path)) {
        return CallerError{.status = BadRequest, .code = "invalid-path", .field = "path", .message = "the path or query has a byte that no request may have"};
    }
    const bool isSafeMethod = http.method == "GET" || http.method == "HEAD";
    const bool isMarkedNotRepeatable = headerOf(http.headers, "x-not-repeatable") == "true";
    request.repeatable = !isMarkedNotRepeatable && (isSafeMethod || headerOf(http.headers, "x-repeatable") == "true");
    request.organisation = organisation.id();
    request.payload.set_method(http.method);
    request.payload.set_path(std::move(path));
    request.payload.set_content_type(headerOf(http.headers, "content-type"));
    request.payload.set_body(http.body);
    request.fingerprint = fingerprintOf(request);
    return request;
}

std::string requestIdFromHeaders(const HttpHeaders &headers)
{
    std::string id = headerOf(headers, "idempotency-key");
    return isValidName(id) ? id : std::string();
}

} // namespace Apricothead
