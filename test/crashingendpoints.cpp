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
