#include "OperatorCall.h"

#include "../../Protocol/KeyHash.h"
#include "../../Protocol/Messages.h"
#include "../../Transport/EventLoop.h"

#include "apricothead/v1/operator.pb.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace Apricothead {
namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned CommandIdBytes = 12;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpUnavailable = 503;

/** \returns the request type of \a method, or nullptr */
const google::protobuf::Descriptor *requestType(const std::string &method)
{
    const auto *file = Wire::ChangeResponse::descriptor()->file();
    const auto *found = file->FindServiceByName("Operator")->FindMethodByName(method);
    return found == nullptr ? nullptr : found->input_type();
}

/** \returns the message of a Connect error, or the status and \a body if it is not such an error */
std::string errorText(unsigned status, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("message") && json["message"].is_string()) {
        return json["message"].get<std::string>();
    }
    return "HTTP status " + std::to_string(status) + ": " + body;
}

} // namespace

struct OperatorCall::Private {
    Private(EventLoop &eventLoop, HttpClient &httpClient, OperatorCallOptions givenOptions, std::function<void(const OperatorCallResult &)> callback);

    /** Builds the request body. \returns an error message when the options are invalid */
    std::optional<std::string> prepare();
    void start();
    void startAttempt();
    void handleResult(const HttpResult &result);
    void finish(bool succeeded, std::string text);

    EventLoop &loop;
    HttpClient &client;
    OperatorCallOptions options;
    std::function<void(const OperatorCallResult &)> done;
    Timer timer;
    std::unique_ptr<HttpCall> call;
    OperatorCallResult result;
    std::string body;
    std::string responseBody;
    std::uint64_t deadlineMs = 0;
};

OperatorCall::Private::Private(EventLoop &eventLoop,
                               HttpClient &httpClient,
                               OperatorCallOptions givenOptions,
                               std::function<void(const OperatorCallResult &)> callback)
    : loop(eventLoop), client(httpClient), options(std::move(givenOptions)), done(std::move(callback)), timer(eventLoop, [this] {
        this->body.empty() ? this->start() : this->startAttempt();
    })
{ }

std::optional<std::string> OperatorCall::Private::prepare()
{
    const auto *type = requestType(this->options.method);
    if (type == nullptr) {
        return "there is no method " + this->options.method + "; docs/operations/operator-calls.md lists them";
    }
    Json json = Json::parse(this->options.json.empty() ? "{}" : this->options.json, nullptr, false);
    if (!json.is_object()) {
        return "the request is not a JSON object";
    }
    if (type->FindFieldByName("command_id") != nullptr) {
        const char *name = json.contains("command_id") ? "command_id" : "commandId";
        if (!json.contains(name)) {
            json[name] = this->options.commandId.empty() ? "call-" + randomHex(CommandIdBytes) : this->options.commandId;
        }
        this->result.commandId = json[name].is_string() ? json[name].get<std::string>() : std::string();
    }
    this->body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return std::nullopt;
}

void OperatorCall::Private::start()
{
    const std::optional<std::string> problem = this->prepare();
    if (problem) {
        this->finish(false, *problem);
        return;
    }
    this->deadlineMs = this->loop.nowMs() + static_cast<std::uint64_t>(this->options.totalTimeout.count());
    this->startAttempt();
}

void OperatorCall::Private::startAttempt()
{
    ++this->result.attempts;
    this->responseBody.clear();
    HttpCallOptions callOptions;
    callOptions.method = "POST";
    callOptions.url = "http://" + this->options.address + "/apricothead.v1.Operator/" + this->options.method;
    callOptions.headers = {{"content-type", "application/json"}, {"authorization", "Bearer " + this->options.token}};
    callOptions.body = this->body;
    callOptions.total = this->options.attemptTimeout;
    callOptions.maxBodyBytes = this->options.maxResponseBytes;
    callOptions.onData = [this](std::string_view bytes) {
        this->responseBody += bytes;
    };
    callOptions.onDone = [this](const HttpResult &callResult) {
        this->handleResult(callResult);
    };
    this->call = this->client.start(std::move(callOptions));
}

void OperatorCall::Private::handleResult(const HttpResult &callResult)
{
    if (callResult.whole && callResult.status == HttpOk) {
        this->finish(true, this->responseBody);
        return;
    }
    // Only lost responses and unavailability are transient. The command id makes the retry idempotent.
    const bool canRetry = !callResult.whole || callResult.status == HttpUnavailable;
    if (canRetry && this->loop.nowMs() + static_cast<std::uint64_t>(this->options.retryDelay.count()) < this->deadlineMs) {
        this->timer.startOnce(this->options.retryDelay);
        return;
    }
    this->finish(false, callResult.whole ? errorText(callResult.status, this->responseBody) : "no answer: " + callResult.error);
}

void OperatorCall::Private::finish(bool succeeded, std::string text)
{
    this->result.succeeded = succeeded;
    this->result.text = std::move(text);
    // The callback may destroy this object, so it and the result are copied.
    const auto callback = this->done;
    const OperatorCallResult finalResult = this->result;
    callback(finalResult);
}

OperatorCall::OperatorCall(EventLoop &loop, HttpClient &client, OperatorCallOptions options, std::function<void(const OperatorCallResult &)> done)
    : d(std::make_unique<Private>(loop, client, std::move(options), std::move(done)))
{
    // Started by the timer, so that the result is never delivered before the constructor has returned.
    this->d->timer.startOnce(std::chrono::milliseconds(0));
}

OperatorCall::~OperatorCall() = default;

} // namespace Apricothead
