#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Apricothead::Test {

/** \class HttpAnswer
 * \brief What a blocking HTTP call got.
 */
struct HttpAnswer {
    /** True when the answer came whole. */
    bool whole = false;
    long status = 0;
    /** By lower-case name. */
    std::map<std::string, std::string> headers;
    std::string body;
    std::string error;

    std::string header(const std::string &name) const;
    nlohmann::json json() const;
};

/** \class HttpCallSpec
 * \brief A blocking HTTP call.
 */
struct HttpCallSpec {
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{20000};
    /** Gets the body as it grows; false ends the call. */
    std::function<bool(const std::string &bodySoFar)> onData;
};

HttpAnswer call(const HttpCallSpec &spec);

/** GET, or POST when there is a body, with JSON. */
HttpAnswer callJson(const std::string &url, const nlohmann::json &body = nullptr);

/** \returns the text of a chat completion, streamed or not */
std::string chatText(const HttpAnswer &answer);

/** \returns true when a streamed answer ends with its end mark */
bool hasEndMark(const HttpAnswer &answer);

} // namespace Apricothead::Test
