#include "ConnectCodec.h"

#include "../../State/StateErrors.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>

namespace Apricothead {
namespace detail {

using Json = nlohmann::ordered_json;

struct StatusMapping {
    Wire::ErrorCode code;
    unsigned status;
    std::string_view name;
};

constexpr std::array StatusMappings{
    StatusMapping{Wire::ERROR_CODE_INVALID, 400, "invalid_argument"},
    StatusMapping{Wire::ERROR_CODE_NOT_FOUND, 404, "not_found"},
    StatusMapping{Wire::ERROR_CODE_REVISION_CONFLICT, 409, "aborted"},
    StatusMapping{Wire::ERROR_CODE_NOT_ALLOWED, 403, "permission_denied"},
    StatusMapping{Wire::ERROR_CODE_WITHDRAWN, 400, "failed_precondition"},
    StatusMapping{Wire::ERROR_CODE_KEY_REUSED, 409, "already_exists"},
    StatusMapping{Wire::ERROR_CODE_UNAVAILABLE, 503, "unavailable"},
};

StatusMapping mappingFor(Wire::ErrorCode code)
{
    for (const StatusMapping &mapping : StatusMappings) {
        if (mapping.code == code) {
            return mapping;
        }
    }
    return {code, 500, "internal"};
}

/** \returns \a bytes in Base64 without padding, which the Connect protocol requires for error details */
std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int written = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    text.resize(text.find_last_not_of('=') + 1);
    return text;
}

std::string errorText(const Wire::Error &error)
{
    std::string text = error.field().empty() ? error.message() : error.field() + " " + error.message();
    if (!error.remedy().empty()) {
        text += "; " + error.remedy();
    }
    return text;
}

Json errorDetail(const Wire::Error &error)
{
    Json debug;
    debug["field"] = error.field();
    debug["message"] = error.message();
    debug["remedy"] = error.remedy();
    debug["currentRevision"] = error.current_revision();
    Json item;
    item["type"] = error.GetTypeName();
    item["value"] = base64(error.SerializeAsString());
    item["debug"] = std::move(debug);
    return item;
}

std::string serialized(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace detail

std::optional<ConnectEncoding> connectEncoding(std::string_view contentType)
{
    const std::string_view kind = contentType.substr(0, contentType.find(';'));
    if (kind == "application/json") {
        return ConnectEncoding::Json;
    }
    if (kind == "application/proto") {
        return ConnectEncoding::Binary;
    }
    return std::nullopt;
}

std::string_view contentTypeOf(ConnectEncoding encoding)
{
    return encoding == ConnectEncoding::Json ? "application/json" : "application/proto";
}

outcome::unchecked<void, Wire::Error> readMessage(ConnectEncoding encoding, const std::string &body, google::protobuf::Message &message)
{
    if (encoding == ConnectEncoding::Binary) {
        if (message.ParseFromString(body)) {
            return outcome::success();
        }
        return makeError(Wire::ERROR_CODE_INVALID, "", "the body is not a valid " + message.GetTypeName(), "send the message as defined in the schema");
    }
    // This also rejects text that is not valid UTF-8, which must not get into message fields.
    if (!body.empty() && !nlohmann::json::accept(body)) {
        return makeError(Wire::ERROR_CODE_INVALID, "", "the body is not valid JSON in UTF-8", "correct the JSON");
    }
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = false;
    const auto status = google::protobuf::util::JsonStringToMessage(body.empty() ? "{}" : body, &message, options);
    if (status.ok()) {
        return outcome::success();
    }
    return makeError(
        Wire::ERROR_CODE_INVALID, "", "the body is not valid JSON of " + message.GetTypeName() + ": " + std::string(status.message()), "correct the JSON");
}

std::string writeMessage(ConnectEncoding encoding, const google::protobuf::Message &message)
{
    if (encoding == ConnectEncoding::Binary) {
        return message.SerializeAsString();
    }
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) {
        return "{}";
    }
    return text;
}

ConnectError connectError(const Wire::Error &error)
{
    const detail::StatusMapping mapping = detail::mappingFor(error.code());
    detail::Json body;
    body["code"] = mapping.name;
    body["message"] = detail::errorText(error);
    body["details"] = detail::Json::array({detail::errorDetail(error)});
    return {.status = mapping.status, .body = detail::serialized(body)};
}

ConnectError connectError(unsigned status, std::string_view code, std::string_view message)
{
    detail::Json body;
    body["code"] = code;
    body["message"] = message;
    return {.status = status, .body = detail::serialized(body)};
}

} // namespace Apricothead
