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
constexpr unsigned DrawnIdBytes = 16;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view HealthPath = "/health";

CallerError unauthorized()
{
    return {.status = Unauthorized, .code = "invalid-key", .field = "authorization", .message = "give a valid key as Authorization: Bearer KEY"};
}

CallerError unknownPath(const std::string &path)
{
    return {.status = NotFound, .code = "path-not-found", .field = "path", .message = "there is nothing at " + path};
}

CallerError wrongMethod(std::string_view allowed)
{
    return {.status = MethodNotAllowed, .code = "method-not-allowed", .field = "method", .message = "this path takes " + std::string(allowed)};
}

CallerError starting()
{
    return {.status = Unavailable, .code = "starting", .message = "this entry has no configuration yet", .retryAfterSeconds = 1};
}

bool isReadMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

/** The request did not run since nothing of the kind was asked. */
void sendJson(HttpReply &reply, const std::string &requestId, std::string body)
{
    reply.send(Ok, {{"Content-Type", "application/json"}, {"X-Request-Id", requestId}, {"X-Verdict", "not-run"}}, std::move(body));
}

} // namespace

CallerApi::CallerApi(CallerApiOptions apiOptions) : options(std::move(apiOptions))
{ }

void CallerApi::serve(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply) const
{
    std::string requestId = givenRequestId(http.headers);
    if (requestId.empty()) {
        requestId = randomHex(DrawnIdBytes);
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
        sendError(*reply, starting(), requestId);
        return;
    }
    this->serveKnown(http, reply, requestId);
}

void CallerApi::serveKnown(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const
{
    const Wire::Configuration &configuration = *this->options.configuration();
    const auto authorization = http.headers.find("authorization");
    const Wire::Organisation *organisation = authorization == http.headers.end() ? nullptr : authenticate(configuration, authorization->second);
    if (organisation == nullptr) {
        sendError(*reply, unauthorized(), requestId);
        return;
    }
    if (http.path == ChatPath) {
        if (http.method != "POST") {
            sendError(*reply, wrongMethod("POST"), requestId);
            return;
        }
        this->run(readChatCall(http, configuration, *organisation), reply, requestId);
        return;
    }
    if (http.path.starts_with(ServicesPrefix)) {
        this->run(readServiceCall(http, configuration, *organisation), reply, requestId);
        return;
    }
    if (http.path.starts_with(ModelsPath)) {
        this->serveModels(http, *reply, *organisation, requestId);
        return;
    }
    sendError(*reply, unknownPath(http.path), requestId);
}

void CallerApi::serveModels(const HttpRequest &http, HttpReply &reply, const Wire::Organisation &organisation, const std::string &requestId) const
{
    if (!isReadMethod(http.method)) {
        sendError(reply, wrongMethod("GET or HEAD"), requestId);
        return;
    }
    const Wire::Configuration &configuration = *this->options.configuration();
    if (http.path == ModelsPath) {
        sendJson(reply, requestId, modelListJson(configuration, organisation));
        return;
    }
    const std::string_view rest = std::string_view(http.path).substr(ModelsPath.size());
    std::string model = rest.starts_with('/') ? modelJson(configuration, organisation, rest.substr(1)) : std::string();
    if (model.empty()) {
        sendError(reply, unknownPath(http.path), requestId);
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
        sendError(reply, starting(), requestId);
        return;
    }
    sendJson(reply, requestId, R"({"status":"ready"})");
}

void CallerApi::run(ReadRequest read, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const
{
    if (read.has_error()) {
        sendError(*reply, read.error(), requestId);
        return;
    }
    CallerRequest request = std::move(read).value();
    std::unique_ptr<CallerAnswer> answer = makeCallerAnswer(request, reply);
    this->options.onRequest(std::move(request), std::move(answer));
}

} // namespace Apricothead
