#define BOOST_TEST_MODULE raftproperties
#include "main.h"

#include "properties.h"
#include "simulatedcluster.h"

#include <cstdlib>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

/** Maximum number of rounds of ticks and deliveries, without faults, within which a group must make progress. */
constexpr int MaxSettleRounds = 400;
constexpr std::size_t MaxNodes = 9;

/** \returns the number of schedules per property; APRICOTHEAD_SCHEDULES overrides it for longer manual runs */
int scheduleCount(int defaultCount)
{
    const std::string requested = environment("APRICOTHEAD_SCHEDULES");
    return requested.empty() ? defaultCount : std::stoi(requested);
}

/** Event counts over all schedules of one property, to check that the schedules exercise what they should. */
struct Coverage {
    std::uint64_t commits = 0;
    std::uint64_t reads = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t wipes = 0;
    std::uint64_t changes = 0;
    std::uint64_t terms = 0;
};

/** Optional faults that a schedule may contain. */
struct AllowedFaults {
    bool wipes = false;
    bool changes = false;
};

/** A random sequence of inputs and faults, run on a SimulatedCluster. */
class Schedule
{
public:
    Schedule(SimulatedClusterOptions options, AllowedFaults allowed, Coverage &totals) : cluster(options), faults(allowed), coverage(totals)
    { }

    void run(const Steps &steps)
    {
        for (const Step &step : steps) {
            this->applyStep(step);
        }
        this->settle();
        this->coverage.commits += this->cluster.committed.size();
        this->coverage.reads += this->cluster.confirmedReads;
        this->coverage.snapshots += this->cluster.installedSnapshots;
        this->coverage.terms += this->cluster.leaders.size();
    }

private:
    void applyStep(const Step &step)
    {
        this->injectFault(step[0] % 32, *this->cluster.pick(step[1]), step[2]);
        std::minstd_rand generator(1U + step[3] + 256U * step[4]);
        const unsigned rounds = step[5] % 8;
        const unsigned deliveries = 1 + step[6] % 8;
        for (unsigned round = 0; round < rounds; ++round) {
            for (std::size_t count = 0; count < this->cluster.nodes.size(); ++count) {
                this->cluster.tick(*this->cluster.pick(generator()));
            }
            for (unsigned count = 0; count < deliveries; ++count) {
                this->deliver(generator, step[7]);
            }
        }
    }

    /** Drops one message in sixteen, duplicates one in sixteen, and delivers the others out of order. */
    void deliver(std::minstd_rand &generator, unsigned order)
    {
        const unsigned outcome = generator() % 16;
        const std::size_t window = order % 2 == 0 ? 4 : std::max<std::size_t>(1, this->cluster.network.size());
        const std::size_t choice = generator() % window;
        if (outcome == 0 && !this->cluster.network.empty()) {
            this->cluster.network.erase(this->cluster.network.begin() + static_cast<std::ptrdiff_t>(choice % this->cluster.network.size()));
            return;
        }
        this->cluster.deliver(choice, outcome == 1);
    }

    void injectFault(unsigned kind, RaftNode &node, unsigned detail)
    {
        switch (kind) {
        case 0:
            this->cluster.crash(node);
            return;
        case 1:
            this->cluster.crashBeforeNextSync(node.id);
            return;
        case 2:
        case 3:
        case 4:
            this->restart(node);
            return;
        case 5:
            node.paused = !node.paused;
            return;
        case 6:
            this->cluster.disconnect(node.id, this->cluster.pick(detail)->id);
            return;
        case 7:
            for (auto &[id, other] : this->cluster.nodes) {
                this->cluster.disconnect(node.id, id);
            }
            return;
        case 8:
        case 9:
            this->cluster.heal();
            return;
        case 10:
            this->wipe(node);
            return;
        case 11:
        case 12:
        case 13:
        case 14:
            this->changeMembers(detail);
            return;
        case 15:
            this->transferLeadership(node);
            return;
        case 16:
            this->cluster.compact(node);
            return;
        case 17:
        case 18:
            this->cluster.read(node);
            return;
        default:
            this->proposeAtLeaders();
        }
    }

    void restart(RaftNode &node)
    {
        node.paused = false;
        if (!node.raft && !node.wiped) {
            this->cluster.start(node);
        }
    }

    void transferLeadership(RaftNode &node)
    {
        if (node.raft && !node.paused && node.raft->transferLeadership()) {
            this->cluster.processOutput(node);
        }
    }

    /** Includes deposed leaders that have not yet learned of the newer term. */
    void proposeAtLeaders()
    {
        for (auto &[id, node] : this->cluster.nodes) {
            this->cluster.propose(node);
        }
    }

    void wipe(RaftNode &node)
    {
        if (this->faults.wipes && !node.wiped && this->cluster.survivesWipe(node.id)) {
            this->cluster.wipe(node);
            ++this->coverage.wipes;
        }
    }

    /** Proposes a membership change, safe or unsafe; the consensus core must reject unsafe ones. */
    void changeMembers(unsigned detail)
    {
        RaftNode *leader = this->cluster.leader();
        if (!this->faults.changes || leader == nullptr || leader->paused) {
            return;
        }
        Wire::Membership requested = this->nextMembership(*leader, detail);
        if (detail % 4 == 0 && requested.members_size() > 2) {
            // Two changes at once.
            requested = this->withoutMember(requested, detail + 1);
        }
        if (requested.members_size() > 0 && leader->raft->proposeMembership(requested)) {
            ++this->coverage.changes;
            this->cluster.processOutput(*leader);
        }
    }

    Wire::Membership nextMembership(const RaftNode &leader, unsigned detail)
    {
        Wire::Membership membership = leader.raft->membership();
        for (Wire::Member &member : *membership.mutable_members()) {
            if (member.learner()) {
                member.set_learner(false);
                return membership;
            }
        }
        const std::size_t voters = SimulatedCluster::votersIn(membership);
        const bool grow = voters <= this->cluster.options.voters && this->cluster.nodes.size() < MaxNodes;
        if (grow) {
            RaftNode &added = this->cluster.addNode(this->cluster.nextId());
            Wire::Member *learner = membership.add_members();
            learner->set_replica(added.id);
            learner->set_learner(true);
            return membership;
        }
        return this->withoutMember(membership, detail);
    }

    /** Removes a member that has lost its disk if there is one, otherwise the one that \a detail selects. */
    Wire::Membership withoutMember(const Wire::Membership &membership, unsigned detail)
    {
        std::string removed = membership.members(static_cast<int>(detail) % membership.members_size()).replica();
        for (const Wire::Member &member : membership.members()) {
            removed = this->cluster.nodes.at(member.replica()).wiped ? member.replica() : removed;
        }
        Wire::Membership result;
        for (const Wire::Member &member : membership.members()) {
            if (member.replica() != removed) {
                *result.add_members() = member;
            }
        }
        return SimulatedCluster::votersIn(result) < 2 ? Wire::Membership() : result;
    }

    /** Ends all faults. A majority must then commit a new entry, and all members with a disk must apply it. */
    void settle()
    {
        this->cluster.heal();
        this->cluster.crashBeforeNextSync({});
        for (auto &[id, node] : this->cluster.nodes) {
            this->restart(node);
        }
        std::uint64_t target = 0;
        for (int round = 0; round < MaxSettleRounds; ++round) {
            this->cluster.network.reserve(64);
            for (auto &[id, node] : this->cluster.nodes) {
                this->cluster.tick(node);
            }
            for (std::size_t count = this->cluster.network.size(); count > 0; --count) {
                this->cluster.deliver(0, false);
            }
            RaftNode *leader = this->cluster.leader();
            if (leader == nullptr) {
                continue;
            }
            if (target == 0 && leader->raft->commitIndex() >= leader->raft->log().lastIndex()) {
                this->cluster.propose(*leader);
                target = leader->raft->role() == RaftRole::Leader ? leader->raft->log().lastIndex() : 0;
            }
            if (target != 0 && target >= this->cluster.acknowledgedIndex && this->allHaveApplied(*leader, target)) {
                return;
            }
            target = target < this->cluster.acknowledgedIndex ? 0 : target;
        }
        throw InvariantViolation("no progress although a majority is connected" + this->cluster.describe());
    }

    bool allHaveApplied(const RaftNode &leader, std::uint64_t index)
    {
        if (leader.applied < index) {
            return false;
        }
        for (const Wire::Member &member : leader.raft->membership().members()) {
            const RaftNode &node = this->cluster.nodes.at(member.replica());
            if (!node.wiped && node.applied < index) {
                return false;
            }
        }
        return true;
    }

    SimulatedCluster cluster;
    AllowedFaults faults;
    Coverage &coverage;
};

void checkSchedules(const std::string &name, std::uint64_t seed, int cases, int length, std::size_t voters, AllowedFaults faults)
{
    Coverage coverage;
    std::uint64_t number = 0;
    const int count = scheduleCount(cases);
    checkSteps(name, seed, count, length, [&](const Steps &steps) {
        ++number;
        Schedule({.voters = voters, .seed = seed + (steps.empty() ? 0 : steps.front()[7])}, faults, coverage).run(steps);
    });
    BOOST_TEST_MESSAGE(name << ": " << number << " schedules, " << coverage.commits << " commits, " << coverage.terms << " terms, " << coverage.reads
                            << " confirmed reads, " << coverage.snapshots << " installed snapshots, " << coverage.changes << " membership changes, "
                            << coverage.wipes << " wiped disks");
    BOOST_TEST(coverage.commits > number * 4);
    BOOST_TEST(coverage.snapshots > 0U);
    BOOST_TEST((!faults.changes || coverage.changes > number));
    BOOST_TEST((!faults.wipes || coverage.wipes > number / 8));
}

} // namespace

BOOST_AUTO_TEST_CASE(agreementUnderMessageLossPartitionsAndCrashes)
{
    checkSchedules("threeVoters", 1001, 1500, 160, 3, {});
}

BOOST_AUTO_TEST_CASE(agreementWithFiveVoters)
{
    checkSchedules("fiveVoters", 1002, 700, 160, 5, {});
}

BOOST_AUTO_TEST_CASE(agreementUnderMembershipChanges)
{
    checkSchedules("membershipChanges", 1003, 1500, 160, 3, {.changes = true});
}

BOOST_AUTO_TEST_CASE(agreementWithWipedDisks)
{
    checkSchedules("wipedDisks", 1004, 1500, 160, 3, {.wipes = true, .changes = true});
}
