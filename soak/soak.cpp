#define BOOST_TEST_MODULE soak
#include "main.h"

#include "../bench/replicagroup.h"
#include "FaultSeries.h"
#include "support/Load.h"
#include <Apricothead/Protocol>

#include <random>
#include <set>
#include <thread>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr unsigned Tokens = 20;
constexpr unsigned Threads = 6;
constexpr std::chrono::seconds DefaultLength{20};
constexpr std::uint64_t DefaultSeed = 1;
constexpr unsigned Entries = 3;
/** An entry that is frozen answers nothing: the series goes on without it. */
constexpr std::chrono::milliseconds AskTimeout{1500};
/** From the end of all faults until every entry serves: an election, and lapsed connections that are made anew. */
constexpr std::chrono::milliseconds RecoveryBound{20000};

std::uint64_t numberOr(const char *name, std::uint64_t otherwise)
{
    const std::string text = environment(name);
    return text.empty() ? otherwise : std::stoull(text);
}

/** Changes the configuration while faults go on, and reads it back. */
class ConfigurationWatch
{
public:
    explicit ConfigurationWatch(Administrator &given) : administrator(given)
    { }

    /** \returns a line for each promise that is broken */
    std::string step()
    {
        std::string read = this->readBack();
        Wire::ConfigurationChange change;
        change.mutable_put_organisation()->set_id("soak-" + std::to_string(++this->number));
        if (this->administrator.change(change).empty()) {
            ++this->acknowledged;
            this->newest = std::max(this->newest, this->administrator.status().revision());
        }
        return read;
    }

    /** A read that comes must show everything that was read or acknowledged before it. */
    std::string readBack()
    {
        const std::uint64_t before = this->newest;
        const std::uint64_t revision = this->administrator.status().revision();
        if (revision == 0) {
            return {};
        }
        ++this->reads;
        this->newest = std::max(this->newest, revision);
        return revision >= before ? std::string() : "revision " + std::to_string(revision) + " was read after revision " + std::to_string(before) + "\n";
    }

    unsigned acknowledged = 0;
    unsigned reads = 0;

private:
    Administrator &administrator;
    std::uint64_t newest = 0;
    unsigned number = 0;
};

/** Gives an organisation a key, and takes both away, while faults go on: from then on no entry serves it. */
class RevocationWatch
{
public:
    RevocationWatch(Cluster &givenCluster, std::uint64_t seed) : cluster(givenCluster), random(seed)
    { }

    /** \returns a line for each promise that is broken */
    std::string step()
    {
        const std::string name = "gone-" + std::to_string(++this->number);
        Wire::ConfigurationChange put;
        put.mutable_put_organisation()->set_id(name);
        put.mutable_put_organisation()->add_key_hashes(sha256Hex("key-" + name));
        put.mutable_put_organisation()->add_allowances()->set_model("small");
        if (!this->cluster.administrator().change(put).empty()) {
            return {};
        }
        this->served += isServed(this->ask(name, "before")) ? 1 : 0;
        Wire::ConfigurationChange remove;
        remove.set_remove_organisation(name);
        if (!this->cluster.administrator().change(remove).empty()) {
            return {};
        }
        ++this->revoked;
        return isServed(this->ask(name, "after")) ? name + " was served after it was removed\n" : std::string();
    }

    unsigned revoked = 0;
    unsigned served = 0;

private:
    static bool isServed(const HttpAnswer &answer)
    {
        return answer.status >= 200 && answer.status < 300;
    }

    HttpAnswer ask(const std::string &name, const std::string &when)
    {
        HttpCallSpec spec = this->cluster.chatSpec(static_cast<unsigned>(this->random() % Entries), name + " " + when, {});
        spec.headers["Authorization"] = "Bearer key-" + name;
        spec.timeout = AskTimeout;
        return call(spec);
    }

    Cluster &cluster;
    std::mt19937_64 random;
    unsigned number = 0;
};

/** Orders roll-outs of one service at any replica while faults go on, as an operator does who tries the next replica without a clear answer. */
class RolloutWatch
{
public:
    RolloutWatch(const std::vector<std::string> &replicas, std::uint64_t seed) : random(seed)
    {
        for (const std::string &replica : replicas) {
            this->nodes.push_back(std::make_unique<BlockingClient>(std::vector<std::string>{replica}, "orders-" + std::to_string(this->nodes.size())));
        }
    }

    ~RolloutWatch()
    {
        this->stop();
    }

    RolloutWatch(const RolloutWatch &) = delete;
    RolloutWatch &operator=(const RolloutWatch &) = delete;

    bool start()
    {
        Wire::Command command;
        command.mutable_put_plan()->set_revision(1);
        command.mutable_put_plan()->add_services()->set_name(Service);
        if (this->nodes[0]->propose(command, PlanTimeout).status != Wire::PROPOSE_STATUS_APPLIED) {
            return false;
        }
        this->thread = std::thread([this] {
            while (!this->isStopping) {
                this->readBack();
                this->order("v" + std::to_string(++this->number));
                std::this_thread::sleep_for(OrderInterval);
            }
        });
        return true;
    }

    /** \returns a line for each promise that was broken */
    std::string finish()
    {
        this->stop();
        this->readBack();
        return this->broken;
    }

    unsigned acknowledged = 0;
    unsigned reads = 0;

private:
    static constexpr std::chrono::milliseconds CallTimeout{900};
    static constexpr std::chrono::milliseconds OrderInterval{100};
    static constexpr std::chrono::seconds PlanTimeout{10};
    static constexpr const char *Service = "soak";

    void stop()
    {
        this->isStopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    void order(const std::string &target)
    {
        const std::size_t first = this->random() % this->nodes.size();
        for (std::size_t step = 0; step < this->nodes.size(); ++step) {
            this->allowed.insert(target);
            if (!this->isTaken(*this->nodes[(first + step) % this->nodes.size()], target)) {
                continue;
            }
            ++this->acknowledged;
            // Orders without a clear answer may only have come before this one.
            this->allowed = {target};
            return;
        }
    }

    /** Based on what was read last, so that a message that is held up on its way bears an old state. */
    bool isTaken(BlockingClient &node, const std::string &target)
    {
        Wire::Command command;
        command.set_command_id(randomHex(16));
        Wire::StartServiceRollout &order = *command.mutable_start_service_rollout();
        order.set_service(Service);
        order.set_target(target);
        order.set_duration_ms(60000);
        order.set_based_on(this->latest);
        ProposeOutcome outcome = node.propose(command, CallTimeout);
        if (outcome.result.error().code() == Wire::ERROR_CODE_REVISION_CONFLICT) {
            order.set_based_on(outcome.result.error().current_revision());
            outcome = node.propose(command, CallTimeout);
        }
        if (outcome.status != Wire::PROPOSE_STATUS_APPLIED || outcome.result.has_error()) {
            return false;
        }
        this->latest = outcome.result.index();
        return true;
    }

    /** A read shows the order acknowledged last, or one given since without a clear answer. */
    void readBack()
    {
        Wire::Query query;
        query.set_serving(true);
        const Wire::QueryReply reply = this->nodes[this->random() % this->nodes.size()]->query(query, CallTimeout);
        if (!reply.has_serving()) {
            return;
        }
        ++this->reads;
        const auto &rollouts = reply.serving().rollouts();
        const std::string target = rollouts.empty() ? std::string() : rollouts[0].target();
        if (!this->allowed.contains(target)) {
            this->broken += "the roll-out of " + target + " was read after a newer order was acknowledged\n";
        }
    }

    std::vector<std::unique_ptr<BlockingClient>> nodes;
    std::mt19937_64 random;
    std::thread thread;
    std::atomic<bool> isStopping = false;
    /** Targets that a read may show. */
    std::set<std::string> allowed{std::string()};
    std::uint64_t latest = 0;
    unsigned number = 0;
    std::string broken;
};

/** \returns a line for each answer that is complete but not the one to its request */
std::string wrongAnswers(const std::vector<LoadResult> &results)
{
    std::string wrong;
    for (const LoadResult &result : results) {
        const bool isComplete = result.answer.whole && result.answer.status >= 200 && result.answer.status < 300
            && (result.kind != LoadKind::Streamed || hasEndMark(result.answer));
        if (isComplete && !result.isWhole(Tokens)) {
            wrong += result.key + ": complete but wrong: " + result.answer.body.substr(0, 300) + "\n";
        }
    }
    return wrong;
}

/** \returns a line for each order that ran twice, and each request that ran although its caller was told that it had not */
std::string untrueAnswers(const Cluster &cluster, const std::vector<LoadResult> &results)
{
    const std::map<std::string, unsigned> counts = cluster.allRuns();
    std::string untrue;
    for (const LoadResult &result : results) {
        const auto found = counts.find(result.key);
        const unsigned runs = found == counts.end() ? 0 : found->second;
        const bool ranTwice = result.kind == LoadKind::Order && runs > 1;
        const bool ranAfterAll = result.isNotRun() && runs > 0;
        const bool neverRan = result.isWhole(Tokens) && runs == 0;
        if (ranTwice || ranAfterAll || neverRan) {
            untrue += result.key + ": " + std::to_string(runs) + " runs, status " + std::to_string(result.answer.status) + ", verdict "
                + result.answer.header("x-verdict") + "\n";
        }
    }
    return untrue;
}

} // namespace

BOOST_AUTO_TEST_CASE(promisesHoldThroughARandomSeriesOfFaults)
{
    const std::uint64_t seed = numberOr("SOAK_SEED", DefaultSeed);
    const std::chrono::seconds length(numberOr("SOAK_SECONDS", DefaultLength.count()));
    Cluster cluster({.relayToEndpoints = true, .relayToReplicas = true, .soleReplicas = FaultSeries::SoleReplicas, .engineArguments = {"--token_delay_ms=10"}});
    FaultSeries faults(cluster, seed);
    ConfigurationWatch configuration(cluster.administrator());
    RevocationWatch revocation(cluster, seed);
    RolloutWatch rollouts(cluster.replicas(), seed);
    BOOST_REQUIRE(rollouts.start());
    std::string broken;
    Load load(cluster, {0, 1, 2}, Threads, Tokens);
    const auto end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
        const std::chrono::milliseconds pause = faults.step();
        broken += configuration.step();
        broken += revocation.step();
        std::this_thread::sleep_for(pause);
    }
    faults.healAll();
    const bool serves = waitUntil(
        [&cluster] {
            return cluster.waitReady();
        },
        RecoveryBound);
    const bool isRedundant = cluster.waitRedundant(faults.replicas(), RecoveryBound);
    const std::vector<LoadResult> results = load.stop();
    broken += configuration.readBack();
    broken += rollouts.finish();
    broken += wrongAnswers(results);
    broken += untrueAnswers(cluster, results);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << results.size() << " requests, " << wholeCount(results, Tokens) << " whole, " << configuration.acknowledged
                               << " changes acknowledged, " << configuration.reads << " reads, " << revocation.revoked << " organisations removed, "
                               << revocation.served << " of them served before, " << rollouts.acknowledged << " orders acknowledged, " << rollouts.reads
                               << " reads of them, " << faults.pairs() << " pairs of replacements");
    BOOST_TEST(broken == "", broken << faults.story());
    BOOST_TEST(serves, "does not serve again\n" << faults.story());
    BOOST_TEST(isRedundant, "the group does not bear its losses again\n" << faults.story());
    BOOST_TEST(wholeCount(results, Tokens) > 0U);
}
