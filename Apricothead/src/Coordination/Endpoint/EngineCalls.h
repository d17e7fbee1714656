#pragma once

#include "EngineAdapter.h"

#include "../../Transport/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricothead::detail {

/** Longest answer to a probe or report. */
constexpr std::size_t MaxReportBytes = 1024 * 1024;
constexpr std::chrono::milliseconds ReportTimeout{1000};

/** A short call with a small answer. */
struct ShortCall {
    std::string method = "GET";
    std::string path;
    std::string body;
};

/** Runs \a call against the engine of \a settings; \a done gets the result and the body. It cleans up after itself. */
void callEngine(HttpClient &client, const EndpointSettings &settings, ShortCall call, std::function<void(const HttpResult &, const std::string &)> done);

/** \returns options of a run's HTTP call with its bounds set */
HttpCallOptions runCallOptions(const EndpointSettings &settings, const Wire::Payload &payload);

/** \returns the result of a call that ended before an answer could be judged */
EngineResult incompleteResult(const HttpResult &http);

} // namespace Apricothead::detail
