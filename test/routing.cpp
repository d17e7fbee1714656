#define BOOST_TEST_MODULE routing
#include "main.h"

#include <Apricothead/Coordination>

#include <memory>
#include <random>

using namespace Apricothead;

namespace {

RandomSource seeded(unsigned seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] {
        return std::uniform_real_distribution<double>(0, 1)(*engine);
    };
}

EndpointView view(const std::string &id)
{
    EndpointView made;
    made.endpoint = id;
    made.model = "chat";
    made.version = "v1";
    made.capacity = 8;
    made.incarnation = 7;
    return made;
}

RoutingRequest request()
{
    RoutingRequest made;
    made.model = "chat";
    made.version = "v1";
    made.promptTokens = 500;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(leavingUnhealthyDisconnectedAndOtherVersionsEndpointsAreNotChosen)
{
    std::vector<EndpointView> views;
    for (int i = 0; i < 40; ++i) {
        views.push_back(view("bad-" + std::to_string(i)));
        views.back().leaving = i % 4 == 0;
        views.back().healthy = i % 4 != 1;
        views.back().connected = i % 4 != 2;
        views.back().version = i % 4 == 3 ? "v2" : "v1";
    }
    BOOST_TEST(chooseEndpoint(views, request(), seeded(1)).endpoint.empty());
    BOOST_TEST(chooseEndpoint(views, request(), seeded(1)).reason == "no-healthy-endpoint");
    views.push_back(view("good"));
    views.back().reportedQueued = 90;
    for (unsigned seed = 0; seed < 50; ++seed) {
        BOOST_TEST(chooseEndpoint(views, request(), seeded(seed)).endpoint == "good");
    }
}

BOOST_AUTO_TEST_CASE(reasonTellsWhyThereIsNoEndpoint)
{
    BOOST_TEST(chooseEndpoint({}, request(), seeded(1)).reason == "no-endpoint-serves-version");
    EndpointView leaving = view("a");
    leaving.leaving = true;
    BOOST_TEST(chooseEndpoint({leaving}, request(), seeded(1)).reason == "all-endpoints-leaving");
}

BOOST_AUTO_TEST_CASE(anOldReportHasLessWeightThanOwnRuns)
{
    EndpointView fresh = view("fresh");
    fresh.reportedQueued = 3;
    EndpointView crowded = view("crowded");
    crowded.reportAgeMs = 5000;
    crowded.ownAwaiting = 6;
    BOOST_TEST(chooseEndpoint({fresh, crowded}, request(), seeded(1)).endpoint == "fresh");
}

BOOST_AUTO_TEST_CASE(aCachedPrefixIsPreferredButNotMandatory)
{
    EndpointView warm = view("warm");
    warm.prefixShare = 0.9;
    const EndpointView other = view("other");
    RoutingRequest asked = request();
    asked.promptTokens = 4000;
    BOOST_TEST(chooseEndpoint({warm, other}, asked, seeded(1)).endpoint == "warm");
    BOOST_TEST(chooseEndpoint({warm, other}, asked, seeded(1)).reason == "prefix-and-wait");
    warm.reportedQueued = 30;
    BOOST_TEST(chooseEndpoint({warm, other}, asked, seeded(1)).endpoint == "other");
}

BOOST_AUTO_TEST_CASE(triedAndEjectedEndpointsAreTheLastResort)
{
    EndpointView ejected = view("ejected");
    ejected.ejected = true;
    EndpointView busy = view("busy");
    busy.reportedQueued = 20;
    BOOST_TEST(chooseEndpoint({ejected, busy}, request(), seeded(1)).endpoint == "busy");
    RoutingRequest again = request();
    again.avoid = {"busy"};
    const RoutingDecision decision = chooseEndpoint({ejected, busy}, again, seeded(1));
    BOOST_TEST(decision.endpoint == "ejected");
    BOOST_TEST(decision.reason == "only-ejected-left");
    BOOST_TEST(chooseEndpoint({busy}, again, seeded(1)).reason == "only-tried-left");
}

BOOST_AUTO_TEST_CASE(anOverdueFirstTokenDivertsTrafficBeforeAnyReport)
{
    EndpointView stuck = view("stuck");
    stuck.ownAwaiting = 1;
    stuck.oldestAwaitingSinceMs = 1000;
    EndpointView busy = view("busy");
    busy.reportedQueued = 4;
    RoutingRequest asked = request();
    asked.nowMs = 4000;
    BOOST_TEST(chooseEndpoint({stuck, busy}, asked, seeded(1)).endpoint == "busy");
}

BOOST_AUTO_TEST_CASE(theTableFollowsAnnouncementsAndRemovals)
{
    RoutingTable table;
    table.addOrUpdate("a", "z1", 1, {{"chat", "v1"}, {"chat", "v2"}});
    table.addOrUpdate("b", "z1", 2, {{"chat", "v1"}});
    RoutingRequest asked = request();
    asked.version = "v2";
    BOOST_TEST(table.choose(asked, seeded(1)).endpoint == "a");
    table.addOrUpdate("a", "z1", 3, {{"chat", "v1"}});
    BOOST_TEST(table.choose(asked, seeded(1)).endpoint.empty());
    table.remove("a");
    asked.version = "v1";
    BOOST_TEST(table.choose(asked, seeded(1)).endpoint == "b");
    BOOST_TEST(table.choose(asked, seeded(1)).incarnation == 2U);
    table.mutableView("b")->leaving = true;
    BOOST_TEST(table.choose(asked, seeded(1)).reason == "all-endpoints-leaving");
    BOOST_TEST(table.usableCount("chat", "v1") == 0U);
}

BOOST_AUTO_TEST_CASE(aCachedPrefixAtAnotherVersionsEndpointIsIgnored)
{
    RoutingTable table;
    table.addOrUpdate("old", "z1", 1, {{"chat", "v0"}});
    table.addOrUpdate("new", "z1", 1, {{"chat", "v1"}});
    RoutingRequest asked = request();
    asked.prefixes = {{"old", 1.0}};
    BOOST_TEST(table.choose(asked, seeded(1)).endpoint == "new");
}
