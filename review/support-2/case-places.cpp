// A crowd of consumers sends legal bodies very slowly, in small pieces. Judged: whether the gateway takes channels of ordinary consumers while it says it is
// ready.
#include "Support.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr unsigned Crowd = 1100;
constexpr unsigned BodyBytes = 4 * 1024 * 1024;
constexpr unsigned PieceBytes = 1100;
constexpr std::uint64_t PieceIntervalMs = 2000;
constexpr std::uint64_t WatchMs = 30'000;
constexpr std::uint64_t ContactMs = 3000;
constexpr unsigned Consumers = 8;
/** Consumers allow a new channel this long, and then abandon the attempt. */
constexpr std::uint64_t AttemptMs = 1000;
constexpr std::uint64_t PauseMs = 100;

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Record record(options.record);
    const Worker desk("i-desk-1", "desk", 6, options.controls, answerWhole);
    waitUntilServing(options, record);

    std::vector<Socket> crowd;
    if (options.hasTrouble) {
        record.line(std::to_string(Crowd) + " connections begin a body of " + std::to_string(BodyBytes) + " bytes and send " + std::to_string(PieceBytes)
                    + " bytes of it every " + std::to_string(PieceIntervalMs) + " ms");
    }
    for (unsigned number = 0; options.hasTrouble && number < Crowd; ++number) {
        crowd.push_back(Socket::connectTo(options.gateway, AttemptMs));
        crowd.back().sendSome("POST /nowhere/x HTTP/1.1\r\nHost: desk.example\r\nApricothead-Request-Id: crowd-" + std::to_string(number)
                              + "\r\nApricothead-Deadline-Ms: 20000\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n");
    }
    std::atomic<bool> isOver = false;
    std::thread sender([&] {
        const std::string piece(PieceBytes, 'b');
        while (!isOver) {
            const std::uint64_t nextMs = nowMs() + PieceIntervalMs;
            for (const Socket &one : crowd) {
                one.sendSome(piece);
            }
            sleepMs(nextMs - std::min(nextMs, nowMs()));
        }
    });

    const std::uint64_t startMs = nowMs();
    // When a channel was last taken: an answer came to a consumer, whatever it says; or the gateway last did not say that it is ready.
    std::atomic<std::uint64_t> lastTakenMs = startMs;
    std::atomic<unsigned> attempts = 0;
    std::atomic<unsigned> answered = 0;
    std::atomic<unsigned> notReady = 0;
    std::atomic<std::uint64_t> longestMs = 0;
    const auto watch = [&] {
        const std::uint64_t since = nowMs() - lastTakenMs;
        std::uint64_t known = longestMs;
        while (known < since && !longestMs.compare_exchange_weak(known, since)) { }
    };
    std::vector<std::thread> consumers;
    for (unsigned consumer = 0; consumer < Consumers; ++consumer) {
        consumers.emplace_back([&, consumer] {
            for (unsigned number = 0; nowMs() - startMs < WatchMs; ++number) {
                const std::string id = "lookup-" + std::to_string(consumer) + "-" + std::to_string(number);
                const Answer answer = call(options.gateway, "GET", "/status/x", consumerFields(id, AttemptMs), {}, AttemptMs);
                ++attempts;
                watch();
                if (answer.status != 0) {
                    ++answered;
                    lastTakenMs = nowMs();
                }
                if (number % 10 == 0) {
                    record.line(id + ": status " + std::to_string(answer.status) + " after " + std::to_string(answer.tookMs) + " ms");
                }
                sleepMs(PauseMs);
            }
        });
    }
    while (nowMs() - startMs < WatchMs) {
        if (call(options.ready, "GET", "/-/ready", {{"Host", options.ready}}, {}, AttemptMs).status != 200) {
            ++notReady;
            lastTakenMs = nowMs();
        }
        sleepMs(PauseMs);
    }
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    isOver = true;
    sender.join();
    record.line("attempts of " + std::to_string(Consumers) + " consumers: " + std::to_string(attempts) + ", answered: " + std::to_string(answered)
                + "; probes not answered by 200: " + std::to_string(notReady));
    record.line("longest time in which the gateway said it was ready and took no new channel: " + std::to_string(longestMs) + " ms; contact_ms is "
                + std::to_string(ContactMs));
    const bool isBroken = longestMs > ContactMs + AttemptMs;
    record.line(isBroken ? "RECOVER is broken" : "RECOVER held");
    endWith(isBroken ? 1 : 0);
}
