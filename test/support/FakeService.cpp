// A plain service with calls that may not be repeated (pole orders, bookings), for tests and the demo: counts its runs by order id.
#include "Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP and port to listen on");
ABSL_FLAG(int, delay_ms, 0, "time before an answer");

namespace Apricothead::Test {
namespace {

class Service
{
public:
    explicit Service(EventLoop &eventLoop)
        : loop(eventLoop)
        , delayMs(absl::GetFlag(FLAGS_delay_ms))
        , server(eventLoop,
                 HttpServerOptions{
                     .address = absl::GetFlag(FLAGS_listen),
                     .onRequest =
                         [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                             this->serve(request, reply);
                         },
                     .errorBody = {},
                 })
    { }

    std::string address() const
    {
        return this->server.boundAddress();
    }

private:
    void serve(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        if (request.path == "/counts") {
            sendJson(*reply, 200, {{"runs", this->runs}, {"total", this->total}});
            return;
        }
        if (request.path == "/control") {
            const nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
            this->delayMs = change.value("delayMs", this->delayMs);
            this->mode = change.value("mode", this->mode);
            sendJson(*reply, 200, {{"ok", true}});
            return;
        }
        if (request.path == "/health") {
            sendJson(*reply, 200, {{"ok", true}});
            return;
        }
        if (request.method == "GET") {
            sendJson(*reply, 200, {{"path", request.path}, {"stock", 1200}});
            return;
        }
        this->takeOrder(request, reply);
    }

    void takeOrder(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        const nlohmann::json order = nlohmann::json::parse(request.body, nullptr, false);
        const std::string id = order.is_object() ? order.value("id", "") : "";
        ++this->runs[id];
        ++this->total;
        const std::string answerMode = this->mode;
        const unsigned run = this->runs[id];
        if (this->delayMs == 0) {
            answer(answerMode, id, run, *reply);
            return;
        }
        const std::uint64_t name = this->nextTimer++;
        auto timer = std::make_unique<Timer>(this->loop, [this, name, answerMode, id, run, reply] {
            answer(answerMode, id, run, *reply);
            this->loop.post([this, name] {
                this->timers.erase(name);
            });
        });
        timer->startOnce(std::chrono::milliseconds(this->delayMs));
        this->timers[name] = std::move(timer);
    }

    static void answer(const std::string &mode, const std::string &id, unsigned run, HttpReply &reply)
    {
        if (mode == "fail") {
            sendJson(reply, 500, {{"error", "the order failed"}});
            return;
        }
        if (mode == "cut") {
            reply.startStream(200, {{"content-type", "application/json"}});
            reply.abort();
            return;
        }
        sendJson(reply, 201, {{"order", id}, {"accepted", true}, {"run", run}});
    }

    EventLoop &loop;
    int delayMs;
    /** whole, fail or cut */
    std::string mode = "whole";
    std::map<std::string, unsigned> runs;
    std::uint64_t total = 0;
    std::map<std::uint64_t, std::unique_ptr<Timer>> timers;
    std::uint64_t nextTimer = 0;
    HttpServer server;
};

} // namespace
} // namespace Apricothead::Test

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Apricothead::Test::Program program;
    Apricothead::Test::Service service(program.eventLoop());
    return program.run(service.address());
}
