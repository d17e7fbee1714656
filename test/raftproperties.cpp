#define BOOST_TEST_MODULE raftproperties
#include "main.h"

#include "properties.h"
#include "raftworld.h"

#include <cstdlib>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

/** Rounds of ticks and deliveries, all faults healed, within which a group has to make progress. */
constexpr int SettleRounds = 400;
constexpr std::size_t MostNodes = 9;

/** Schedules of one property; APRICOTHEAD_SCHEDULES sets another count for a longer run by hand. */
int schedules(int usual)
{
    const std::string wanted = environment("APRICOTHEAD_SCHEDULES");
    return wanted.empty() ? usual : std::stoi(wanted);
}

/** What all schedules of one property met, to show that they reach what they should. */
struct Reached {
    std::uint64_t commits = 0;
    std::uint64_t reads = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t wipes = 0;
    std::uint64_t changes = 0;
    std::uint64_t terms = 0;
};

/** Which faults a schedule may contain. */
struct Faults {
    bool wipes = false;
    bool changes = false;
};

class Schedule
{
public:
    Schedule(RaftWorldOptions options, Faults allowed, Reached &sums) : world(options), faults(allowed), reached(sums)
    { }

    void run(const Steps &steps)
    {
        for (const Step &step : steps) {
            this->take(step);
        }
        this->settle();
        this->reached.commits += this->world.committed.size();
        this->reached.reads += this->world.confirmedReads;
        this->reached.snapshots += this->world.installedSnapshots;
        this->reached.terms += this->world.leaders.size();
    }

private:
    void take(const Step &step)
    {
        this->doFault(step[0] % 32, *this->world.pick(step[1]), step[2]);
        std::minstd_rand burst(1U + step[3] + 256U * step[4]);
        const unsigned rounds = step[5] % 8;
        const unsigned deliveries = 1 + step[6] % 8;
        for (unsigned round = 0; round < rounds; ++round) {
            for (std::size_t count = 0; count < this->world.nodes.size(); ++count) {
                this->world.tick(*this->world.pick(burst()));
            }
            for (unsigned count = 0; count < deliveries; ++count) {
                this->deliver(burst, step[7]);
            }
        }
    }

    /** Of sixteen messages one is lost, one is doubled, and the others come in nearly any order. */
    void deliver(std::minstd_rand &burst, unsigned order)
    {
        const unsigned fate = burst() % 16;
        const std::size_t window = order % 2 == 0 ? 4 : std::max<std::size_t>(1, this->world.network.size());
        const std::size_t choice = burst() % window;
        if (fate == 0 && !this->world.network.empty()) {
            this->world.network.erase(this->world.network.begin() + static_cast<std::ptrdiff_t>(choice % this->world.network.size()));
            return;
        }
        this->world.deliver(choice, fate == 1);
    }

    void doFault(unsigned kind, RaftNode &node, unsigned detail)
    {
        switch (kind) {
        case 0:
            this->world.crash(node);
            return;
        case 1:
            this->world.crashBeforeNextSync(node.id);
            return;
        case 2:
        case 3:
        case 4:
            this->restart(node);
            return;
        case 5:
            node.frozen = !node.frozen;
            return;
        case 6:
            this->world.cut(node.id, this->world.pick(detail)->id);
            return;
        case 7:
            for (auto &[id, other] : this->world.nodes) {
                this->world.cut(node.id, id);
            }
            return;
        case 8:
        case 9:
            this->world.heal();
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
            this->handOver(node);
            return;
        case 16:
            this->world.compact(node);
            return;
        case 17:
        case 18:
            this->world.read(node);
            return;
        default:
            this->proposeAtLeaders();
        }
    }

    void restart(RaftNode &node)
    {
        node.frozen = false;
        if (!node.raft && !node.wiped) {
            this->world.boot(node);
        }
    }

    void handOver(RaftNode &node)
    {
        if (node.raft && !node.frozen && node.raft->transferLeadership()) {
            this->world.pump(node);
        }
    }

    /** Also at leaders that have been deposed and don't know it yet. */
    void proposeAtLeaders()
    {
        for (auto &[id, node] : this->world.nodes) {
            this->world.propose(node);
        }
    }

    void wipe(RaftNode &node)
    {
        if (this->faults.wipes && !node.wiped && this->world.survivesWipe(node.id)) {
            this->world.wipe(node);
            ++this->reached.wipes;
        }
    }

    /** What an operator or a leader might ask for, sensible or not; the core has to refuse what is not safe. */
    void changeMembers(unsigned detail)
    {
        RaftNode *leader = this->world.leader();
        if (!this->faults.changes || leader == nullptr || leader->frozen) {
            return;
        }
        Wire::Membership wanted = this->wantedMembership(*leader, detail);
        if (detail % 4 == 0 && wanted.members_size() > 2) {
            // Two at once.
            wanted = this->without(wanted, detail + 1);
        }
        if (wanted.members_size() > 0 && leader->raft->proposeMembership(wanted)) {
            ++this->reached.changes;
            this->world.pump(*leader);
        }
    }

    Wire::Membership wantedMembership(const RaftNode &leader, unsigned detail)
    {
        Wire::Membership membership = leader.raft->membership();
        for (Wire::Member &member : *membership.mutable_members()) {
            if (member.learner()) {
                member.set_learner(false);
                return membership;
            }
        }
        const std::size_t voters = RaftWorld::votersIn(membership);
        const bool grow = voters <= this->world.options.voters && this->world.nodes.size() < MostNodes;
        if (grow) {
            RaftNode &fresh = this->world.addNode(this->world.nextId());
            Wire::Member *learner = membership.add_members();
            learner->set_replica(fresh.id);
            learner->set_learner(true);
            return membership;
        }
        return this->without(membership, detail);
    }

    /** Removes a member whose disk is gone if there is one, any other one otherwise. */
    Wire::Membership without(const Wire::Membership &membership, unsigned detail)
    {
        std::string victim = membership.members(static_cast<int>(detail) % membership.members_size()).replica();
        for (const Wire::Member &member : membership.members()) {
            victim = this->world.nodes.at(member.replica()).wiped ? member.replica() : victim;
        }
        Wire::Membership result;
        for (const Wire::Member &member : membership.members()) {
            if (member.replica() != victim) {
                *result.add_members() = member;
            }
        }
        return RaftWorld::votersIn(result) < 2 ? Wire::Membership() : result;
    }

    /** All faults end: a majority has to commit something new, and everybody in the membership has to have it. */
    void settle()
    {
        this->world.heal();
        this->world.crashBeforeNextSync({});
        for (auto &[id, node] : this->world.nodes) {
            this->restart(node);
        }
        std::uint64_t target = 0;
        for (int round = 0; round < SettleRounds; ++round) {
            this->world.network.reserve(64);
            for (auto &[id, node] : this->world.nodes) {
                this->world.tick(node);
            }
            for (std::size_t count = this->world.network.size(); count > 0; --count) {
                this->world.deliver(0, false);
            }
            RaftNode *leader = this->world.leader();
            if (leader == nullptr) {
                continue;
            }
            if (target == 0 && leader->raft->commitIndex() >= leader->raft->log().lastIndex()) {
                this->world.propose(*leader);
                target = leader->raft->role() == RaftRole::Leader ? leader->raft->log().lastIndex() : 0;
            }
            if (target != 0 && target >= this->world.acknowledged && this->allHave(*leader, target)) {
                return;
            }
            target = target < this->world.acknowledged ? 0 : target;
        }
        throw Broken("no progress although a majority talks" + this->world.describe());
    }

    bool allHave(const RaftNode &leader, std::uint64_t index)
    {
        if (leader.applied < index) {
            return false;
        }
        for (const Wire::Member &member : leader.raft->membership().members()) {
            const RaftNode &node = this->world.nodes.at(member.replica());
            if (!node.wiped && node.applied < index) {
                return false;
            }
        }
        return true;
    }

    RaftWorld world;
    Faults faults;
    Reached &reached;
};

void checkSchedules(const std::string &name, std::uint64_t seed, int cases, int length, std::size_t voters, Faults faults)
{
    Reached reached;
    std::uint64_t number = 0;
    const int count = schedules(cases);
    checkSteps(name, seed, count, length, [&](const Steps &steps) {
        ++number;
        Schedule({.voters = voters, .seed = seed + (steps.empty() ? 0 : steps.front()[7])}, faults, reached).run(steps);
    });
    BOOST_TEST_MESSAGE(name << ": " << number << " schedules, " << reached.commits << " commits, " << reached.terms << " terms, " << reached.reads
                            << " confirmed reads, " << reached.snapshots << " installed snapshots, " << reached.changes << " membership changes, "
                            << reached.wipes << " wiped disks");
    BOOST_TEST(reached.commits > number * 4);
    BOOST_TEST(reached.snapshots > 0U);
    BOOST_TEST((!faults.changes || reached.changes > number));
    BOOST_TEST((!faults.wipes || reached.wipes > number / 8));
}

} // namespace

BOOST_AUTO_TEST_CASE(agreementUnderDropsCutsAndCrashes)
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
