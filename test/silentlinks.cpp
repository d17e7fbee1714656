#define BOOST_TEST_MODULE silentlinks
#include "main.h"

#include "support/Load.h"

#include <algorithm>
#include <mutex>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr unsigned Tokens = 60;
constexpr unsigned Threads = 6;
/** Covers the silence bound of the settings, the length of an answer and a margin for loaded hosts. */
constexpr std::chrono::milliseconds RecoveryBound{10000};

/** Waits until every link carries load, then silences the relays in front of \a target. */
void silence(const Cluster &cluster, const Load &load, const std::string &target)
{
    BOOST_REQUIRE(waitUntil([&] {
        return load.sent() >= 2 * Threads;
    }));
    BOOST_TEST(cluster.relays(target, "silence") > 0U);
}

bool serves(const Cluster &cluster, const std::string &name)
{
    for (unsigned entry = 0; entry < 3; ++entry) {
        const std::string id = name + "-" + std::to_string(entry);
        const LoadResult chat{.kind = LoadKind::Plain, .key = id, .entry = entry, .answer = cluster.chat(entry, id, id, {{"max_tokens", Tokens}})};
        const LoadResult order{.kind = LoadKind::Order, .key = "order-" + id, .entry = entry, .answer = cluster.order(entry, "order-" + id)};
        if (!chat.isWhole(Tokens) || !order.isWhole(Tokens)) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(betweenEntriesAndEndpointProcesses)
{
    Cluster cluster({.relayToEndpoints = true, .engineArguments = {"--token_delay_ms=10"}});
    cluster.controlService({{"delayMs", 400}});
    Load load(cluster, {0, 1, 2}, Threads, Tokens);
    silence(cluster, load, "endpoint");
    const std::size_t sent = load.sent();
    BOOST_TEST(waitUntil(
        [&] {
            return load.sent() >= sent + 4 * Threads;
        },
        RecoveryBound));
    const std::vector<LoadResult> results = load.stop();
    BOOST_TEST(badAnswers(results, Tokens) == "");
    BOOST_TEST(badRuns(cluster, results, Tokens, true) == "");
    BOOST_TEST_MESSAGE(results.size() << " requests, " << wholeCount(results, Tokens) << " complete");
    BOOST_TEST(serves(cluster, "after"));
}

BOOST_AUTO_TEST_CASE(betweenReplicas)
{
    Cluster cluster({.relayToReplicas = true, .engineArguments = {"--token_delay_ms=10"}});
    cluster.controlService({{"delayMs", 400}});
    Load load(cluster, {0, 1, 2}, Threads, Tokens);
    silence(cluster, load, "replica");
    const std::size_t sent = load.sent();
    BOOST_TEST(waitUntil(
        [&] {
            return load.sent() >= sent + 4 * Threads;
        },
        RecoveryBound));
    BOOST_TEST(waitUntil(
        [&] {
            return serves(cluster, "after-" + std::to_string(load.sent()));
        },
        RecoveryBound));
    const std::vector<LoadResult> results = load.stop();
    BOOST_TEST(badAnswers(results, Tokens) == "");
    BOOST_TEST(badRuns(cluster, results, Tokens, true) == "");
    BOOST_TEST_MESSAGE(results.size() << " requests, " << wholeCount(results, Tokens) << " complete");
}

BOOST_AUTO_TEST_CASE(betweenEndpointProcessesAndEngines)
{
    Cluster cluster({.relayToEngines = true, .engineArguments = {"--token_delay_ms=20"}});
    cluster.controlService({{"delayMs", 1000}});
    std::vector<LoadResult> results;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (unsigned number = 0; number < Threads; ++number) {
        callers.emplace_back([&, number] {
            const bool isOrder = number % 2 == 0;
            const std::string key = "silenced-" + std::to_string(number);
            LoadResult result{.kind = isOrder ? LoadKind::Order : LoadKind::Streamed, .key = key, .entry = number % 3, .answer = {}};
            result.answer = isOrder ? cluster.order(number % 3, key) : cluster.chat(number % 3, key, key, {{"max_tokens", Tokens}, {"stream", true}});
            const std::lock_guard lock(mutex);
            results.push_back(std::move(result));
        });
    }
    BOOST_TEST(waitUntil([&] {
        const std::map<std::string, unsigned> runs = cluster.allRuns();
        return std::count_if(runs.begin(),
                             runs.end(),
                             [](const auto &run) {
                                 return run.first.starts_with("silenced-");
                             })
            == Threads;
    }));
    BOOST_TEST(cluster.relays("engine", "silence") >= Threads);
    // New connections work while the silenced ones still hang.
    cluster.controlService({{"delayMs", 0}});
    BOOST_TEST(serves(cluster, "meanwhile"));
    const auto begin = std::chrono::steady_clock::now();
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin < RecoveryBound));
    for (const LoadResult &result : results) {
        BOOST_TEST(!result.isWhole(Tokens));
        BOOST_TEST(!result.isNotRun());
        BOOST_TEST_MESSAGE(result.key << ": status " << result.answer.status << ", verdict " << result.answer.header("x-verdict"));
        if (result.kind == LoadKind::Order) {
            BOOST_TEST(result.answer.header("x-verdict") == "may-have-run");
        }
        BOOST_TEST(waitUntil([&] {
            return cluster.administrator().record("creek", result.key).state() == Wire::RECORD_STATE_SETTLED;
        }));
    }
    BOOST_TEST(badRuns(cluster, results, Tokens, true) == "");
}
