// Another writer reports a service that no config names, at the address of a worker. Judged: how often each kind of request is served after that.
#include "Support.h"

#include <array>
#include <chrono>
#include <string>

using namespace Review;

namespace {

constexpr std::uint64_t WatchMs = 30'000;
constexpr std::uint64_t WaitMs = 2000;
constexpr std::uint64_t PauseMs = 200;
/** A kind of request that is served less than this part as often as all requests is starved. */
constexpr unsigned StarvedPart = 4;

bool answerStream(const Socket &connection, const Message &request)
{
    const std::string id = request.fields.at("apricothead-request-id");
    const std::string events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";
    return connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(events.size())
                           + "\r\nApricothead-Request-Id: " + id + "\r\nApricothead-Response-Seal: seal." + id + "\r\n\r\n" + events);
}

struct Kind {
    std::string name;
    std::string method;
    std::string target;
    unsigned sent = 0;
    unsigned served = 0;
    unsigned refused = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    const Worker fleet("i-fleet-1", "fleet", 64, options.controls, answerStream);
    const Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    waitUntilServing(options, record);

    std::array<Kind, 3> kinds{Kind{.name = "question", .method = "POST", .target = "/question/x"},
                              Kind{.name = "booking", .method = "POST", .target = "/booking/x"},
                              Kind{.name = "status", .method = "GET", .target = "/status/x"}};
    if (options.hasTrouble) {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const std::string report = R"({"service":"service-of-another-writer","address":")" + desk.address()
            + R"(","zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":)" + std::to_string(born) + "}";
        const Answer answer = call(options.controls.front(),
                                   "PUT",
                                   "/-/instances/i-other-1",
                                   {{"Host", options.controls.front()}, {"Content-Type", "application/json"}},
                                   report,
                                   WaitMs);
        record.line("another writer reports once: " + report + ", status " + std::to_string(answer.status));
    }
    unsigned sent = 0;
    unsigned served = 0;
    for (const std::uint64_t endMs = nowMs() + WatchMs; nowMs() < endMs; sleepMs(PauseMs)) {
        for (Kind &kind : kinds) {
            const std::string id = kind.name + "-" + std::to_string(kind.sent++);
            const Answer answer = call(options.gateway, kind.method, kind.target, consumerFields(id, WaitMs), {}, WaitMs);
            // A stream comes in chunks, which this caller doesn't read: its head counts.
            constexpr unsigned Ok = 200;
            constexpr unsigned Unavailable = 503;
            ++sent;
            served += answer.status == Ok ? 1 : 0;
            kind.served += answer.status == Ok ? 1 : 0;
            kind.refused += answer.status == Unavailable ? 1 : 0;
        }
    }
    record.line("reports of worker i-desk-1 as ready that were answered with 200: " + std::to_string(desk.acknowledgedBeats()));
    bool isBroken = false;
    for (const Kind &kind : kinds) {
        const bool isStarved = StarvedPart * kind.served * sent < served * kind.sent;
        isBroken = isBroken || isStarved;
        record.line(kind.name + ": sent " + std::to_string(kind.sent) + ", served " + std::to_string(kind.served) + ", refused with 503 "
                    + std::to_string(kind.refused) + (isStarved ? "; starved" : ""));
    }
    record.line(isBroken ? "Starved is broken" : "Starved held");
    endWith(isBroken ? 1 : 0);
}
