#define BOOST_TEST_MODULE zones
#include "main.h"

#include <Apricothead/Decisions>

#include <Apricothead/src/Coordination/Shared/AnnouncementRegistry.h>
#include <Apricothead/src/State/ServingTable.h>

#include <set>

using namespace Apricothead;

namespace {

Wire::SetEvacuation order(const std::string &zone, bool end = false)
{
    Wire::SetEvacuation result;
    result.set_availability_zone(zone);
    result.set_end(end);
    return result;
}

Wire::EndpointAnnouncement endpoint(const std::string &name, const std::string &zone, std::int64_t bornMs = 1)
{
    Wire::EndpointAnnouncement made;
    made.set_endpoint(name);
    made.set_service("pool");
    made.set_address("10.0.0.1:" + name);
    made.set_availability_zone(zone);
    made.set_version("v1");
    made.set_state(Wire::ANNOUNCED_STATE_READY);
    made.set_born_ms(bornMs);
    return made;
}

EndpointQuery query(std::uint64_t sharedPart)
{
    return {.service = "pool", .prompt = {{.id = sharedPart, .tokens = 10000}, {.id = 99, .tokens = 500}}, .model = "small"};
}

/** Twenty endpoints in each of the zones a and b. */
class Zones : public DirectEndpoints
{
public:
    Zones()
    {
        constexpr unsigned Count = 20;
        for (unsigned number = 0; number < Count; ++number) {
            this->applyAnnouncement(endpoint("a" + std::to_string(number), "a"));
            this->applyAnnouncement(endpoint("b" + std::to_string(number), "b"));
        }
    }

    /** \returns how many of many different requests would go to \a zone */
    unsigned chosenIn(char zone, std::uint64_t nowMs = 0) const
    {
        constexpr std::uint64_t Requests = 100;
        unsigned chosen = 0;
        for (std::uint64_t part = 0; part < Requests; ++part) {
            const auto choice = this->choose(query(part), nowMs);
            chosen += choice && choice->endpoint.front() == zone ? 1 : 0;
        }
        return chosen;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(latestOrderHoldsAndResentOnesChangeNothing)
{
    ServingTable table;
    BOOST_TEST(!table.setEvacuation(order("a"), 1).has_error());
    BOOST_TEST(!table.setEvacuation(order("a"), 2).has_error());
    BOOST_TEST(!table.setEvacuation(order("b"), 3).has_error());
    BOOST_TEST(!table.setEvacuation(order("c", true), 4).has_error());
    BOOST_REQUIRE(table.value().evacuations_size() == 2);
    BOOST_TEST(table.value().evacuations(0).order() == 1U);
    BOOST_TEST(table.value().number() == 3U);
    BOOST_TEST(!table.setEvacuation(order("a", true), 5).has_error());
    BOOST_TEST(!table.setEvacuation(order("a", true), 6).has_error());
    BOOST_REQUIRE(table.value().evacuations_size() == 1);
    BOOST_TEST(table.value().evacuations(0).availability_zone() == "b");
    BOOST_TEST(table.value().number() == 5U);
    // A plan that comes later does not end it.
    Wire::ServicePlan plan;
    plan.set_revision(9);
    table.putPlan(plan, 7);
    BOOST_TEST(table.value().evacuations_size() == 1);
}

BOOST_AUTO_TEST_CASE(stormOfOrdersIsBounded)
{
    ServingTable table;
    BOOST_TEST(table.setEvacuation(order(""), 1).has_error());
    BOOST_TEST(table.setEvacuation(order(std::string(1000, 'z')), 1).has_error());
    constexpr unsigned Orders = 300;
    unsigned refused = 0;
    for (unsigned number = 0; number < Orders; ++number) {
        refused += table.setEvacuation(order("zone-" + std::to_string(number)), number + 1).has_error() ? 1 : 0;
    }
    BOOST_TEST(table.value().evacuations_size() == 256);
    BOOST_TEST(refused == 44U);
    BOOST_TEST(!table.setEvacuation(order("zone-0", true), Orders + 1).has_error());
    BOOST_TEST(!table.setEvacuation(order("other"), Orders + 2).has_error());
}

BOOST_AUTO_TEST_CASE(endpointsOfAnEvacuatedZoneAreLeftOutEverywhere)
{
    Zones zones;
    // Zone a holds the prompts.
    for (std::uint64_t part = 0; part < 100; ++part) {
        zones.recordStart(query(part), {.endpoint = "a" + std::to_string(part % 20), .model = "small"});
    }
    BOOST_TEST(zones.chosenIn('a') > 0U);
    zones.setEvacuatedZones({"a"}, 0);
    BOOST_TEST(zones.chosenIn('a') == 0U);
    BOOST_TEST(zones.chosenIn('b') == 100U);
    BOOST_TEST(zones.readyCount("pool") == 20U);
    BOOST_TEST(zones.evacuatedCounts().at("a") == 20U);
    // Endpoints that start there are left out as well.
    zones.applyAnnouncement(endpoint("a20", "a"));
    BOOST_TEST(zones.chosenIn('a') == 0U);
    zones.setEvacuatedZones({}, 0);
    BOOST_TEST(zones.chosenIn('a') > 0U);
}

BOOST_AUTO_TEST_CASE(evacuatedZoneIsNoLastResort)
{
    Zones zones;
    zones.setEvacuatedZones({"a", "b"}, 0);
    BOOST_TEST(!zones.choose(query(1), 0));
    zones.setEvacuatedZones({"a"}, 0);
    for (unsigned number = 0; number < 20; ++number) {
        zones.recordPause("b" + std::to_string(number), 500, 0);
    }
    BOOST_TEST(!zones.choose(query(1), 0));
    BOOST_TEST(zones.pauseLeftMs("pool", 0) == 500U);
    // An endpoint of the evacuated zone is still known: requests there end in order.
    BOOST_TEST(zones.isReady("a0"));
}

BOOST_AUTO_TEST_CASE(coldEndpointsGetOneRequestInAGatewaysTurn)
{
    Zones zones;
    zones.setColdServices({{"pool", {.perSecond = 9.1}}});
    zones.setEvacuatedZones({"b"}, 0);
    for (unsigned number = 1; number < 20; ++number) {
        zones.applyAnnouncement([number] {
            Wire::EndpointAnnouncement gone = endpoint("a" + std::to_string(number), "a");
            gone.set_state(Wire::ANNOUNCED_STATE_GONE);
            return gone;
        }());
    }
    constexpr std::uint64_t ColdMs = 3000;
    zones.recordCold("a0", ColdMs, 0);
    BOOST_TEST(!zones.choose(query(1), 0));
    zones.setGatewayPlace(0, 1, 0);
    unsigned sent = 0;
    for (std::uint64_t nowMs = 0; nowMs < 1000; ++nowMs) {
        if (zones.choose(query(1), nowMs)) {
            zones.recordSent("a0", nowMs);
            ++sent;
        }
    }
    BOOST_TEST(sent >= 7U);
    BOOST_TEST(sent <= 9U);
    // The warm endpoint takes any number, as does one of a service that bears any.
    zones.recordSent("a0", ColdMs);
    BOOST_TEST(zones.choose(query(1), ColdMs).has_value());
    zones.setColdServices({});
    zones.recordCold("a0", ColdMs, ColdMs);
    BOOST_TEST(zones.choose(query(1), ColdMs).has_value());
}

BOOST_AUTO_TEST_CASE(zoneThatIsTakenBackCountsAsCold)
{
    Zones zones;
    zones.setGatewayPlace(0, 2, 0);
    zones.setColdServices({{"pool", {.perSecond = 9.1, .startMs = 3000}}});
    zones.setEvacuatedZones({"a"}, 0);
    constexpr std::uint64_t BackMs = 10000;
    zones.setEvacuatedZones({}, BackMs);
    // Of two gateways this one has about half of the turns.
    const unsigned chosen = zones.chosenIn('a', BackMs + 1000);
    BOOST_TEST(zones.chosenIn('b', BackMs + 1000) > chosen);
    std::set<std::string> sentTo;
    for (unsigned request = 0; request < 100; ++request) {
        const auto choice = zones.choose(query(request), BackMs + 1000);
        BOOST_REQUIRE(choice.has_value());
        zones.recordSent(choice->endpoint, BackMs + 1000);
        BOOST_TEST((choice->endpoint.front() == 'b' || sentTo.insert(choice->endpoint).second));
    }
    BOOST_TEST(zones.chosenIn('a', BackMs + 1000) == 0U);
    BOOST_TEST(zones.chosenIn('a', BackMs + 3000) > 0U);
}

BOOST_AUTO_TEST_CASE(turningColdOrWarmIsNews)
{
    AnnouncementRegistry registry(6000, 60000);
    Wire::EndpointAnnouncement heard = endpoint("i", "a");
    const auto record = [&registry, &heard](std::uint64_t coldMs) {
        heard.set_cold_ms(coldMs);
        heard.set_sequence(heard.sequence() + 1);
        return registry.recordHeartbeat(heard, heard.sequence()).size();
    };
    BOOST_TEST(record(0) == 1U);
    BOOST_TEST(record(3000) == 1U);
    BOOST_TEST(record(1800) == 0U);
    BOOST_TEST(record(0) == 1U);
    BOOST_TEST(record(0) == 0U);
}
