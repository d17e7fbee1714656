#define BOOST_TEST_MODULE shutdown
#include "main.h"

#include "support/Load.h"

#include <csignal>
#include <fstream>
#include <iterator>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr unsigned Tokens = 20;
constexpr unsigned Threads = 6;
constexpr std::chrono::milliseconds ExitBound{20000};
constexpr std::chrono::milliseconds HandlingBound{1000};

bool hasLogged(const Process &process, const std::string &event)
{
    std::ifstream log(process.log());
    const std::string text{std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>()};
    return text.find("\"event\":\"" + event + "\"") != std::string::npos;
}

struct Fixture {
    Fixture() : cluster({.engineArguments = {"--token_delay_ms=10"}})
    {
        this->cluster.controlService({{"delayMs", 200}});
    }

    /** Sends SIGTERM to process \a name under load and checks that it exits with 0 and that no run was aborted or settled wrongly. */
    void terminateUnderLoad(const std::string &name, unsigned avoidedEntry)
    {
        Load load(this->cluster, {0, 1, 2}, Threads, Tokens);
        BOOST_REQUIRE(waitUntil([&] {
            return load.sent() >= 3 * Threads;
        }));
        this->cluster.process(name).signal(SIGTERM);
        load.avoid(avoidedEntry);
        const std::optional<int> code = this->cluster.process(name).waitExit(ExitBound);
        BOOST_TEST(code.has_value());
        BOOST_TEST(code.value_or(-1) == 0);
        const std::size_t sent = load.sent();
        BOOST_TEST(waitUntil([&] {
            return load.sent() >= sent + 3 * Threads;
        }));
        const std::vector<LoadResult> results = load.stop();
        BOOST_TEST(badAnswers(results, Tokens) == "");
        BOOST_TEST(badRuns(this->cluster, results, Tokens) == "");
        BOOST_TEST_MESSAGE(name << ": " << results.size() << " requests, " << wholeCount(results, Tokens) << " complete");
        BOOST_TEST(wholeCount(results, Tokens) * 10 >= results.size() * 9);
        const std::size_t completed = wholeCount(results, Tokens);
        BOOST_TEST(waitUntil([&] {
            return this->settledCount(results) == completed;
        }));
    }

    std::size_t settledCount(const std::vector<LoadResult> &results)
    {
        std::size_t settled = 0;
        for (const LoadResult &result : results) {
            const Wire::RequestRecord record = this->cluster.administrator().record("creek", result.key);
            settled += record.state() == Wire::RECORD_STATE_SETTLED ? 1 : 0;
        }
        return settled;
    }

    Cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(endpointProcessEndsGracefully, Fixture)
{
    this->terminateUnderLoad("endpoint-1", ~0U);
}

BOOST_FIXTURE_TEST_CASE(entryWithReplicaEndsGracefully, Fixture)
{
    this->terminateUnderLoad("entry-1", 0);
}

BOOST_FIXTURE_TEST_CASE(serviceEndpointFinishesItsOrders, Fixture)
{
    this->cluster.controlService({{"delayMs", 1000}});
    HttpAnswer answer;
    std::thread caller([&] {
        answer = this->cluster.order(0, "slow");
    });
    BOOST_TEST(waitUntil([&] {
        return this->cluster.orders("slow") == 1;
    }));
    this->cluster.process("yard").signal(SIGTERM);
    // Until the process has handled the signal, an order is accepted and finished like the first one.
    BOOST_TEST(waitUntil(
        [&] {
            return hasLogged(this->cluster.process("yard"), "endpoint-leaving");
        },
        HandlingBound));
    const HttpAnswer lateAnswer = this->cluster.order(1, "late");
    caller.join();
    BOOST_TEST(answer.status == 201);
    BOOST_TEST(this->cluster.process("yard").waitExit(ExitBound).value_or(-1) == 0);
    BOOST_TEST(lateAnswer.status >= 400);
    BOOST_TEST(lateAnswer.header("x-verdict") == "not-run");
    BOOST_TEST(this->cluster.orders("late") == 0U);
}
