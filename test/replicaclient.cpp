#define BOOST_TEST_MODULE replicaclient
#include "main.h"

#include "support/Wait.h"

#include <Apricothead/Coordination>
#include <Apricothead/Transport>

#include <memory>
#include <string>
#include <vector>

using namespace Apricothead;
using Test::runUntil;

namespace {

/** A replica that answers each heartbeat with one update. */
struct ScriptedReplica {
    explicit ScriptedReplica(EventLoop &loop)
        : router(loop, RouterOptions{.address = "127.0.0.1:0", .onMessage = [this](const PeerId &peer, std::string_view bytes) {
                                         Wire::Envelope message;
                                         if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !message.has_heartbeat()) {
                                             return;
                                         }
                                         ++this->heartbeats;
                                         Wire::Envelope reply;
                                         reply.set_group("main");
                                         *reply.mutable_update() = this->update;
                                         this->router.send(peer, reply.SerializeAsString());
                                     }})
    { }

    Wire::ClusterUpdate update;
    unsigned heartbeats = 0;
    Router router;
};

struct Fixture {
    Fixture()
        : first(loop)
        , second(loop)
        , client(loop,
                 {.process = "entry-1",
                  .seeds = {first.router.boundAddress(), second.router.boundAddress()},
                  .heartbeat = std::chrono::milliseconds(20),
                  .makeHeartbeat = [] {
                      return Wire::Heartbeat();
                  }})
    { }

    EventLoop loop;
    ScriptedReplica first;
    ScriptedReplica second;
    ReplicaClient client;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(replicaWithoutAListKeepsKnownEndpoints, Fixture)
{
    this->first.update.set_directory_changed(true);
    this->first.update.set_directory_number(7);
    this->first.update.add_endpoints()->set_endpoint("ep-1");
    BOOST_REQUIRE(runUntil(this->loop, [this] {
        return this->client.endpoints().size() == 1 && this->second.heartbeats > 0;
    }));
    // The first replica sends no more lists; the second has not sent any yet.
    this->first.update.clear_directory_changed();
    const unsigned before = this->second.heartbeats;
    BOOST_REQUIRE(runUntil(this->loop, [&] {
        return this->second.heartbeats > before + 3;
    }));
    BOOST_TEST(this->client.endpoints().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(leadersListTakesPrecedence, Fixture)
{
    for (ScriptedReplica *replica : {&this->first, &this->second}) {
        replica->update.set_directory_changed(true);
        replica->update.set_directory_number(7);
        replica->update.set_leader_address(this->second.router.boundAddress());
        replica->update.add_endpoints()->set_endpoint("ep-1");
    }
    this->second.update.add_endpoints()->set_endpoint("ep-2");
    BOOST_REQUIRE(runUntil(this->loop, [this] {
        return this->client.endpoints().size() == 2;
    }));
    const unsigned before = this->first.heartbeats;
    BOOST_REQUIRE(runUntil(this->loop, [&] {
        return this->first.heartbeats > before + 3;
    }));
    BOOST_TEST(this->client.endpoints().size() == 2);
}

BOOST_AUTO_TEST_CASE(membersAreFollowedThroughManyReplacements)
{
    constexpr unsigned GroupSize = 3;
    constexpr unsigned Replacements = 40;
    EventLoop loop;
    std::vector<std::unique_ptr<ScriptedReplica>> group;
    std::vector<std::string> seeds;
    const auto publishMembers = [&group] {
        for (const auto &replica : group) {
            replica->update.clear_members();
            replica->update.set_leader_address(group.front()->router.boundAddress());
            for (const auto &member : group) {
                replica->update.add_members()->set_address(member->router.boundAddress());
            }
        }
    };
    for (unsigned number = 0; number < GroupSize; ++number) {
        group.push_back(std::make_unique<ScriptedReplica>(loop));
        seeds.push_back(group.back()->router.boundAddress());
    }
    publishMembers();
    ReplicaClient client(loop,
                         {.process = "gateway-1",
                          .seeds = seeds,
                          .linkHeartbeat = std::chrono::milliseconds(20),
                          .linkSilence = std::chrono::milliseconds(300),
                          .heartbeat = std::chrono::milliseconds(20),
                          .followMembers = true});
    for (unsigned number = 0; number < Replacements; ++number) {
        group.push_back(std::make_unique<ScriptedReplica>(loop));
        group.erase(group.begin());
        publishMembers();
        BOOST_REQUIRE_MESSAGE(runUntil(loop,
                                       [&group] {
                                           return group.back()->heartbeats > 0;
                                       }),
                              "replacement " << number << " was not followed");
    }
    BOOST_TEST(client.isConnected());
}

BOOST_AUTO_TEST_CASE(listOfARemovedReplicaReleasesNobody)
{
    EventLoop loop;
    ScriptedReplica removed(loop);
    ScriptedReplica leading(loop);
    ScriptedReplica joined(loop);
    leading.update.set_leader_address(leading.router.boundAddress());
    leading.update.add_members()->set_address(leading.router.boundAddress());
    leading.update.add_members()->set_address(joined.router.boundAddress());
    removed.update.set_leader_address(leading.router.boundAddress());
    removed.update.add_members()->set_address(removed.router.boundAddress());
    const ReplicaClient client(loop,
                               {.process = "gateway-1",
                                .seeds = {removed.router.boundAddress(), leading.router.boundAddress()},
                                .heartbeat = std::chrono::milliseconds(20),
                                .followMembers = true});
    BOOST_REQUIRE(runUntil(loop, [&joined] {
        return joined.heartbeats > 0;
    }));
    const unsigned before = joined.heartbeats;
    const unsigned ofRemoved = removed.heartbeats;
    BOOST_TEST(runUntil(loop, [&] {
        return joined.heartbeats > before + 3 && removed.heartbeats > ofRemoved + 3;
    }));
}
