#include "OperatorService.h"

#include "ConnectCodec.h"
#include "OperatorAccess.h"
#include "OperatorMethods.h"

#include "../../Protocol/MessageLog.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr std::string_view ServicePath = "/apricothead.v1.Operator/";
/** Operator requests are short. */
constexpr std::size_t MaxOperatorBodyBytes = 256 * 1024;
constexpr unsigned MaxOperatorConnections = 64;

void sendError(HttpReply &reply, const ConnectError &error)
{
    HttpHeaders headers{{"content-type", "application/json"}};
    if (error.status == 401) {
        headers["www-authenticate"] = "Bearer";
    }
    reply.send(error.status, headers, error.body);
}

void sendText(HttpReply &reply, std::string text)
{
    reply.send(200, {{"content-type", "text/plain; charset=utf-8"}, {"cache-control", "no-store"}}, std::move(text));
}

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

/** Serves GET /report and GET /metrics. \returns false for any other path */
bool sendPage(const std::shared_ptr<OperatorBackend> &backend, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (request.method != "GET") {
        return false;
    }
    if (request.path == "/metrics") {
        sendText(*reply, backend->metrics());
        return true;
    }
    if (request.path == "/report") {
        makeReport(backend, [reply](const std::string &text) {
            sendText(*reply, text);
        });
        return true;
    }
    return false;
}

void runMethod(const std::shared_ptr<OperatorBackend> &backend,
               const OperatorMethod &method,
               const OperatorRequest &request,
               const std::shared_ptr<HttpReply> &reply)
{
    method.run(backend, request, [reply, encoding = request.encoding](const OperatorReply &result) {
        if (result.has_error()) {
            sendError(*reply, result.error());
            return;
        }
        reply->send(200, {{"content-type", std::string(contentTypeOf(encoding))}, {"cache-control", "no-store"}}, result.value());
    });
}

} // namespace

OperatorApi::OperatorApi(std::vector<OperatorToken> operatorTokens, OperatorBackend givenBackend)
    : tokens(std::move(operatorTokens)), backend(std::make_shared<OperatorBackend>(std::move(givenBackend)))
{ }

void OperatorApi::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) const
{
    const auto identity = identifyOperator(this->tokens, headerOf(request, "authorization"));
    if (!identity) {
        return sendError(*reply, connectError(401, "unauthenticated", "the operator token is missing or not known; send Authorization: Bearer TOKEN"));
    }
    if (sendPage(this->backend, request, reply)) {
        return;
    }
    if (!request.path.starts_with(ServicePath)) {
        return sendError(*reply, connectError(404, "unimplemented", "no such path; call POST /apricothead.v1.Operator/METHOD"));
    }
    const std::string name = request.path.substr(ServicePath.size());
    const OperatorMethod *method = findOperatorMethod(name);
    if (method == nullptr) {
        return sendError(*reply, connectError(404, "unimplemented", "no such method; proto/apricothead/v1/operator.proto lists them"));
    }
    if (request.method != "POST") {
        return sendError(*reply, connectError(405, "unimplemented", "call methods with POST"));
    }
    const auto encoding = connectEncoding(headerOf(request, "content-type"));
    if (!encoding) {
        return sendError(*reply, connectError(415, "unimplemented", "send Content-Type: application/json or application/proto"));
    }
    if (method->needsFullRole && identity->readOnly) {
        return sendError(*reply, connectError(403, "permission_denied", "the token is read-only; use one with the full role"));
    }
    runMethod(this->backend, *method, {.identity = *identity, .encoding = *encoding, .body = request.body}, reply);
}

std::unique_ptr<OperatorService> OperatorService::start(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend)
{
    if (settings.operatorAddress.empty() || settings.operatorTokens.empty()) {
        return nullptr;
    }
    logMessageErrors();
    return std::unique_ptr<OperatorService>(new OperatorService(loop, settings, std::move(backend)));
}

OperatorService::OperatorService(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend)
    : api(settings.operatorTokens, std::move(backend))
    , server(loop,
             {.address = settings.operatorAddress,
              .maxBodyBytes = MaxOperatorBodyBytes,
              .maxHeaderBytes = settings.maxHeaderBytes,
              .maxConnections = MaxOperatorConnections,
              .idleTimeout = settings.idleTimeout,
              .onRequest =
                  [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                      this->api.handle(request, reply);
                  },
              .errorBody =
                  [](unsigned status) {
                      constexpr unsigned BadRequest = 400;
                      return status == BadRequest ? connectError(status, "invalid_argument", "the header fields leave open where the body ends").body
                                                  : connectError(status, "resource_exhausted", "the request is larger than the service accepts").body;
                  }})
{ }

void OperatorService::stopListening()
{
    this->server.stopListening();
}

std::string OperatorService::address() const
{
    return this->server.boundAddress();
}

} // namespace Apricothead
