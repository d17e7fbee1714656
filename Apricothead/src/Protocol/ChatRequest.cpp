#include "ChatRequest.h"

#include "BoundedJson.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace Apricothead {
namespace {

using nlohmann::json;
using MaybeError = std::optional<CallerError>;

constexpr unsigned BadRequest = 400;
constexpr std::size_t MaxModelBytes = 256;

CallerError fieldError(std::string field, std::string message)
{
    return {.status = BadRequest, .code = "invalid-field", .field = std::move(field), .message = std::move(message)};
}

MaybeError checkModel(const json &body)
{
    const auto model = body.find("model");
    if (model == body.end()) {
        return fieldError("model", "model is missing");
    }
    if (!model->is_string() || model->get_ref<const std::string &>().empty() || model->get_ref<const std::string &>().size() > MaxModelBytes) {
        return fieldError("model", "model must be a text of 1 to 256 bytes");
    }
    return std::nullopt;
}

MaybeError checkMessages(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end()) {
        return fieldError("messages", "messages is missing");
    }
    if (!messages->is_array() || messages->empty()) {
        return fieldError("messages", "messages must be a list with at least one message");
    }
    for (std::size_t index = 0; index < messages->size(); ++index) {
        const json &message = (*messages)[index];
        const std::string path = "messages[" + std::to_string(index) + "]";
        if (!message.is_object()) {
            return fieldError(path, "each message must be an object");
        }
        const auto role = message.find("role");
        if (role == message.end() || !role->is_string()) {
            return fieldError(path + ".role", "each message needs a role, which is a text");
        }
        const auto content = message.find("content");
        if (content != message.end() && !content->is_string() && !content->is_array() && !content->is_null()) {
            return fieldError(path + ".content", "content must be a text, a list of parts or null");
        }
    }
    return std::nullopt;
}

MaybeError checkBoolean(const json &object, const std::string &name, const std::string &path)
{
    const auto value = object.find(name);
    if (value != object.end() && !value->is_boolean() && !value->is_null()) {
        return fieldError(path, path + " must be true or false");
    }
    return std::nullopt;
}

MaybeError checkTokenBound(const json &body, const std::string &name)
{
    const auto value = body.find(name);
    if (value != body.end() && !value->is_null() && !(value->is_number_unsigned() && value->get<std::uint64_t>() > 0)) {
        return fieldError(name, name + " must be a whole number above 0");
    }
    return std::nullopt;
}

MaybeError checkOptions(const json &body)
{
    if (MaybeError error = checkBoolean(body, "stream", "stream")) {
        return error;
    }
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        if (MaybeError error = checkTokenBound(body, name)) {
            return error;
        }
    }
    const auto options = body.find("stream_options");
    if (options == body.end() || options->is_null()) {
        return std::nullopt;
    }
    if (!options->is_object()) {
        return fieldError("stream_options", "stream_options must be an object");
    }
    return checkBoolean(*options, "include_usage", "stream_options.include_usage");
}

bool isTrue(const json &object, const char *name)
{
    const auto value = object.find(name);
    return value != object.end() && value->is_boolean() && value->get<bool>();
}

unsigned tokenBound(const json &body)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto value = body.find(name);
        if (value != body.end() && value->is_number_unsigned()) {
            return static_cast<unsigned>(std::min<std::uint64_t>(value->get<std::uint64_t>(), UINT32_MAX));
        }
    }
    return 0;
}

} // namespace

outcome::unchecked<ChatRequest, CallerError> parseChatRequest(std::string_view text)
{
    const json body = parseBoundedJson(text);
    if (body.is_discarded()) {
        return CallerError{.status = BadRequest, .code = "invalid-json", .field = "body", .message = "the body is no valid JSON"};
    }
    if (!body.is_object()) {
        return fieldError("body", "the body must be a JSON object");
    }
    for (const auto check : {&checkModel, &checkMessages, &checkOptions}) {
        if (MaybeError error = check(body)) {
            return *std::move(error);
        }
    }
    ChatRequest request;
    request.model = body["model"].get<std::string>();
    request.stream = isTrue(body, "stream");
    request.maxTokens = tokenBound(body);
    const auto options = body.find("stream_options");
    request.includeUsage = options != body.end() && options->is_object() && isTrue(*options, "include_usage");
    for (const json &message : body["messages"]) {
        request.messages.push_back(message.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    return request;
}

} // namespace Apricothead
