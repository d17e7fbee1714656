#include "CallerError.h"

#include <nlohmann/json.hpp>

namespace Apricothead {
namespace {

constexpr unsigned FirstServerErrorStatus = 500;

} // namespace

std::string callerErrorJson(const CallerError &error, std::string_view requestId)
{
    nlohmann::ordered_json body;
    body["message"] = error.message;
    body["type"] = error.status < FirstServerErrorStatus ? "invalid_request_error" : "server_error";
    body["param"] = error.field.empty() ? nlohmann::ordered_json() : nlohmann::ordered_json(error.field);
    body["code"] = error.code;
    body["verdict"] = verdictName(error.verdict);
    if (!requestId.empty()) {
        body["request_id"] = requestId;
    }
    const nlohmann::ordered_json document{{"error", body}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Apricothead
