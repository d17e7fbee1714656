#pragma once

#include "EngineAdapter.h"

#include "../../Transport/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricothead::detail {

/** Maximum size of the response to a probe or report request. */
constexpr std::size_t MaxReportBytes = 1024 * 1024;
constexpr std::chrono::milliseconds ReportTimeout{1000};

/** An HTTP request with a small response. */
struct ShortCall {
    std::string method = "GET";
    std::string path;
    std::string body;
};

/** Sends \a call to the engine of \a settings; \a done gets the result and the body. The call keeps itself alive until it ends. */
void callEngine(HttpClient &client, const EndpointSettings &settings, ShortCall call, std::function<void(const HttpResult &, const std::string &)> done);

/** \returns the options of a run's HTTP call, with its time-outs set */
HttpCallOptions runCallOptions(const EndpointSettings &settings, const Wire::Payload &payload);

/** Calls \c onRequestLimit for the head of an answer, where \a field names the field of a limit; not for a limit that can't be read. */
void reportRequestLimit(const std::string &field, const HttpHeaders &headers, const EngineRunHooks &hooks);

/** \returns the result of a call whose response is missing or truncated */
EngineResult incompleteResult(const HttpResult &http);

} // namespace Apricothead::detail
