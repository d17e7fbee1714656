#include "EngineCalls.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned FirstServerErrorStatus = 500;

/** \class PlainRun
 * \brief One HTTP call to a plain service.
 */
class PlainRun : public EngineRun
{
public:
    PlainRun(HttpClient &client, const EndpointSettings &settings, const Wire::Run &run, EngineRunHooks runHooks) : hooks(std::move(runHooks))
    {
        HttpCallOptions options = detail::runCallOptions(settings, run.payload());
        options.onHead = [this, field = settings.requestLimitField](unsigned status, const HttpHeaders &headers) {
            detail::reportRequestLimit(field, headers, this->hooks);
            const auto type = headers.find("content-type");
            this->hooks.onHead(status, type == headers.end() ? std::string("application/octet-stream") : type->second);
        };
        options.onData = [this](std::string_view bytes) {
            this->hooks.onChunk(std::string(bytes));
        };
        options.onDone = [this](const HttpResult &http) {
            this->hooks.onDone(makeResult(http));
        };
        this->call = client.start(std::move(options));
    }

    void pause() override
    {
        this->call->pause();
    }

    void resume() override
    {
        this->call->resume();
    }

    Wire::Usage usage() const override
    {
        return singleCallUsage();
    }

private:
    static Wire::Usage singleCallUsage()
    {
        Wire::Usage usage;
        usage.set_calls(1);
        return usage;
    }

    static EngineResult makeResult(const HttpResult &http)
    {
        EngineResult result = detail::incompleteResult(http);
        if (http.neverSent) {
            return result;
        }
        result.usage = singleCallUsage();
        if (!http.whole) {
            return result;
        }
        result.error.clear();
        result.verdict = Wire::VERDICT_RAN;
        result.outcome = Wire::OUTCOME_WHOLE;
        if (http.status >= FirstServerErrorStatus) {
            result.verdict = Wire::VERDICT_MAY_HAVE_RUN;
            result.outcome = Wire::OUTCOME_FAILED;
            result.error = "the service responded with status " + std::to_string(http.status);
        }
        return result;
    }

    EngineRunHooks hooks;
    std::unique_ptr<HttpCall> call;
};

} // namespace

EngineAdapter plainServiceAdapter(HttpClient &client, const EndpointSettings &settings)
{
    EngineAdapter adapter;
    adapter.run = [&client, settings](const Wire::Run &run, EngineRunHooks hooks) -> std::unique_ptr<EngineRun> {
        return std::make_unique<PlainRun>(client, settings, run, std::move(hooks));
    };
    // A plain service need not implement /health: any complete response below status 500 counts as healthy.
    adapter.probe = [&client, settings](const std::function<void(bool)> &done) {
        detail::callEngine(client, settings, {.method = "GET", .path = "/health", .body = {}}, [done](const HttpResult &http, const std::string &) {
            done(http.whole && http.status < FirstServerErrorStatus);
        });
    };
    return adapter;
}

} // namespace Apricothead
