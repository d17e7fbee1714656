#include "../support/Support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/** A worker sends bytes without end into the body of one stream. The platform ends a process that uses more memory than it may. */
namespace Review {
namespace {

constexpr std::int64_t ClearAnswerMs = 10'000;
constexpr std::int64_t DeadlineMs = 12'000;
constexpr std::int64_t PauseMs = 100;
/** `limits.memory_mb` of a front machine of the site, in KB. */
constexpr std::int64_t MemoryKb = 260 * 1024;
constexpr std::int64_t RestartMs = 300;
/** 800 Mbit/s, less than `link_mbps` of a front machine (1000). */
constexpr std::int64_t BytesPerMs = 100'000;
/** 16 Mbit/s: the link of the consumer whose stream does not end. */
constexpr std::int64_t ConsumerBytesPerSecond = 2'000'000;
constexpr unsigned Consumers = 8;
constexpr std::int64_t WorkMs = 6000;
/** "More than three times". */
constexpr unsigned Allowed = 3;

const char *const Config
    = R"({"version":1,"routes":[{"name":"chat","host":"shop.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":12000,)"
      R"("target_latency_ms":2000,"priority":0,"max_attempts":1,"public":true,"service":"chat"},)"
      R"({"name":"plans","host":"shop.example","path_prefix":"/plans/","route_type":"safe","timeout_ms":12000,)"
      R"("target_latency_ms":8000,"priority":0,"max_attempts":1,"public":true,"service":"plans"}],)"
      R"("services":[{"name":"chat","health_path":"/health","max_connections":110},{"name":"plans","health_path":"/health","max_connections":110}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/** Sends events without a number, in the body of the answer to \a request, until the caller closes. */
void sendWithoutEnd(int connection, const Request &request)
{
    constexpr std::size_t EventBytes = 50'000;
    const std::string head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\napricothead-request-id: " + request.header("apricothead-request-id")
        + "\r\napricothead-response-seal: s\r\n\r\n";
    const std::string event = "data: " + std::string(EventBytes, 'x') + "\n\n";
    const std::int64_t startedMs = nowMs();
    std::int64_t sent = 0;
    bool isOpen = send(connection, head.data(), head.size(), MSG_NOSIGNAL) > 0;
    while (isOpen) {
        if (sent > (nowMs() - startedMs) * BytesPerMs) {
            sleepMs(1);
            continue;
        }
        const ssize_t count = send(connection, event.data(), event.size(), MSG_NOSIGNAL);
        isOpen = count == static_cast<ssize_t>(event.size());
        sent += count;
    }
}

class Case
{
public:
    Case() : record("review/2/record.txt"), control(this->record, {this->deployment.control(1), this->deployment.control(2), this->deployment.control(3)})
    { }

    int run()
    {
        const std::vector<unsigned> core{1, 2, 3};
        for (const unsigned replica : core) {
            this->deployment.startReplica(replica, core, true);
        }
        this->deployment.startGateway(1, core);
        Worker plans(this->control, this->record, this->runs, this->worker("plans", "127.3.0.1"));
        Worker chat(this->control, this->record, this->runs, this->worker("chat", "127.3.0.2"));
        if (this->control.call({.method = "PUT", .path = "/-/config", .body = Config}, ClearAnswerMs).status != 200 || !this->isServed()) {
            return CouldNotRun;
        }
        std::thread platform([this] {
            this->watchMemory();
        });
        std::vector<std::thread> consumers;
        std::atomic<unsigned> lost = 0;
        for (unsigned number = 0; number < Consumers; ++number) {
            consumers.emplace_back([this, number, &lost] {
                lost += this->isLost("plan-" + std::to_string(number)) ? 1 : 0;
            });
        }
        sleepMs(PauseMs);
        const Response stream = callSlowly(this->deployment.front(1), consumerRequest("chat", "/chat/x", "", DeadlineMs), DeadlineMs, ConsumerBytesPerSecond);
        this->record.line("request chat -> " + std::to_string(stream.status) + " " + stream.error);
        for (std::thread &consumer : consumers) {
            consumer.join();
        }
        this->ended = true;
        platform.join();
        this->record.line("the gateway used up to " + std::to_string(this->mostKb) + " KB and was ended " + std::to_string(this->ends) + " times; "
                          + std::to_string(lost) + " of " + std::to_string(Consumers)
                          + " requests that were passed on to a sound worker from a kept channel lost their channel without an answer");
        return lost > Allowed ? Broken : Held;
    }

private:
    WorkerOptions worker(const std::string &service, const std::string &ip)
    {
        WorkerOptions options{.id = "i-" + service, .service = service, .address = ip + ":" + std::to_string(this->deployment.ports().worker)};
        if (service == "chat") {
            options.take = [](int connection, const Request &request) {
                const bool isTaken = hasTrouble() && request.header("apricothead-request-id") == "chat";
                if (isTaken) {
                    sendWithoutEnd(connection, request);
                }
                return isTaken;
            };
            options.answer = [](const Request &) {
                return Response{.status = 200, .headers = {{"content-type", "text/event-stream"}}, .body = "id: 1\ndata: hello\n\n"};
            };
        } else {
            options.answer = [](const Request &request) {
                sleepMs(request.path == "/plans/long" ? WorkMs : 0);
                return Response{.status = 200, .body = "plan"};
            };
        }
        return options;
    }

    bool isServed()
    {
        const std::int64_t untilMs = nowMs() + ClearAnswerMs;
        bool served = false;
        for (unsigned number = 0; !served && nowMs() < untilMs; ++number) {
            const std::string id = "start-" + std::to_string(number);
            served = call(this->deployment.front(1), consumerRequest(id + "p", "/plans/x", "", DeadlineMs), DeadlineMs).status == 200
                && call(this->deployment.front(1), consumerRequest(id + "c", "/chat/x", "", DeadlineMs), DeadlineMs).status == 200;
            sleepMs(PauseMs);
        }
        return served;
    }

    /** Makes two requests on a channel. \returns whether the second one ran and its channel ended without an answer */
    bool isLost(const std::string &id)
    {
        Channel channel(this->deployment.front(1));
        const Response first = channel.call(consumerRequest(id + "a", "/plans/x", "", DeadlineMs), DeadlineMs);
        const Response second = channel.call(consumerRequest(id + "b", "/plans/long", "", DeadlineMs), DeadlineMs);
        this->record.line("request " + id + "a -> " + std::to_string(first.status) + ", " + id + "b on the same channel -> " + std::to_string(second.status)
                          + " " + second.error);
        sleepMs(WorkMs);
        return first.status == 200 && second.status == 0 && !this->runs.of(id + "b").empty();
    }

    /** The platform: "A process that uses more than memory_mb is killed", and is restarted after a short delay. */
    void watchMemory()
    {
        constexpr std::int64_t IntervalMs = 20;
        while (!this->ended) {
            Process &gateway = this->deployment.process("gateway-1");
            const std::int64_t usedKb = gateway.memoryKb();
            this->mostKb = std::max(this->mostKb, usedKb);
            if (usedKb > MemoryKb) {
                this->record.line("the gateway uses " + std::to_string(usedKb) + " KB, more than " + std::to_string(MemoryKb) + ": it is ended and restarted");
                ++this->ends;
                gateway.signal(SIGKILL);
                gateway.waitEnd(ClearAnswerMs);
                sleepMs(RestartMs);
                this->deployment.restart("gateway-1");
            }
            sleepMs(IntervalMs);
        }
    }

    Record record;
    Deployment deployment;
    Control control;
    Runs runs;
    std::atomic<bool> ended = false;
    std::int64_t mostKb = 0;
    unsigned ends = 0;
};

} // namespace
} // namespace Review

int main()
{
    try {
        return Review::Case().run();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return Review::CouldNotRun;
    }
}
