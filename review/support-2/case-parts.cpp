// A consumer sends requests that are legal in size and whose prompts have very many short parts. Judged: the memory of both gateways' processes.
#include "Support.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

using namespace Review;

namespace {

constexpr unsigned Workers = 4;
constexpr unsigned PartsOfOne = 1400;
constexpr unsigned Senders = 2;
constexpr unsigned RequestsOfSender = 400;
constexpr std::uint64_t IntervalMs = 100;
constexpr std::uint64_t WaitMs = 2000;
constexpr std::uint64_t StreamMs = 20'000;
/** The memory of a front machine of the site: memory_mb = 110. */
constexpr long MachineKb = 110L * 1024;

bool answerStream(const Socket &connection, const Message &request)
{
    const std::string id = request.fields.at("apricothead-request-id");
    const std::string events = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";
    return connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(events.size())
                           + "\r\nApricothead-Request-Id: " + id + "\r\nApricothead-Response-Seal: seal." + id + "\r\n\r\n" + events);
}

/** \returns the parts of a prompt of 1,400 tokens: one token each, or three parts as others send them */
std::string prompt(unsigned number, bool isMany)
{
    if (!isMany) {
        return "5c1e07a2:800,91bd3f06:410," + std::to_string(number + 1) + ":190";
    }
    std::string parts;
    for (unsigned part = 0; part < PartsOfOne; ++part) {
        constexpr std::size_t Room = 16;
        char text[Room];
        std::snprintf(text, sizeof(text), "%s%x:1", part == 0 ? "" : ",", number * PartsOfOne + part + 1);
        parts += text;
    }
    return parts;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    const Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    std::vector<std::unique_ptr<Worker>> fleet;
    for (unsigned number = 1; number <= Workers; ++number) {
        fleet.push_back(std::make_unique<Worker>("i-fleet-" + std::to_string(number), "fleet", 64, options.controls, answerStream));
    }
    waitUntilServing(options, record);
    const auto areBothOver = [&options] {
        return std::min(memoryKb(options.gatewayProcess, "RssAnon"), memoryKb(options.otherGatewayProcess, "RssAnon")) > MachineKb;
    };
    const auto note = [&](const std::string &when) {
        record.line(when + ": RssAnon of the gateway that gets the requests " + std::to_string(memoryKb(options.gatewayProcess, "RssAnon"))
                    + " kB, of the other one " + std::to_string(memoryKb(options.otherGatewayProcess, "RssAnon")) + " kB");
    };
    note("at rest");
    record.line("requests have heads of about " + std::to_string(prompt(RequestsOfSender, options.hasTrouble).size())
                + " bytes in Apricothead-Prompt-Prefix, for 1,400 tokens");

    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> senders;
    for (unsigned sender = 0; sender < Senders; ++sender) {
        senders.emplace_back([&, sender] {
            for (unsigned number = 0; number < RequestsOfSender && !areBothOver(); ++number) {
                const unsigned unique = sender * RequestsOfSender + number;
                Fields fields = consumerFields("stream-" + std::to_string(unique), StreamMs);
                fields["Apricothead-Model"] = "model-a";
                fields["Apricothead-Token-Usage"] = "1400,10";
                fields["Apricothead-Prompt-Prefix"] = prompt(unique, options.hasTrouble);
                const Answer answer = call(options.gateway, "POST", "/question/x", fields, "question", WaitMs);
                served += answer.status == 200 ? 1 : 0;
                if (sent++ % 50 == 0) {
                    note("after " + std::to_string(sent) + " requests");
                }
                sleepMs(IntervalMs);
            }
        });
    }
    for (std::thread &sender : senders) {
        sender.join();
    }
    sleepMs(WaitMs);
    note("2 s after the last of " + std::to_string(sent) + " requests, " + std::to_string(served) + " of them served");
    const bool isBroken = areBothOver();
    record.line(isBroken ? "both processes need more than the " + std::to_string(MachineKb) + " kB of their machines"
                         : "both processes stay within the memory of their machines");
    endWith(isBroken ? 1 : 0);
}
