#define BOOST_TEST_MODULE soak
#include "main.h"

#include "FaultSeries.h"
#include "support/Load.h"
#include <Apricothead/Protocol>

#include <random>
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
    Cluster cluster({.relayToEndpoints = true, .relayToReplicas = true, .engineArguments = {"--token_delay_ms=10"}});
    FaultSeries faults(cluster, seed);
    ConfigurationWatch configuration(cluster.administrator());
    RevocationWatch revocation(cluster, seed);
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
    const std::vector<LoadResult> results = load.stop();
    broken += configuration.readBack();
    broken += wrongAnswers(results);
    broken += untrueAnswers(cluster, results);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << results.size() << " requests, " << wholeCount(results, Tokens) << " whole, " << configuration.acknowledged
                               << " changes acknowledged, " << configuration.reads << " reads, " << revocation.revoked << " organisations removed, "
                               << revocation.served << " of them served before");
    BOOST_TEST(broken == "", broken << faults.story());
    BOOST_TEST(serves, "does not serve again\n" << faults.story());
    BOOST_TEST(wholeCount(results, Tokens) > 0U);
}
