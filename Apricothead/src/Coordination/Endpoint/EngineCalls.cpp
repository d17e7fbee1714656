#include "EngineCalls.h"

#include "../../Protocol/RequestLimit.h"

#include <utility>

namespace Apricothead::detail {

void callEngine(HttpClient &client, const EndpointSettings &settings, ShortCall call, std::function<void(const HttpResult &, const std::string &)> done)
{
    struct Pending {
        std::unique_ptr<HttpCall> call;
        std::string body;
    };
    auto pending = std::make_shared<Pending>();
    HttpCallOptions options;
    options.method = std::move(call.method);
    options.url = settings.engineUrl + call.path;
    options.body = std::move(call.body);
    if (!options.body.empty()) {
        options.headers["content-type"] = "application/json";
    }
    options.connectTimeout = settings.engineConnect;
    options.total = ReportTimeout;
    options.maxBodyBytes = MaxReportBytes;
    options.onData = [pending](std::string_view bytes) {
        pending->body.append(bytes);
    };
    options.onDone = [pending, done = std::move(done)](const HttpResult &result) {
        // The call owns this hook: moving the call out breaks the ownership cycle.
        const std::unique_ptr<HttpCall> ended = std::move(pending->call);
        done(result, pending->body);
    };
    pending->call = client.start(std::move(options));
}

HttpCallOptions runCallOptions(const EndpointSettings &settings, const Wire::Payload &payload)
{
    HttpCallOptions options;
    options.method = payload.method().empty() ? "POST" : payload.method();
    options.url = settings.engineUrl + payload.path();
    if (!payload.content_type().empty()) {
        options.headers["content-type"] = payload.content_type();
    }
    options.body = payload.body();
    options.connectTimeout = settings.engineConnect;
    options.silence = settings.engineSilence;
    options.total = settings.engineTotal;
    return options;
}

void reportRequestLimit(const std::string &field, const HttpHeaders &headers, const EngineRunHooks &hooks)
{
    if (field.empty() || !hooks.onRequestLimit) {
        return;
    }
    const auto named = headers.find(field);
    const std::optional<double> perSecond = named == headers.end() ? std::nullopt : parseRequestLimit(named->second);
    if (named == headers.end() || perSecond) {
        hooks.onRequestLimit(perSecond);
    }
}

EngineResult incompleteResult(const HttpResult &http)
{
    EngineResult result;
    result.neverSent = http.neverSent;
    result.outcome = Wire::OUTCOME_CUT;
    result.verdict = http.neverSent ? Wire::VERDICT_NOT_RUN : Wire::VERDICT_MAY_HAVE_RUN;
    result.status = http.status;
    result.error = http.error.empty() ? "the engine's response ended before it was complete" : http.error;
    return result;
}

} // namespace Apricothead::detail
