#include "ChatAnswer.h"

#include "BoundedJson.h"

#include <nlohmann/json.hpp>

namespace Apricothead {
namespace {

/** Engines serve lower numbers first. */
constexpr int InteractivePriority = 0;
constexpr int DraftPriority = 10;

bool isFilled(const nlohmann::json &value)
{
    if (value.is_string()) {
        return !value.get_ref<const std::string &>().empty();
    }
    return value.is_array() && !value.empty();
}

bool hasContent(const nlohmann::json &choice)
{
    for (const char *part : {"delta", "message"}) {
        const auto found = choice.find(part);
        if (found == choice.end() || !found->is_object()) {
            continue;
        }
        for (const char *field : {"content", "reasoning_content", "refusal", "tool_calls"}) {
            if (found->contains(field) && isFilled((*found)[field])) {
                return true;
            }
        }
    }
    return false;
}

std::uint64_t countOf(const nlohmann::json &usage, const char *name)
{
    const auto found = usage.find(name);
    return found != usage.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string errorMessage(const nlohmann::json &error)
{
    if (!error.is_object()) {
        return error.dump();
    }
    const auto message = error.find("message");
    return message != error.end() && message->is_string() ? message->get<std::string>() : "engine error";
}

} // namespace

bool ChatAnswer::take(std::string_view data)
{
    if (data == "[DONE]") {
        this->ended = true;
        return false;
    }
    const nlohmann::json event = parseBoundedJson(data);
    if (!event.is_object()) {
        this->errorText = "the engine sent an event that is no JSON object";
        return true;
    }
    if (const auto error = event.find("error"); error != event.end()) {
        this->errorText = errorMessage(*error);
    }
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object()) {
        Wire::Usage counted;
        counted.set_input_tokens(countOf(*usage, "prompt_tokens"));
        counted.set_output_tokens(countOf(*usage, "completion_tokens"));
        this->reported = counted;
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array()) {
        return true;
    }
    for (const nlohmann::json &choice : *choices) {
        if (!choice.is_object()) {
            continue;
        }
        if (hasContent(choice)) {
            ++this->pieces;
        }
        const auto reason = choice.find("finish_reason");
        if (reason != choice.end() && reason->is_string()) {
            this->finished = true;
        }
    }
    return true;
}

bool ChatAnswer::isWhole() const
{
    return this->errorText.empty() && (this->ended || (this->finished && this->reported.has_value()));
}

bool ChatAnswer::isEnded() const
{
    return this->ended;
}

bool ChatAnswer::isEmpty() const
{
    return this->pieces == 0;
}

const std::string &ChatAnswer::error() const
{
    return this->errorText;
}

Wire::Usage ChatAnswer::usage() const
{
    if (this->reported.has_value()) {
        return *this->reported;
    }
    Wire::Usage counted;
    counted.set_output_tokens(this->pieces);
    return counted;
}

std::optional<std::string> streamedChatBody(std::string_view body, std::string_view version, Wire::Priority priority)
{
    nlohmann::json request = parseBoundedJson(body);
    if (!request.is_object()) {
        return std::nullopt;
    }
    request["stream"] = true;
    request["stream_options"] = {{"include_usage", true}};
    request["model"] = std::string(version);
    request["priority"] = priority == Wire::PRIORITY_DRAFT ? DraftPriority : InteractivePriority;
    return request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Apricothead
