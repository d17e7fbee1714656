#include "CallerApi.h"

#include "Authentication.h"
#include "ModelList.h"
#include "RunErrors.h"

#include "../../Protocol/KeyHash.h"

#include <string_view>
#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned Unavailable = 503;
constexpr unsigned RandomIdBytes = 16;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view HealthPath = "/health";

CallerError unauthorizedError()
{
    return {.status = Unauthorized, .code = "invalid-key", .field = "authorization", .message = "send a valid key as Authorization: Bearer KEY"};
}

CallerError pathNotFoundError(const std::string &path)
{
    return {.status = NotFound, .code = "path-not-found", .field = "path", .message = "no resource at " + path};
}

CallerError methodNotAllowedError(std::string_view allowed)
{
    return {.status = MethodNotAllowed, .code = "method-not-allowed", .field = "method", .message = "this path accepts " + std::string(allowed)};
}

CallerError startingError()
{
    return {.status = Unavailable, .code = "starting", .message = "this entry has no configuration yet", .retryAfterSeconds = 1};
}

bool isReadMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

/** Answers a request that needs no run, hence the verdict \c not-run. */
void sendJson(HttpReply &reply, const std::string &requestId, std::string body)
{
    reply.send(Ok, {{"Content-Type", "application/json"}, {"X-Request-Id", requestId}, {"X-Verdict", "not-run"}}, std::move(body));
}

} // namespace

CallerApi::CallerApi(CallerApiOptions apiOptions) : options(std::move(apiOptions))
{ }

void CallerApi::serve(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply) const
{
    std::string requestId = requestIdFromHeaders(http.headers);
    if (requestId.empty()) {
        requestId = randomHex(RandomIdBytes);
    }
    if (http.path == HealthPath) {
        this->serveHealth(*reply, requestId);
        return;
    }
    if (this->options.isLeaving()) {
        sendError(*reply, leavingError(), requestId);
        return;
    }
    if (this->options.configuration() == nullptr) {
        sendError(*reply, startingError(), requestId);
        return;
    }
    this->routeRequest(http, reply, requestId);
}

void CallerApi::routeRequest(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const
{
    const Wire::Configuration &configuration = *this->options.configuration();
    const auto authorization = http.headers.find("authorization");
    const Wire::Organisation *organisation = authorization == http.headers.end() ? nullptr : authenticate(configuration, authorization->second);
    if (organisation == nullptr) {
        sendError(*reply, unauthorizedError(), requestId);
        return;
    }
    if (http.path == ChatPath) {
        if (http.method != "POST") {
            sendError(*reply, methodNotAllowedError("POST"), requestId);
            return;
        }
        this->startRequest(readChatRequest(http, configuration, *organisation), reply, requestId);
        return;
    }
    if (http.path.starts_with(ServicesPrefix)) {
        this->startRequest(readServiceRequest(http, configuration, *organisation), reply, requestId);
        return;
    }
    if (http.path.starts_with(ModelsPath)) {
        this->serveModels(http, *reply, *organisation, requestId);
        return;
    }
    sendError(*reply, pathNotFoundError(http.path), requestId);
}

void CallerApi::serveModels(const HttpRequest &http, HttpReply &reply, const Wire::Organisation &organisation, const std::string &requestId) const
{
    if (!isReadMethod(http.method)) {
        sendError(reply, methodNotAllowedError("GET or HEAD"), requestId);
        return;
    }
    const Wire::Configuration &configuration = *this->options.configuration();
    if (http.path == ModelsPath) {
        sendJson(reply, requestId, modelListJson(configuration, organisation));
        return;
    }
    const std::string_view suffix = std::string_view(http.path).substr(ModelsPath.size());
    std::string model = suffix.starts_with('/') ? modelJson(configuration, organisation, suffix.substr(1)) : std::string();
    if (model.empty()) {
        sendError(reply, pathNotFoundError(http.path), requestId);
        return;
    }
    sendJson(reply, requestId, std::move(model));
}

void CallerApi::serveHealth(HttpReply &reply, const std::string &requestId) const
{
    if (this->options.isLeaving()) {
        sendError(reply, leavingError(), requestId);
        return;
    }
    if (this->options.configuration() == nullptr) {
        sendError(reply, startingError(), requestId);
        return;
    }
    sendJson(reply, requestId, R"({"status":"ready"})");
}

void CallerApi::startRequest(CallerRequestResult parsed, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const
{
    if (parsed.has_error()) {
        sendError(*reply, parsed.error(), requestId);
        return;
    }
    CallerRequest request = std::move(parsed).value();
    std::unique_ptr<CallerAnswer> answer = makeCallerAnswer(request, reply);
    this->options.onRequest(std::move(request), std::move(answer));
}

} // namespace Apricothead
