#define BOOST_TEST_MODULE membershipchange
#include "main.h"

#include "simulatedcluster.h"

#include <Apricothead/src/Coordination/Replica/MembershipChange.h>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

Wire::Member memberOf(const std::string &replica)
{
    Wire::Member member;
    member.set_replica(replica);
    member.set_address("address of " + replica);
    return member;
}

/** A group of three, run in rounds in which all messages arrive. */
struct Rounds {
    Rounds() : cluster({.voters = 3})
    {
        this->run(40);
    }

    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (auto &[id, node] : this->cluster.nodes) {
                this->cluster.tick(node);
            }
            for (std::size_t count = this->cluster.network.size(); count > 0; --count) {
                this->cluster.deliver(0, false);
            }
        }
    }

    /** Proposes the next membership of the change. \returns false when there is none */
    bool propose(const MembershipChange &change, bool removedIsReachable)
    {
        RaftNode &leader = *this->cluster.leader();
        const auto proposed = change.next(*leader.raft, removedIsReachable);
        if (!proposed) {
            return false;
        }
        BOOST_TEST(static_cast<bool>(leader.raft->proposeMembership(*proposed)));
        this->cluster.processOutput(leader);
        return true;
    }

    const Raft &raft()
    {
        return *this->cluster.leader()->raft;
    }

    SimulatedCluster cluster;
};

} // namespace

BOOST_AUTO_TEST_CASE(aReplacementIsDoneOnlyAfterItsLastStep)
{
    Rounds rounds;
    const std::string leader = rounds.cluster.leader()->id;
    const std::string victim = leader == "n1" ? "n2" : "n1";
    rounds.cluster.wipe(rounds.cluster.nodes.at(victim));
    MembershipChange change(victim, "address of n4");
    BOOST_TEST(change.addressToInvite() == "address of n4");
    BOOST_TEST(!change.next(rounds.raft(), false).has_value());
    BOOST_TEST(!change.isDone(rounds.raft()));
    change.setAddedMember(memberOf("n4"));

    BOOST_TEST(rounds.propose(change, false));
    rounds.run(10);
    // The learner is a member, but it has not caught up since its process does not run yet.
    BOOST_TEST(detail::findMember(rounds.raft().membership(), "n4")->learner());
    BOOST_TEST(!rounds.propose(change, false));
    BOOST_TEST(!change.isDone(rounds.raft()));

    rounds.cluster.addNode("n4");
    rounds.run(20);
    BOOST_TEST(rounds.propose(change, false));
    // The unreachable member is removed first.
    BOOST_TEST((detail::findMember(rounds.raft().membership(), victim) == nullptr));
    BOOST_TEST(!change.isDone(rounds.raft()));
    rounds.run(10);
    BOOST_TEST(!change.isDone(rounds.raft()));
    BOOST_TEST(rounds.propose(change, false));
    BOOST_TEST(!change.isDone(rounds.raft()));
    rounds.run(10);
    BOOST_TEST(!detail::findMember(rounds.raft().membership(), "n4")->learner());
    BOOST_TEST(change.isDone(rounds.raft()));
}

BOOST_AUTO_TEST_CASE(reachableMemberIsRemovedAfterPromotion)
{
    Rounds rounds;
    const std::string leader = rounds.cluster.leader()->id;
    const std::string victim = leader == "n1" ? "n2" : "n1";
    MembershipChange change(victim, "address of n4");
    change.setAddedMember(memberOf("n4"));
    rounds.cluster.addNode("n4");
    BOOST_TEST(rounds.propose(change, true));
    rounds.run(20);
    BOOST_TEST(rounds.propose(change, true));
    BOOST_TEST(SimulatedCluster::votersIn(rounds.raft().membership()) == 4U);
    rounds.run(10);
    BOOST_TEST(!change.isDone(rounds.raft()));
    BOOST_TEST(rounds.propose(change, true));
    rounds.run(10);
    BOOST_TEST(change.isDone(rounds.raft()));
    BOOST_TEST(SimulatedCluster::votersIn(rounds.raft().membership()) == 3U);
}

BOOST_AUTO_TEST_CASE(newLeaderResumesAChange)
{
    Rounds rounds;
    const std::string leader = rounds.cluster.leader()->id;
    const std::string victim = leader == "n1" ? "n2" : "n1";
    MembershipChange first(victim, "address of n4");
    first.setAddedMember(memberOf("n4"));
    rounds.cluster.addNode("n4");
    BOOST_TEST(rounds.propose(first, true));
    rounds.run(20);
    // The new leader has no state of the change; it receives the same request.
    rounds.cluster.leader()->raft->transferLeadership();
    rounds.cluster.processOutput(*rounds.cluster.leader());
    rounds.run(20);
    BOOST_TEST(rounds.cluster.leader()->id != leader);
    MembershipChange second(victim, "address of n4");
    second.setAddedMember(memberOf("n4"));
    while (rounds.propose(second, true)) {
        rounds.run(20);
    }
    BOOST_TEST(second.isDone(rounds.raft()));
    BOOST_TEST((detail::findMember(rounds.raft().membership(), victim) == nullptr));
}
