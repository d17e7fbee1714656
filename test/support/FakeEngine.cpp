// A model engine with the OpenAI chat interface, for tests and the demo: streams known words, counts its runs, and fails on command.
#include "Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <xxhash.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port to listen on");
ABSL_FLAG(std::vector<std::string>, versions, {}, "versions that are loaded");
ABSL_FLAG(bool, honour_fence, true, "refuse orders with a lower fencing number than the newest seen");
ABSL_FLAG(int, first_token_ms, 20, "time before the first token");
ABSL_FLAG(int, token_delay_ms, 2, "time between tokens");
ABSL_FLAG(int, tokens, 16, "tokens of an answer when the request names no max_tokens");
ABSL_FLAG(int, event_lag_ms, 300, "age at which cache events become visible");

namespace Apricothead::Test {
namespace {

/** What the engine does, changed by POST /control. */
struct Behaviour {
    int firstTokenMs = 0;
    int tokenDelayMs = 0;
    int tokens = 0;
    /** whole, cut, hang, error or empty; nodone leaves out the end mark, silent sends nothing at all. */
    std::string mode = "whole";
    /** Tokens sent before a cut or hang. */
    int after = 3;
    bool healthy = true;
};

/** Hooks of a Stream. */
struct StreamOptions {
    std::shared_ptr<HttpReply> reply;
    std::string prompt;
    int tokens = 0;
    Behaviour behaviour;
    std::function<void(bool finished)> onEnd;
};

/** \class Stream
 * \brief One answer under way. Its text is the prompt, then numbered words.
 */
class Stream
{
public:
    Stream(EventLoop &loop, StreamOptions streamOptions)
        : options(std::move(streamOptions)), timer(loop, [this] {
            this->step();
        })
    {
        this->options.reply->onDisconnect([this] {
            this->end(false);
        });
        this->timer.startOnce(std::chrono::milliseconds(this->options.behaviour.firstTokenMs));
    }

private:
    void step()
    {
        const Behaviour &behaviour = this->options.behaviour;
        if (behaviour.mode == "silent") {
            return;
        }
        if (!this->isStarted) {
            this->isStarted = true;
            this->options.reply->startStream(200, {{"content-type", "text/event-stream"}});
        }
        const bool breaksOff = (behaviour.mode == "cut" || behaviour.mode == "hang") && this->sent >= behaviour.after;
        if (breaksOff && behaviour.mode == "hang") {
            return;
        }
        if (breaksOff) {
            this->options.reply->abort();
            this->end(false);
            return;
        }
        if (this->sent >= this->options.tokens || behaviour.mode == "empty") {
            this->writeEnd();
            return;
        }
        const std::string word = this->sent == 0 ? this->options.prompt : " w" + std::to_string(this->sent);
        this->writeEvent({{{"index", 0}, {"delta", {{"content", word}}}, {"finish_reason", nullptr}}}, false);
        ++this->sent;
        this->timer.startOnce(std::chrono::milliseconds(behaviour.tokenDelayMs));
    }

    void writeEnd()
    {
        this->writeEvent({{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}}}, false);
        this->writeEvent(nlohmann::json::array(), true);
        if (this->options.behaviour.mode != "nodone") {
            this->options.reply->write("data: [DONE]\n\n");
        }
        this->options.reply->finish();
        this->end(true);
    }

    void writeEvent(const nlohmann::json &choices, bool withUsage)
    {
        nlohmann::json event{{"id", "chatcmpl-fake"}, {"object", "chat.completion.chunk"}, {"created", 0}, {"model", "fake"}, {"choices", choices}};
        if (withUsage) {
            event["usage"] = {{"prompt_tokens", this->options.prompt.size()},
                              {"completion_tokens", this->sent},
                              {"total_tokens", this->options.prompt.size() + static_cast<std::size_t>(this->sent)}};
        }
        this->options.reply->write("data: " + event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n");
    }

    void end(bool finished)
    {
        if (std::exchange(this->isOver, true)) {
            return;
        }
        this->timer.stop();
        this->options.onEnd(finished);
    }

    StreamOptions options;
    int sent = 0;
    bool isStarted = false;
    bool isOver = false;
    Timer timer;
};

class Engine
{
public:
    explicit Engine(EventLoop &eventLoop)
        : loop(eventLoop)
        , server(eventLoop,
                 HttpServerOptions{
                     .address = absl::GetFlag(FLAGS_listen),
                     .onRequest =
                         [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                             this->serve(request, reply);
                         },
                     .errorBody = {},
                 })
    {
        this->behaviour.firstTokenMs = absl::GetFlag(FLAGS_first_token_ms);
        this->behaviour.tokenDelayMs = absl::GetFlag(FLAGS_token_delay_ms);
        this->behaviour.tokens = absl::GetFlag(FLAGS_tokens);
        for (const std::string &version : absl::GetFlag(FLAGS_versions)) {
            this->versions.insert(version);
        }
    }

    std::string address() const
    {
        return this->server.boundAddress();
    }

private:
    struct CacheEvent {
        std::uint64_t number = 0;
        std::uint64_t prefixHash = 0;
        std::uint64_t atMs = 0;
    };

    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        if (request.path == "/v1/chat/completions") {
            this->complete(request, reply);
            return;
        }
        if (request.path == "/health") {
            sendJson(*reply, this->behaviour.healthy ? 200 : 503, {{"ok", this->behaviour.healthy}});
            return;
        }
        if (request.path == "/load") {
            sendJson(*reply, 200, {{"running", this->streams.size()}, {"queued", 0}, {"ageMs", 50}, {"versions", this->versions}});
            return;
        }
        if (request.path == "/cache-events") {
            this->listEvents(request, *reply);
            return;
        }
        if (request.path == "/orders") {
            this->takeOrder(request, *reply);
            return;
        }
        if (request.path == "/counts") {
            sendJson(*reply,
                     200,
                     {{"runs", this->runs},
                      {"total", this->total},
                      {"finished", this->finished},
                      {"cancelled", this->cancelled},
                      {"running", this->streams.size()},
                      {"fences", this->fences}});
            return;
        }
        if (request.path == "/control") {
            this->control(request, *reply);
            return;
        }
        sendJson(*reply, 404, {{"error", {{"message", "no such path"}}}});
    }

    void complete(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("messages") || body["messages"].empty()) {
            sendJson(*reply, 400, {{"error", {{"message", "messages are missing"}}}});
            return;
        }
        if (!this->versions.empty() && !this->versions.contains(body.value("model", ""))) {
            sendJson(*reply, 404, {{"error", {{"message", "this version is not loaded"}}}});
            return;
        }
        const std::string prompt = body["messages"].back().value("content", "");
        ++this->runs[prompt];
        ++this->total;
        if (this->behaviour.mode == "error") {
            sendJson(*reply, 500, {{"error", {{"message", "the engine failed"}}}});
            return;
        }
        this->events.push_back({.number = this->nextEvent++, .prefixHash = XXH3_64bits(prompt.data(), prompt.size()), .atMs = this->loop.nowMs()});
        const std::uint64_t name = this->nextStream++;
        this->streams[name] = std::make_unique<Stream>(this->loop,
                                                       StreamOptions{.reply = reply,
                                                                     .prompt = prompt,
                                                                     .tokens = body.value("max_tokens", this->behaviour.tokens),
                                                                     .behaviour = this->behaviour,
                                                                     .onEnd = [this, name](bool isWhole) {
                                                                         this->streamEnded(name, isWhole);
                                                                     }});
    }

    void streamEnded(std::uint64_t name, bool isWhole)
    {
        this->finished += isWhole ? 1 : 0;
        this->cancelled += isWhole ? 0 : 1;
        // Later: the stream is still at work.
        this->loop.post([this, name] {
            this->streams.erase(name);
        });
    }

    void listEvents(const HttpRequest &request, HttpReply &reply)
    {
        constexpr std::string_view Field = "since=";
        constexpr std::size_t Kept = 100;
        const std::size_t at = request.query.find(Field);
        const std::uint64_t since = at == std::string::npos ? 0 : std::strtoull(request.query.c_str() + at + Field.size(), nullptr, 10);
        while (this->events.size() > Kept) {
            this->events.pop_front();
        }
        nlohmann::json listed = nlohmann::json::array();
        for (const CacheEvent &event : this->events) {
            const bool isVisible = this->loop.nowMs() - event.atMs >= static_cast<std::uint64_t>(absl::GetFlag(FLAGS_event_lag_ms));
            if (event.number < since || !isVisible) {
                continue;
            }
            listed.push_back({{"number", event.number}, {"prefixHash", event.prefixHash}, {"evicted", false}});
        }
        sendJson(reply, 200, {{"events", listed}});
    }

    void takeOrder(const HttpRequest &request, HttpReply &reply)
    {
        const nlohmann::json order = nlohmann::json::parse(request.body, nullptr, false);
        const std::uint64_t fence = order.is_object() ? order.value("fence", std::uint64_t{0}) : 0;
        if (absl::GetFlag(FLAGS_honour_fence) && fence < this->newestFence) {
            sendJson(reply, 409, {{"error", "the fencing number is outdated"}});
            return;
        }
        this->newestFence = std::max(this->newestFence, fence);
        this->fences.push_back(fence);
        if (order.contains("load")) {
            this->versions.insert(order["load"].get<std::string>());
        }
        if (order.contains("unload")) {
            this->versions.erase(order["unload"].get<std::string>());
        }
        sendJson(reply, 200, {{"ok", true}});
    }

    void control(const HttpRequest &request, HttpReply &reply)
    {
        const nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
        if (!change.is_object()) {
            sendJson(reply, 400, {{"error", "no JSON object"}});
            return;
        }
        this->behaviour.mode = change.value("mode", this->behaviour.mode);
        this->behaviour.after = change.value("after", this->behaviour.after);
        this->behaviour.tokens = change.value("tokens", this->behaviour.tokens);
        this->behaviour.firstTokenMs = change.value("firstTokenMs", this->behaviour.firstTokenMs);
        this->behaviour.tokenDelayMs = change.value("tokenDelayMs", this->behaviour.tokenDelayMs);
        this->behaviour.healthy = change.value("healthy", this->behaviour.healthy);
        sendJson(reply, 200, {{"ok", true}});
    }

    EventLoop &loop;
    Behaviour behaviour;
    std::set<std::string> versions;
    std::map<std::string, unsigned> runs;
    std::uint64_t total = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::vector<std::uint64_t> fences;
    std::uint64_t newestFence = 0;
    std::deque<CacheEvent> events;
    std::uint64_t nextEvent = 0;
    std::map<std::uint64_t, std::unique_ptr<Stream>> streams;
    std::uint64_t nextStream = 0;
    HttpServer server;
};

} // namespace
} // namespace Apricothead::Test

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Apricothead::Test::Program program;
    Apricothead::Test::Engine engine(program.eventLoop());
    return program.run(engine.address());
}
