#define BOOST_TEST_MODULE serving
#include "main.h"

#include <Apricothead/Coordination>
#include <Apricothead/Decisions>
#include <Apricothead/Gateway>

#include <Apricothead/src/Coordination/Replica/MembershipRepair.h>
#include <Apricothead/src/Coordination/Shared/AnnouncementBook.h>
#include <Apricothead/src/Coordination/Shared/AnnouncementView.h>
#include <Apricothead/src/State/ServingTable.h>

using namespace Apricothead;

namespace {

Wire::ServicePlan plan(std::uint64_t revision, const std::string &service = "pool")
{
    Wire::ServicePlan made;
    made.set_revision(revision);
    made.add_services()->set_name(service);
    return made;
}

Wire::EndpointAnnouncement announcement(const std::string &endpoint,
                                        std::uint64_t sequence,
                                        Wire::AnnouncedState state = Wire::ANNOUNCED_STATE_READY,
                                        std::int64_t bornMs = 100,
                                        const std::string &address = "10.0.0.1:80")
{
    Wire::EndpointAnnouncement made;
    made.set_endpoint(endpoint);
    made.set_service("pool");
    made.set_address(address);
    made.set_version("v1");
    made.set_sequence(sequence);
    made.set_state(state);
    made.set_born_ms(bornMs);
    return made;
}

Wire::StartServiceRollout order(const std::string &target)
{
    Wire::StartServiceRollout made;
    made.set_service("pool");
    made.set_target(target);
    made.set_duration_ms(20000);
    return made;
}

Wire::VersionCount count(const std::string &version, std::uint64_t answers, std::uint64_t failed, double meanMs, const std::string &route = "r")
{
    Wire::VersionCount made;
    made.set_service("pool");
    made.set_version(version);
    made.set_route(route);
    made.set_answers(answers);
    made.set_failed(failed);
    made.set_time_sum_ms(meanMs * static_cast<double>(answers));
    return made;
}

Wire::ServiceRollout running(unsigned sharePermille)
{
    Wire::ServiceRollout rollout;
    rollout.set_service("pool");
    rollout.set_target("v2");
    rollout.set_duration_ms(20000);
    rollout.set_order(5);
    rollout.set_state(Wire::SERVICE_ROLLOUT_STATE_RUNNING);
    rollout.set_share_permille(sharePermille);
    return rollout;
}

Wire::Member member(const std::string &replica, const std::string &address)
{
    Wire::Member made;
    made.set_replica(replica);
    made.set_address(address);
    return made;
}

Wire::Membership membership(std::initializer_list<Wire::Member> members)
{
    Wire::Membership made;
    for (const Wire::Member &one : members) {
        *made.add_members() = one;
    }
    return made;
}

Wire::Join join(const std::string &replica, const std::string &address)
{
    Wire::Join made;
    made.set_replica(replica);
    made.set_address(address);
    return made;
}

} // namespace

// ---- the plan in the log ----

BOOST_AUTO_TEST_CASE(highestRevisionWinsInAnyOrder)
{
    ServingTable table;
    BOOST_TEST(table.put(plan(5), 1).revision() == 5U);
    BOOST_TEST(table.put(plan(3), 2).revision() == 5U);
    // Other content under the revision held changes nothing, and is acknowledged.
    BOOST_TEST(table.put(plan(5, "other"), 3).revision() == 5U);
    BOOST_TEST(table.value().plan().services(0).name() == "pool");
    BOOST_TEST(table.value().number() == 1U);
    BOOST_TEST(table.put(plan(9), 4).revision() == 9U);
    BOOST_TEST(table.value().number() == 4U);
}

BOOST_AUTO_TEST_CASE(resentRolloutIsAcknowledgedAndNotStartedAgain)
{
    ServingTable table;
    table.put(plan(1), 1);
    BOOST_TEST(table.start(order("v2"), 2, 1000).revision() == 1U);
    Wire::SetServiceRollout change;
    change.set_service("pool");
    change.set_order(2);
    change.set_state(Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    BOOST_TEST(!table.set(change, 3).has_error());
    BOOST_TEST(!table.start(order("v2"), 4, 2000).has_error());
    BOOST_TEST(table.value().rollouts(0).state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    // What ended stays ended, and a change for a former order is refused.
    change.set_state(Wire::SERVICE_ROLLOUT_STATE_RUNNING);
    BOOST_TEST(table.set(change, 5).has_error());
    BOOST_TEST(!table.start(order("v3"), 6, 3000).has_error());
    BOOST_TEST(table.value().rollouts_size() == 1);
    BOOST_TEST(table.set(change, 7).has_error());
    Wire::StartServiceRollout unknown = order("v2");
    unknown.set_service("nobody");
    BOOST_TEST(table.start(unknown, 8, 1).has_error());
}

// ---- announcements ----

BOOST_AUTO_TEST_CASE(lateHeartbeatChangesNothing)
{
    AnnouncementBook book(6000, 60000);
    BOOST_TEST(book.heard(announcement("i", 3), 0).size() == 1U);
    BOOST_TEST(book.heard(announcement("i", 4, Wire::ANNOUNCED_STATE_LEAVING), 10).size() == 1U);
    BOOST_TEST(book.heard(announcement("i", 2), 20).empty());
    // Leaving is final for an incarnation, whatever a later heartbeat says.
    BOOST_TEST(book.heard(announcement("i", 5), 30).empty());
    BOOST_TEST(book.all().front().state() == Wire::ANNOUNCED_STATE_LEAVING);
    // A new incarnation under the same id counts anew.
    BOOST_TEST(book.heard(announcement("i", 1, Wire::ANNOUNCED_STATE_READY, 200), 40).size() == 1U);
    BOOST_TEST(book.all().front().state() == Wire::ANNOUNCED_STATE_READY);
    BOOST_TEST(book.heard(announcement("i", 9, Wire::ANNOUNCED_STATE_READY, 100), 50).empty());
}

BOOST_AUTO_TEST_CASE(goneEndpointStaysGone)
{
    AnnouncementBook book(6000, 60000);
    book.heard(announcement("i", 3), 0);
    BOOST_TEST(book.left("i", 10).size() == 1U);
    BOOST_TEST(book.left("i", 11).empty());
    BOOST_TEST(book.heard(announcement("i", 4), 20).empty());
    BOOST_TEST(book.all().front().state() == Wire::ANNOUNCED_STATE_GONE);
}

BOOST_AUTO_TEST_CASE(addressBelongsToTheLatestIncarnation)
{
    AnnouncementBook book(6000, 60000);
    book.heard(announcement("old", 3, Wire::ANNOUNCED_STATE_READY, 100), 0);
    const auto changed = book.heard(announcement("new", 1, Wire::ANNOUNCED_STATE_READY, 200), 10);
    BOOST_TEST(changed.size() == 2U);
    // A heartbeat of the former holder that was held up names nobody.
    BOOST_TEST(book.heard(announcement("old", 4, Wire::ANNOUNCED_STATE_READY, 100), 20).empty());
    BOOST_TEST(book.heard(announcement("older", 4, Wire::ANNOUNCED_STATE_READY, 50), 20).empty());
}

BOOST_AUTO_TEST_CASE(silentEndpointIsListedAsSilentAndComesBack)
{
    AnnouncementBook book(6000, 60000);
    book.heard(announcement("i", 1), 0);
    BOOST_TEST(book.expire(5000).empty());
    BOOST_TEST(book.expire(6001).front().state() == Wire::ANNOUNCED_STATE_SILENT);
    BOOST_TEST(book.heard(announcement("i", 2), 7000).front().state() == Wire::ANNOUNCED_STATE_READY);
    // A replica that stood still itself gives everybody time.
    book.grace(30000);
    BOOST_TEST(book.expire(30001).empty());
}

BOOST_AUTO_TEST_CASE(oneReplicaThatIsCutOffSilencesNobody)
{
    AnnouncementView view;
    BOOST_TEST(view.take("a", {announcement("i", 1)}).size() == 1U);
    BOOST_TEST(view.take("b", {announcement("i", 2)}).empty());
    view.take("a", {announcement("i", 2, Wire::ANNOUNCED_STATE_SILENT)});
    BOOST_TEST(view.find("i")->state() == Wire::ANNOUNCED_STATE_READY);
    view.take("b", {announcement("i", 2, Wire::ANNOUNCED_STATE_SILENT)});
    BOOST_TEST(view.find("i")->state() == Wire::ANNOUNCED_STATE_SILENT);
    view.take("a", {announcement("i", 3, Wire::ANNOUNCED_STATE_LEAVING)});
    view.take("b", {announcement("i", 2)});
    BOOST_TEST(view.find("i")->state() == Wire::ANNOUNCED_STATE_LEAVING);
}

BOOST_AUTO_TEST_CASE(replicaThatRestartedNoLongerVouchesForWhatItForgot)
{
    AnnouncementView view;
    view.take("a", {announcement("i", 1), announcement("j", 1)});
    const auto changed = view.takeAll("a", {announcement("j", 2)});
    BOOST_TEST(changed.size() == 2U);
    BOOST_TEST(view.find("i")->state() == Wire::ANNOUNCED_STATE_SILENT);
    BOOST_TEST(view.find("j")->state() == Wire::ANNOUNCED_STATE_READY);
}

// ---- membership ----

BOOST_AUTO_TEST_CASE(emptyReplicaIsLetIn)
{
    MembershipRepair repair;
    const auto all = [](const std::string &) {
        return true;
    };
    const Wire::Membership one = membership({member("a", "1:1")});
    BOOST_TEST(!repair.next(one, all, 0).has_value());
    repair.asked(join("b", "2:1"), 10);
    const auto step = repair.next(one, all, 20);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST(step->addAddress == "2:1");
    BOOST_TEST(step->remove.empty());
    // One that is a voter already, or that no longer asks, is no candidate.
    BOOST_TEST(!repair.next(membership({member("a", "1:1"), member("b", "2:1")}), all, 30).has_value());
    BOOST_TEST(!repair.next(one, all, 5000).has_value());
}

BOOST_AUTO_TEST_CASE(replicaWithALostDiskIsAnotherMember)
{
    MembershipRepair repair;
    const auto all = [](const std::string &) {
        return true;
    };
    repair.asked(join("b2", "2:1"), 0);
    const auto step = repair.next(membership({member("a", "1:1"), member("b", "2:1"), member("c", "3:1")}), all, 1);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST(step->remove == "b");
    BOOST_TEST(step->addAddress == "2:1");
}

BOOST_AUTO_TEST_CASE(newcomerTakesThePlaceOfASilentMember)
{
    MembershipRepair repair;
    const Wire::Membership three = membership({member("a", "1:1"), member("b", "2:1"), member("c", "3:1")});
    const auto withoutC = [](const std::string &replica) {
        return replica != "c";
    };
    BOOST_TEST(!repair.next(three, withoutC, 0).has_value());
    repair.asked(join("d", "4:1"), 3000);
    const auto step = repair.next(three, withoutC, 3001);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST(step->remove == "c");
    BOOST_TEST(step->addAddress == "4:1");
    // A group of three keeps a silent member that nobody replaces.
    BOOST_TEST(!repair.next(three, withoutC, 20000).has_value());
}

BOOST_AUTO_TEST_CASE(evenGroupDropsItsSilentMember)
{
    MembershipRepair repair;
    const Wire::Membership four = membership({member("a", "1:1"), member("b", "2:1"), member("c", "3:1"), member("d", "4:1")});
    const auto withoutC = [](const std::string &replica) {
        return replica != "c";
    };
    BOOST_TEST(!repair.next(four, withoutC, 0).has_value());
    const auto step = repair.next(four, withoutC, 7000);
    BOOST_REQUIRE(step.has_value());
    BOOST_TEST(step->remove == "c");
}

// ---- roll-outs ----

BOOST_AUTO_TEST_CASE(goodVersionGrowsAndCompletes)
{
    ServiceRolloutEvaluator judge;
    judge.recordCounts("g", {count("v1", 500, 2, 100), count("v2", 40, 0, 110)});
    BOOST_TEST(judge.decide(running(0), 100).share_permille() == 100U);
    BOOST_TEST(judge.decide(running(100), 9000).state() == Wire::SERVICE_ROLLOUT_STATE_UNSPECIFIED);
    BOOST_TEST(judge.decide(running(100), 11000).share_permille() == 300U);
    BOOST_TEST(judge.decide(running(600), 15000).share_permille() == 1000U);
    BOOST_TEST(judge.decide(running(1000), 15500).state() == Wire::SERVICE_ROLLOUT_STATE_COMPLETED);
}

BOOST_AUTO_TEST_CASE(completionWaitsForTheFormerVersionsWork)
{
    ServiceRolloutEvaluator judge;
    Wire::VersionCount former = count("v1", 500, 2, 100);
    former.set_open(3);
    judge.recordCounts("g", {former, count("v2", 40, 0, 110)});
    BOOST_TEST(judge.decide(running(1000), 15500).state() == Wire::SERVICE_ROLLOUT_STATE_UNSPECIFIED);
    BOOST_TEST(judge.decide(running(1000), 18900).state() == Wire::SERVICE_ROLLOUT_STATE_COMPLETED);
}

BOOST_AUTO_TEST_CASE(badVersionIsRolledBack)
{
    ServiceRolloutEvaluator failing;
    failing.recordCounts("g", {count("v1", 500, 2, 100), count("v2", 8, 4, 100)});
    BOOST_TEST(failing.decide(running(100), 3000).state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    ServiceRolloutEvaluator slow;
    slow.recordCounts("g", {count("v1", 500, 2, 100), count("v2", 8, 0, 800)});
    BOOST_TEST(slow.decide(running(100), 3000).state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    // Bad on one route only.
    ServiceRolloutEvaluator oneRoute;
    oneRoute.recordCounts("g", {count("v1", 500, 0, 100), count("v2", 60, 0, 100), count("v1", 100, 0, 100, "s"), count("v2", 6, 3, 100, "s")});
    BOOST_TEST(oneRoute.decide(running(100), 3000).state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
}

BOOST_AUTO_TEST_CASE(manyGatewaysNeedASmallerCanary)
{
    ServiceRolloutEvaluator judge;
    for (unsigned gateway = 0; gateway < 29; ++gateway) {
        judge.recordCounts("g-" + std::to_string(gateway), {count("v1", 50, 0, 100)});
    }
    BOOST_TEST(judge.decide(running(0), 100).share_permille() == 30U);
}

BOOST_AUTO_TEST_CASE(gatewayThatRestartsCountsAnew)
{
    ServiceRolloutEvaluator judge;
    judge.recordCounts("g", {count("v1", 500, 0, 100), count("v2", 30, 2, 100)});
    judge.recordCounts("g", {count("v1", 10, 0, 100), count("v2", 5, 2, 100)});
    // Four failures of 35 answers, none lost by the restart.
    const Wire::SetServiceRollout step = judge.decide(running(0), 100);
    BOOST_TEST(step.evidence() == "35 answers, 4 failed");
}

// ---- which version ----

BOOST_AUTO_TEST_CASE(sessionStaysOnItsVersionWhileTheCanaryRuns)
{
    VersionSplit split(5000);
    Wire::ServingState state;
    split.started("pool", "s", "v1", 0);
    split.ended("pool", "s", 0);
    *state.add_rollouts() = running(100);
    split.setState(state, 0);
    BOOST_TEST(!split.rule("pool", "s", 0, 100).wantsTarget);
    // Another gateway may have served a session that is not known here; a request without one is free.
    BOOST_TEST(!split.rule("pool", "t", 0, 100).wantsTarget);
    BOOST_TEST(split.rule("pool", "", 0, 100).wantsTarget);
    BOOST_TEST(split.rule("pool", "t", 0, 5100).wantsTarget);
    BOOST_TEST(!split.rule("pool", "t", 999, 5100).wantsTarget);
    split.started("pool", "u", "v2", 100);
    BOOST_TEST(split.rule("pool", "u", 999, 200).wantsTarget);
    // Forgotten after its time.
    BOOST_TEST(split.rule("pool", "s", 0, 5200).wantsTarget);
}

BOOST_AUTO_TEST_CASE(rolledBackVersionGetsNothing)
{
    VersionSplit split(5000);
    Wire::ServingState state;
    *state.add_rollouts() = running(100);
    state.mutable_rollouts(0)->set_state(Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    split.setState(state, 0);
    split.started("pool", "u", "v2", 100);
    const VersionRule rule = split.rule("pool", "u", 0, 200);
    BOOST_TEST(!rule.wantsTarget);
    BOOST_TEST(!rule.mayFallBack);
    BOOST_TEST(!rule.wants("v2"));
    BOOST_TEST(rule.wants("v1"));
}

// ---- retries, models, events ----

BOOST_AUTO_TEST_CASE(repeatedArrivalsStayWithinTheSharedBound)
{
    RetryWindow window({.ratio = 0.9, .windowMs = 10000, .slack = 56, .usedFraction = 0.7});
    window.setGateways(4);
    for (unsigned request = 0; request < 100; ++request) {
        window.recordRequest("pool", 1000);
    }
    unsigned taken = 0;
    while (taken < 1000 && window.tryAcquire("pool", 1000)) {
        ++taken;
    }
    // Four gateways together stay under 0.9 * 400 + 56.
    BOOST_TEST(taken * 4 <= 416U);
    BOOST_TEST(taken >= 60U);
    BOOST_TEST(!window.tryAcquire("pool", 10900));
    window.recordRequest("pool", 11100);
    BOOST_TEST(window.tryAcquire("pool", 11100));
}

BOOST_AUTO_TEST_CASE(unsureModelGivesWayOnlyWhenTheLargestIsInTime)
{
    const ModelLadder ladder;
    BOOST_TEST(ladder.shouldEscalate({.confidence = 10, .objectiveLeftMs = 2000, .expectedMs = 300}));
    BOOST_TEST(!ladder.shouldEscalate({.confidence = 90, .objectiveLeftMs = 2000, .expectedMs = 300}));
    // A sure answer that is late earns callers more than a wrong one in time, but not however late.
    BOOST_TEST(ladder.shouldEscalate({.confidence = 10, .objectiveLeftMs = 2000, .expectedMs = 1900}));
    BOOST_TEST(!ladder.shouldEscalate({.confidence = 10, .objectiveLeftMs = 2000, .expectedMs = 3100}));
    BOOST_TEST(!ladder.shouldEscalate({.objectiveLeftMs = 2000, .expectedMs = 300}));
    Wire::PlanRoute route;
    BOOST_TEST(ModelLadder::first(route).empty());
    for (const char *model : {"small", "middle", "large"}) {
        route.add_models(model);
    }
    BOOST_TEST(ModelLadder::first(route) == "small");
    BOOST_TEST(ModelLadder::next(route, "small") == "large");
    BOOST_TEST(ModelLadder::next(route, "large").empty());
}

BOOST_AUTO_TEST_CASE(eventsAreCutWhole)
{
    EventSplitter splitter;
    splitter.append("id: 7\nda");
    BOOST_TEST(!splitter.next().has_value());
    splitter.append("ta: x\n\nid: 8\n\nrest");
    BOOST_TEST((*splitter.next() == StreamEvent{.bytes = "id: 7\ndata: x\n\n", .id = "7"}));
    BOOST_TEST(splitter.next()->id == "8");
    BOOST_TEST(!splitter.next().has_value());
    BOOST_TEST(splitter.hasRest());
}

// ---- the plan's index ----

BOOST_AUTO_TEST_CASE(longestPrefixIsTheRoute)
{
    Wire::ServicePlan made = plan(1);
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        Wire::PlanRoute *route = made.add_routes();
        route->set_name(prefix);
        route->set_host("host");
        route->set_path_prefix(prefix);
    }
    const PlanIndex index(made);
    BOOST_TEST(index.route("host", "/a/b/c")->name() == "/a/b/");
    BOOST_TEST(index.route("host", "/a/bc")->name() == "/a/");
    BOOST_TEST(index.route("host", "/x")->name() == "/");
    BOOST_TEST(index.route("other", "/a/b/c") == nullptr);
}
