#define BOOST_TEST_MODULE placement
#include "main.h"

#include <Apricothead/Coordination>

#include <algorithm>

using namespace Apricothead;

namespace {

PlacementVersion version(const std::string &id, double demand)
{
    return {.model = "chat", .version = id, .demand = demand, .weightBytes = 10e9};
}

PlacementEndpoint endpoint(const std::string &id, const std::vector<std::string> &loaded, const std::string &zone = "z1")
{
    return {.endpoint = id, .availabilityZone = zone, .incarnation = 1, .maxVersions = 1, .capacity = 10, .loaded = loaded};
}

} // namespace

BOOST_AUTO_TEST_CASE(aVersionWithoutACopyIsLoadedImmediately)
{
    const PlacementDecision decision = choosePlacement({version("v1", 0)}, {endpoint("a", {}), endpoint("b", {})}, {}, {}, 1000);
    BOOST_REQUIRE(decision.orders.size() == 1U);
    BOOST_TEST(decision.orders.front().loadVersion == "v1");
    BOOST_TEST(decision.orders.front().reason == "no-copy");
    const Wire::Order order = fencedOrder(decision.orders.front(), 42, 7);
    BOOST_TEST(order.fence() == 42U);
    BOOST_TEST(order.load_version() == "v1");
}

BOOST_AUTO_TEST_CASE(demandMustStayHighBeforeACopyIsAdded)
{
    const std::vector<PlacementEndpoint> pool{endpoint("a", {"v1"}), endpoint("b", {}, "z2")};
    PlacementDecision decision = choosePlacement({version("v1", 9)}, pool, {}, {}, 1000);
    BOOST_TEST(decision.orders.empty());
    decision = choosePlacement({version("v1", 5)}, pool, decision.history, {}, 20000);
    decision = choosePlacement({version("v1", 9)}, pool, decision.history, {}, 25000);
    BOOST_TEST(choosePlacement({version("v1", 9)}, pool, decision.history, {}, 40000).orders.empty());
    decision = choosePlacement({version("v1", 9)}, pool, decision.history, {}, 56000);
    BOOST_REQUIRE(decision.orders.size() == 1U);
    BOOST_TEST(decision.orders.front().endpoint == "b");
    BOOST_TEST(decision.orders.front().reason == "demand-above");
}

BOOST_AUTO_TEST_CASE(theLastCopyOfAVersionInUseIsKept)
{
    // v2 is overloaded, and the only other endpoint has the last copy of v1, which sessions still use.
    const std::vector<PlacementEndpoint> pool{endpoint("a", {"v1"}), endpoint("b", {"v2"})};
    PlacementHistory history;
    for (double now = 1000; now < 500000; now += 5000) {
        const PlacementDecision decision = choosePlacement({version("v1", 0), version("v2", 30)}, pool, history, {}, now);
        BOOST_TEST(decision.orders.empty());
        history = decision.history;
    }
}

BOOST_AUTO_TEST_CASE(aSpareCopyIsReplacedOnlyAfterItsDemandStayedLow)
{
    const std::vector<PlacementEndpoint> pool{endpoint("a", {"v1"}), endpoint("b", {"v1"}), endpoint("c", {"v2"})};
    PlacementHistory history;
    std::vector<PlacementOrder> orders;
    double now = 1000;
    for (; now < 200000 && orders.empty(); now += 5000) {
        const PlacementDecision decision = choosePlacement({version("v1", 1), version("v2", 12)}, pool, history, {}, now);
        history = decision.history;
        orders = decision.orders;
    }
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().loadVersion == "v2");
    BOOST_TEST(orders.front().unloadVersion == "v1");
    BOOST_TEST(now > 30000);
}

BOOST_AUTO_TEST_CASE(withdrawnAndUnusedVersionsAreUnloaded)
{
    PlacementVersion gone = version("v1", 0);
    gone.withdrawn = true;
    PlacementVersion unused = version("v2", 0);
    unused.inUse = false;
    const PlacementDecision decision = choosePlacement({gone, unused}, {endpoint("a", {"v1"}), endpoint("b", {"v2"})}, {}, {}, 1000);
    BOOST_REQUIRE(decision.orders.size() == 2U);
    BOOST_TEST(decision.orders[0].reason == "withdrawn");
    BOOST_TEST(decision.orders[1].reason == "not-in-use");
}

BOOST_AUTO_TEST_CASE(theRateLimitOfTheWeightStoreIsRespected)
{
    // Eight versions of 10 GB each are to be loaded, at 1 GB/s with a burst of 20 GB.
    std::vector<PlacementVersion> versions;
    std::vector<PlacementEndpoint> pool;
    for (int i = 0; i < 8; ++i) {
        versions.push_back(version("v" + std::to_string(i), 1));
        pool.push_back(endpoint("e" + std::to_string(i), {}));
    }
    const PlacementOptions options{.storeBytesPerSecond = 1e9, .storeBurstBytes = 20e9, .maxConcurrentLoads = 100};
    PlacementHistory history;
    double loadedBytes = 0;
    for (double now = 0; now <= 60000; now += 1000) {
        const PlacementDecision decision = choosePlacement(versions, pool, history, options, now);
        history = decision.history;
        for (const PlacementOrder &order : decision.orders) {
            loadedBytes += 10e9;
            for (PlacementEndpoint &known : pool) {
                if (known.endpoint == order.endpoint) {
                    known.loaded.push_back(order.loadVersion);
                }
            }
        }
        BOOST_TEST(loadedBytes <= 20e9 + now * 1e6);
    }
    BOOST_TEST(loadedBytes == 80e9);
}

BOOST_AUTO_TEST_CASE(copiesAreSpreadOverZonesWithOneOrderPerEndpoint)
{
    PlacementVersion wide = version("v1", 1);
    wide.minCopies = 2;
    std::vector<PlacementEndpoint> pool{endpoint("a", {"v1"}, "z1"), endpoint("b", {}, "z1"), endpoint("c", {}, "z2")};
    PlacementDecision decision = choosePlacement({wide}, pool, {}, {}, 1000);
    BOOST_REQUIRE(decision.orders.size() == 1U);
    BOOST_TEST(decision.orders.front().endpoint == "c");
    pool[2].loading = "v1";
    BOOST_TEST(choosePlacement({wide}, pool, decision.history, {}, 2000).orders.empty());
    pool[0].usable = false;
    pool[2].loading.clear();
    decision = choosePlacement({wide}, pool, {}, {}, 3000);
    BOOST_REQUIRE(decision.orders.size() == 1U);
    BOOST_TEST(decision.orders.front().endpoint != "a");
}
