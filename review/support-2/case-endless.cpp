// A worker whose answer to one stream is a row of short lines without end. Judged: orders of other consumers at the same gateway, at their route's time-out.
#include "Support.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

using namespace Review;

namespace {

constexpr std::uint64_t TimeoutMs = 1500;
constexpr std::uint64_t LaterMs = 500;
constexpr std::uint64_t DeadlineMs = 4000;
constexpr std::uint64_t OrderIntervalMs = 200;
constexpr unsigned Orders = 150;
/** With fewer requests unanswered at their time-out there is nothing to judge. */
constexpr unsigned LeastUnanswered = 8;
constexpr std::uint64_t StreamMs = 20'000;
constexpr std::uint64_t EndlessMs = 60'000;

std::string idOf(const Message &request)
{
    return request.fields.at("apricothead-request-id");
}

std::string streamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nApricothead-Request-Id: " + idOf(request)
        + "\r\nApricothead-Response-Seal: seal." + idOf(request) + "\r\n\r\n";
}

/** Short lines, a chunk each, until the peer closes. */
bool answerWithoutEnd(const Socket &connection, const Message &request)
{
    constexpr unsigned LinesAtOnce = 500;
    std::string lines;
    for (unsigned number = 0; number < LinesAtOnce; ++number) {
        lines += "2\r\nx\n\r\n";
    }
    const std::uint64_t endMs = nowMs() + EndlessMs;
    bool isTaken = connection.send(streamHead(request));
    while (isTaken && nowMs() < endMs) {
        isTaken = connection.send(lines);
    }
    return false;
}

bool answerStream(const Socket &connection, const Message &request)
{
    constexpr unsigned Events = 10;
    std::string bytes = streamHead(request);
    for (unsigned number = 1; number <= Events; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: word\n\n";
        std::string size(1, "0123456789abcdefghijklmnopqrstuvwxyz"[event.size() / 16]);
        size += "0123456789abcdef"[event.size() % 16];
        bytes.append(size).append("\r\n").append(event).append("\r\n");
    }
    return connection.send(bytes + "0\r\n\r\n");
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    std::atomic<bool> endless = false;
    const Worker fleet("i-fleet-1", "fleet", 64, options.controls, [&](const Socket &connection, const Message &request) {
        if (!endless.exchange(false)) {
            return answerStream(connection, request);
        }
        record.line("worker i-fleet-1 answers request " + idOf(request) + " without end");
        const bool kept = answerWithoutEnd(connection, request);
        record.line("worker i-fleet-1 ends its answer to " + idOf(request));
        return kept;
    });
    Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    waitUntilServing(options, record);
    const Answer first = call(options.gateway, "POST", "/question/first", consumerFields("stream-1", StreamMs), "question", LaterMs);
    record.line("stream-1, answered soundly: status " + std::to_string(first.status));

    endless = options.hasTrouble;
    std::thread([&] {
        const Answer answer = call(options.gateway, "POST", "/question/second", consumerFields("stream-2", StreamMs), "question", EndlessMs);
        record.line("stream-2: status " + std::to_string(answer.status) + " after " + std::to_string(answer.tookMs) + " ms");
    }).detach();

    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> unanswered = 0;
    std::atomic<unsigned> stillUnanswered = 0;
    std::vector<std::thread> consumers;
    std::thread probe([&] {
        constexpr std::uint64_t ProbeMs = 1000;
        unsigned missed = 0;
        for (unsigned number = 0; number < Orders * OrderIntervalMs / ProbeMs; ++number) {
            const std::uint64_t beganMs = nowMs();
            missed += call(options.ready, "GET", "/-/ready", {{"Host", options.ready}}, {}, ProbeMs).status == 200 ? 0 : 1;
            sleepMs(ProbeMs - std::min(ProbeMs, nowMs() - beganMs));
        }
        record.line("probes of the ready address without a 200: " + std::to_string(missed) + " of " + std::to_string(Orders * OrderIntervalMs / ProbeMs));
    });
    for (unsigned number = 0; number < Orders; ++number) {
        consumers.emplace_back([&, number] {
            const std::string id = "order-" + std::to_string(number);
            const Answer answer = call(options.gateway, "POST", "/booking/slot", consumerFields(id, DeadlineMs), "slot", DeadlineMs);
            served += answer.status == 200 ? 1 : 0;
            const bool isAnswered = answer.status != 0;
            unanswered += !isAnswered || answer.tookMs > TimeoutMs ? 1 : 0;
            stillUnanswered += !isAnswered || answer.tookMs > TimeoutMs + LaterMs ? 1 : 0;
            record.line(id + ": status " + std::to_string(answer.status) + " after " + std::to_string(answer.tookMs) + " ms");
        });
        sleepMs(OrderIntervalMs);
    }
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    probe.join();
    record.line("orders sent: " + std::to_string(Orders) + ", served: " + std::to_string(served) + ", run by the worker: " + std::to_string(desk.runs().size())
                + ", unanswered at the time-out of the route: " + std::to_string(unanswered) + ", half a second later: " + std::to_string(stillUnanswered));
    const bool isBroken = unanswered >= LeastUnanswered && 2 * stillUnanswered > unanswered;
    record.line(isBroken ? "CONFIG is broken" : "CONFIG held");
    endWith(isBroken ? 1 : 0);
}
