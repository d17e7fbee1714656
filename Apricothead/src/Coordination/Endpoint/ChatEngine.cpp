#include "EngineCalls.h"

#include "../../Protocol/BoundedJson.h"
#include "../../Protocol/ChatAnswer.h"
#include "../../Protocol/EventStream.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Timer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned FirstErrorStatus = 400;
/** Time for the engine to close the response after its end-of-stream event; then the run ends without it. */
constexpr std::chrono::milliseconds ConnectionCloseTimeout{200};

/** \class ChatRun
 * \brief One streamed chat completion at an engine.
 */
class ChatRun : public EngineRun
{
public:
    ChatRun(EventLoop &loop, HttpClient &client, const EndpointSettings &settings, const Wire::Run &run, EngineRunHooks runHooks)
        : hooks(std::move(runHooks))
        , stream([this](std::string_view data) {
            this->handleEvent(data);
        })
        , endTimer(loop, [this] {
            this->finish({.whole = true, .neverSent = false, .status = this->status, .error = {}});
        })
    {
        HttpCallOptions options = detail::runCallOptions(settings, run.payload());
        const std::optional<std::string> body = streamedChatBody(run.payload().body(), run.admission().version(), run.payload().priority());
        options.body = body.value_or(run.payload().body());
        options.onHead = [this, field = settings.requestLimitField](unsigned headStatus, const HttpHeaders &headers) {
            detail::reportRequestLimit(field, headers, this->hooks);
            this->handleHead(headStatus, headers);
        };
        options.onData = [this](std::string_view bytes) {
            this->handleData(bytes);
        };
        options.onDone = [this](const HttpResult &result) {
            this->finish(result);
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
        return this->answer.usage();
    }

private:
    void handleHead(unsigned headStatus, const HttpHeaders &headers)
    {
        this->status = headStatus;
        const auto type = headers.find("content-type");
        const std::string contentType = type == headers.end() ? std::string("application/json") : type->second;
        this->isStream = headStatus < FirstErrorStatus && contentType.starts_with("text/event-stream");
        this->hooks.onHead(headStatus, contentType);
    }

    void handleData(std::string_view bytes)
    {
        if (this->isDone || this->answer.isEnded()) {
            return;
        }
        if (!this->isStream) {
            this->plainBody.append(bytes);
            if (this->plainBody.size() > detail::MaxReportBytes) {
                this->fail("the engine sent an answer that exceeds the size limit");
            }
            return;
        }
        if (!this->stream.feed(bytes)) {
            this->fail("the engine sent an event that exceeds the size limit");
        }
    }

    /** Ends the run early: its owner destroys it and with it the call. */
    void fail(const std::string &error)
    {
        this->streamError = error;
        this->finish({.whole = false, .neverSent = false, .status = this->status, .error = error});
    }

    void handleEvent(std::string_view data)
    {
        if (this->answer.isEnded()) {
            return;
        }
        if (this->answer.take(data)) {
            this->hooks.onChunk(std::string(data));
            return;
        }
        this->endTimer.startOnce(ConnectionCloseTimeout);
    }

    void finish(const HttpResult &http)
    {
        if (std::exchange(this->isDone, true)) {
            return;
        }
        this->endTimer.stop();
        if (!this->isStream && http.whole && !this->plainBody.empty()) {
            this->answer.take(this->plainBody);
            this->hooks.onChunk(this->plainBody);
        }
        this->hooks.onDone(this->makeResult(http));
    }

    EngineResult makeResult(const HttpResult &http) const
    {
        EngineResult result = detail::incompleteResult(http);
        if (http.status == 0) {
            return result;
        }
        result.usage = this->answer.usage();
        if (this->status >= FirstErrorStatus) {
            result.outcome = http.whole ? Wire::OUTCOME_FAILED : Wire::OUTCOME_CUT;
            result.error = "the engine responded with status " + std::to_string(this->status);
            return result;
        }
        if (!this->answer.error().empty() || !this->streamError.empty()) {
            result.outcome = Wire::OUTCOME_FAILED;
            result.error = this->answer.error().empty() ? this->streamError : this->answer.error();
            return result;
        }
        if (this->answer.isWhole()) {
            result.outcome = Wire::OUTCOME_WHOLE;
            result.verdict = Wire::VERDICT_RAN;
            result.error = this->answer.isEmpty() ? "empty-answer" : "";
        }
        return result;
    }

    EngineRunHooks hooks;
    ChatAnswer answer;
    EventStream stream;
    Timer endTimer;
    std::string plainBody;
    std::string streamError;
    unsigned status = 0;
    bool isStream = false;
    bool isDone = false;
    std::unique_ptr<HttpCall> call;
};

EngineLoad parseLoad(const HttpResult &http, const std::string &body)
{
    EngineLoad load;
    const nlohmann::json report = parseBoundedJson(body);
    if (!http.whole || http.status >= FirstErrorStatus || !report.is_object()) {
        return load;
    }
    load.known = true;
    load.running = report.value("running", 0U);
    load.queued = report.value("queued", 0U);
    load.ageMs = report.value("ageMs", std::uint64_t{0});
    const auto versions = report.find("versions");
    if (versions == report.end() || !versions->is_array()) {
        return load;
    }
    for (const nlohmann::json &version : *versions) {
        if (!version.is_string()) {
            continue;
        }
        load.versions.push_back(version.get<std::string>());
    }
    return load;
}

CacheEvents parseCacheEvents(std::uint64_t since, const HttpResult &http, const std::string &body)
{
    CacheEvents events;
    const nlohmann::json report = parseBoundedJson(body);
    if (!http.whole || http.status >= FirstErrorStatus || !report.is_object() || !report.contains("events")) {
        return events;
    }
    events.known = true;
    events.next = since;
    for (const nlohmann::json &event : report["events"]) {
        const std::uint64_t number = event.value("number", std::uint64_t{0});
        events.gap = events.gap || number != events.next;
        events.next = number + 1;
        Wire::PrefixHint hint;
        hint.set_prefix_hash(event.value("prefixHash", std::uint64_t{0}));
        hint.set_evicted(event.value("evicted", false));
        events.hints.push_back(hint);
    }
    return events;
}

std::string orderError(const HttpResult &http, const std::string &body)
{
    if (http.whole && http.status < FirstErrorStatus) {
        return {};
    }
    const nlohmann::json reply = parseBoundedJson(body);
    if (reply.is_object() && reply.contains("error") && reply["error"].is_string()) {
        return reply["error"].get<std::string>();
    }
    return http.error.empty() ? "the engine rejected the order with status " + std::to_string(http.status) : http.error;
}

/** \returns the parsed report, an empty one when a field has an unexpected type */
template <typename Report, typename Parse>
Report parseOrEmpty(Parse parse)
{
    try {
        return parse();
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

} // namespace

EngineAdapter chatEngineAdapter(EventLoop &loop, HttpClient &client, const EndpointSettings &settings)
{
    EngineAdapter adapter;
    adapter.run = [&loop, &client, settings](const Wire::Run &run, EngineRunHooks hooks) -> std::unique_ptr<EngineRun> {
        return std::make_unique<ChatRun>(loop, client, settings, run, std::move(hooks));
    };
    adapter.probe = [&client, settings](const std::function<void(bool)> &done) {
        detail::callEngine(client, settings, {.method = "GET", .path = "/health", .body = {}}, [done](const HttpResult &http, const std::string &) {
            done(http.whole && http.status < FirstErrorStatus);
        });
    };
    adapter.readLoad = [&client, settings](const std::function<void(const EngineLoad &)> &done) {
        detail::callEngine(client, settings, {.method = "GET", .path = "/load", .body = {}}, [done](const HttpResult &http, const std::string &body) {
            done(parseOrEmpty<EngineLoad>([&] {
                return parseLoad(http, body);
            }));
        });
    };
    adapter.readCacheEvents = [&client, settings](std::uint64_t since, const std::function<void(const CacheEvents &)> &done) {
        const std::string path = "/cache-events?since=" + std::to_string(since);
        detail::callEngine(client, settings, {.method = "GET", .path = path, .body = {}}, [since, done](const HttpResult &http, const std::string &body) {
            done(parseOrEmpty<CacheEvents>([&] {
                return parseCacheEvents(since, http, body);
            }));
        });
    };
    adapter.order = [&client, settings](const Wire::Order &order, const std::function<void(const std::string &)> &done) {
        nlohmann::json body{{"fence", order.fence()}};
        if (!order.load_version().empty()) {
            body["load"] = order.load_version();
        }
        if (!order.unload_version().empty()) {
            body["unload"] = order.unload_version();
        }
        detail::callEngine(
            client, settings, {.method = "POST", .path = "/orders", .body = body.dump()}, [done](const HttpResult &http, const std::string &reply) {
                done(orderError(http, reply));
            });
    };
    return adapter;
}

} // namespace Apricothead
