#define BOOST_TEST_MODULE crashingendpoints
#include "main.h"

#include "gatewayfixture.h"

#include <atomic>

using namespace Apricothead;
using namespace Apricothead::Test;
using std::chrono::milliseconds;

namespace {

/** Serves streams, and crashes when it begins to answer a request to the path /deadly. */
struct CrashingEndpoints {
    explicit CrashingEndpoints(GatewayFixture &gateway, unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            this->endpoints.push_back(std::make_unique<ScriptedEndpoint>([this, number](ScriptedConnection &connection, const std::string &head) {
                if (head.find(" /deadly ") != std::string::npos) {
                    ++this->crashes;
                    connection.send(streamHead(head));
                    this->endpoints[number]->crash();
                    return;
                }
                connection.send(streamHead(head) + chunk(event(1)) + chunk(event(2)) + LastChunk);
            }));
            gateway.announce("e" + std::to_string(number), this->endpoints.back()->address());
        }
    }

    std::atomic<unsigned> crashes = 0;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
};

} // namespace

BOOST_AUTO_TEST_CASE(partThatCrashesEndpointsIsNotSentOn)
{
    constexpr unsigned Endpoints = 40;
    constexpr unsigned Requests = 12;
    constexpr unsigned MaxCrashes = 5;
    constexpr std::uint64_t Common = 1;
    constexpr std::uint64_t Deadly = 2;
    constexpr milliseconds Pause{100};
    GatewayFixture gateway(Wire::REPEAT_RULE_STREAM);
    CrashingEndpoints endpoints(gateway, Endpoints);
    unsigned served = 0;
    for (unsigned number = 0; number < Requests; ++number) {
        const std::string name = std::to_string(number);
        gateway.ended(gateway.startPrompt("deadly-" + name, "/deadly", {Common, Deadly, 100 + number}));
        gateway.runFor(Pause);
        served += gateway.ended(gateway.startPrompt("sound-" + name, "/sound", {Common, 200 + number}))->status == 200U ? 1 : 0;
    }
    BOOST_TEST(endpoints.crashes <= MaxCrashes);
    BOOST_TEST(served == Requests);
}

BOOST_AUTO_TEST_CASE(requestWithoutPartsThatCrashesEndpointsIsNotSentOn)
{
    constexpr unsigned Requests = 10;
    constexpr unsigned MaxCrashes = 5;
    constexpr milliseconds Pause{100};
    GatewayFixture gateway(Wire::REPEAT_RULE_REPEATABLE);
    std::atomic<unsigned> crashes = 0;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    for (unsigned number = 0; number < 40; ++number) {
        endpoints.push_back(std::make_unique<ScriptedEndpoint>([&, number](ScriptedConnection &connection, const std::string &head) {
            if (head.find(" /deadly ") != std::string::npos) {
                ++crashes;
                endpoints[number]->crash();
                return;
            }
            connection.send(signedResponse(head, "stock"));
        }));
        gateway.announce("e" + std::to_string(number), endpoints.back()->address());
    }
    unsigned served = 0;
    std::shared_ptr<RecordedReply> last;
    for (unsigned number = 0; number < Requests; ++number) {
        last = gateway.ended(gateway.startPrompt("deadly-" + std::to_string(number), "/deadly", {}));
        gateway.runFor(Pause);
        served += gateway.ended(gateway.startPrompt("sound-" + std::to_string(number), "/sound", {}))->status == 200U ? 1 : 0;
    }
    BOOST_TEST(crashes <= MaxCrashes);
    BOOST_TEST(served == Requests);
    // Nothing was sent, so it is true that the request did not run, and the caller learns when to come back.
    BOOST_TEST(last->status == 503U);
    BOOST_TEST(last->headers.contains("Retry-After"));
}

BOOST_AUTO_TEST_CASE(lostConnectionsOfAnEndpointThatLivesCondemnNoPart)
{
    constexpr std::uint64_t Rare = 7;
    constexpr milliseconds Pause{400};
    GatewayFixture gateway(Wire::REPEAT_RULE_STREAM, 1);
    unsigned requests = 0;
    ScriptedEndpoint endpoint([&requests](ScriptedConnection &connection, const std::string &head) {
        if (++requests <= 4) {
            connection.reset();
            return;
        }
        connection.send(streamHead(head) + chunk(event(1)) + LastChunk);
    });
    for (unsigned number = 0; number < 8; ++number) {
        gateway.announce("e" + std::to_string(number), endpoint.address());
    }
    for (unsigned number = 0; number < 4; ++number) {
        BOOST_TEST(gateway.ended(gateway.startPrompt("lost-" + std::to_string(number), "/sound", {Rare, 100 + number}))->status == 502U);
        gateway.runFor(Pause);
    }
    BOOST_TEST(gateway.ended(gateway.startPrompt("sound", "/sound", {Rare, 200}))->status == 200U);
}

BOOST_AUTO_TEST_CASE(largerModelIsNotAskedBeforeTheAnswerHasBegun)
{
    // The endpoint crashes after the head of its answer. Had the request gone to a larger model by then, that endpoint would be next, and the
    // crash of the first one would have no cause.
    GatewayFixture gateway(Wire::REPEAT_RULE_STREAM, 1);
    gateway.plan = [] {
        Wire::ServicePlan plan = testPlan(Wire::REPEAT_RULE_STREAM, 2, 4000);
        plan.mutable_routes(0)->add_models("small");
        plan.mutable_routes(0)->add_models("large");
        return std::make_shared<const PlanIndex>(plan);
    }();
    std::atomic<unsigned> large = 0;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    for (unsigned number = 0; number < 4; ++number) {
        endpoints.push_back(std::make_unique<ScriptedEndpoint>([&, number](ScriptedConnection &connection, const std::string &head) {
            large += headerOf(head, "model") == "large" ? 1 : 0;
            connection.send(streamHead(head, "sure: 1\r\n"));
            std::this_thread::sleep_for(milliseconds(50));
            endpoints[number]->crash();
        }));
        gateway.announce("e" + std::to_string(number), endpoints.back()->address());
    }
    auto reply = std::make_shared<RecordedReply>();
    ForwardRequest request{.id = "deadly", .host = "host", .method = "POST", .target = "/", .path = "/", .body = "prompt", .anyModel = true};
    request.prompt = {{.id = 1, .tokens = 100}, {.id = 2, .tokens = 100}};
    gateway.runs.push_back(std::make_unique<ForwardRun>(gateway.context, std::move(request), reply, gateway.plan, &gateway.plan->plan().routes(0), nullptr));
    gateway.runs.back()->start();
    gateway.ended(reply);
    BOOST_TEST(large == 0U);
}
