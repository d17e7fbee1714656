#define BOOST_TEST_MODULE ejection
#include "main.h"

#include <Apricothead/Coordination>

#include <algorithm>
#include <memory>
#include <random>

using namespace Apricothead;

namespace {

const std::vector<ServedModel> Served{{"chat", "v1"}};

/** \brief A tracker with endpoints e0, e1, ... that have all reported at 1000 ms. */
struct Pool {
    explicit Pool(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            this->tracker.addOrUpdate(name(i), "z1", 1, Served, 1000);
        }
        this->reportAll(count, 1000);
    }

    static std::string name(unsigned i)
    {
        return "e" + std::to_string(i);
    }

    void reportAll(unsigned count, double nowMs)
    {
        for (unsigned i = 0; i < count; ++i) {
            this->tracker.report(name(i), {.capacity = 8}, nowMs);
        }
    }

    void run(const std::string &endpoint, RunOutcome outcome, double tookMs, double nowMs)
    {
        RunHandle handle = this->tracker.recordStart({.endpoint = endpoint, .incarnation = 1, .baselineMs = 100}, nowMs);
        if (outcome == RunOutcome::Complete) {
            this->tracker.recordFirstToken(handle, nowMs + tookMs);
        }
        this->tracker.recordEnd(handle, outcome, nowMs + tookMs);
    }

    EndpointTracker tracker;
};

unsigned countEjected(const EndpointTracker &tracker)
{
    const std::vector<EndpointView> &views = tracker.table().views();
    return static_cast<unsigned>(std::count_if(views.begin(), views.end(), [](const EndpointView &view) {
        return view.ejected;
    }));
}

RetryQuery question(Verdict verdict, bool repeatable)
{
    return {.verdict = verdict, .repeatable = repeatable, .attemptsMade = 1, .deadlineLeftMs = 10000, .expectedMs = 500};
}

} // namespace

BOOST_AUTO_TEST_CASE(consecutiveFailuresEjectAndTheEndpointReturnsWithSlowStart)
{
    Pool pool(4);
    for (int i = 0; i < 5; ++i) {
        pool.run("e2", RunOutcome::Failed, 10, 1000);
    }
    const std::vector<EjectionChange> changes = pool.tracker.tick(1100);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().endpoint == "e2");
    BOOST_TEST(changes.front().reason == "consecutive-failures");
    pool.reportAll(4, 6200);
    const std::vector<EjectionChange> back = pool.tracker.tick(6200);
    BOOST_REQUIRE(back.size() == 1U);
    BOOST_TEST(back.front().reason == "ejection-over");
    BOOST_TEST(pool.tracker.table().find("e2")->warmupProgress == 0.0);
    pool.reportAll(4, 8700);
    pool.tracker.tick(8700);
    BOOST_TEST(pool.tracker.table().find("e2")->warmupProgress == 0.5);
}

BOOST_AUTO_TEST_CASE(aSecondEjectionLastsLonger)
{
    Pool pool(4);
    for (int i = 0; i < 5; ++i) {
        pool.run("e2", RunOutcome::Failed, 10, 1000);
    }
    pool.tracker.tick(1100);
    pool.reportAll(4, 6200);
    pool.tracker.tick(6200);
    for (int i = 0; i < 5; ++i) {
        pool.run("e2", RunOutcome::Failed, 10, 6300);
    }
    pool.tracker.tick(6400);
    pool.reportAll(4, 12000);
    pool.tracker.tick(12000);
    BOOST_TEST(pool.tracker.table().find("e2")->ejected);
    pool.reportAll(4, 16500);
    pool.tracker.tick(16500);
    BOOST_TEST(!pool.tracker.table().find("e2")->ejected);
}

BOOST_AUTO_TEST_CASE(ejectedShareIsLimited)
{
    Pool pool(10);
    for (unsigned endpoint = 0; endpoint < 10; ++endpoint) {
        for (int i = 0; i < 6; ++i) {
            pool.run(Pool::name(endpoint), RunOutcome::Failed, 10, 1000);
        }
    }
    pool.tracker.tick(1100);
    pool.tracker.tick(1200);
    BOOST_TEST(countEjected(pool.tracker) == 3U);
    Pool single(1);
    for (int i = 0; i < 9; ++i) {
        single.run("e0", RunOutcome::Failed, 10, 1000);
    }
    single.tracker.tick(1100);
    BOOST_TEST(countEjected(single.tracker) == 0U);
}

BOOST_AUTO_TEST_CASE(anEndpointTenTimesSlowerIsEjected)
{
    Pool pool(6);
    for (int i = 0; i < 20; ++i) {
        for (unsigned endpoint = 0; endpoint < 6; ++endpoint) {
            pool.run(Pool::name(endpoint), RunOutcome::Complete, endpoint == 3 ? 1000 : 100, 1000 + 10 * i);
        }
    }
    const std::vector<EjectionChange> changes = pool.tracker.tick(1500);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().endpoint == "e3");
    BOOST_TEST(changes.front().reason == "slow");
}

BOOST_AUTO_TEST_CASE(anEndpointThatNeverAnswersIsEjectedWithoutASample)
{
    Pool pool(4);
    for (unsigned endpoint = 0; endpoint < 4; ++endpoint) {
        pool.run(Pool::name(endpoint), RunOutcome::Complete, 100, 1000);
    }
    pool.tracker.recordStart({.endpoint = "e1", .incarnation = 1, .baselineMs = 100}, 1000);
    pool.reportAll(4, 6500);
    const std::vector<EjectionChange> changes = pool.tracker.tick(6500);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().endpoint == "e1");
    BOOST_TEST(changes.front().reason == "first-token-overdue");
}

BOOST_AUTO_TEST_CASE(aSilentEndpointIsNoCandidateUntilItsNextReport)
{
    Pool pool(2);
    pool.tracker.report("e0", {.capacity = 8}, 5000);
    const std::vector<EjectionChange> changes = pool.tracker.tick(5000);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().endpoint == "e1");
    BOOST_TEST(changes.front().reason == "silent");
    BOOST_TEST(pool.tracker.table().usableCount("chat", "v1") == 1U);
    pool.reportAll(2, 6000);
    BOOST_TEST(pool.tracker.tick(6000).front().reason == "heard-again");
    BOOST_TEST(pool.tracker.table().usableCount("chat", "v1") == 2U);
}

BOOST_AUTO_TEST_CASE(runsOfAPreviousIncarnationAreIgnored)
{
    Pool pool(2);
    RunHandle handle = pool.tracker.recordStart({.endpoint = "e0", .incarnation = 1, .baselineMs = 100}, 1000);
    pool.tracker.addOrUpdate("e0", "z1", 2, Served, 1200);
    BOOST_TEST(pool.tracker.table().find("e0")->ownRunning == 0U);
    pool.tracker.recordFirstToken(handle, 1300);
    pool.tracker.recordEnd(handle, RunOutcome::Failed, 1300);
    BOOST_TEST(pool.tracker.table().find("e0")->errorShare == 0.0);
}

BOOST_AUTO_TEST_CASE(aRetryNeedsAVerdictThatAllowsIt)
{
    RetryBudget budget;
    BOOST_TEST(budget.decide(question(Verdict::MayHaveRun, false), 1000).reason == "may-have-run");
    BOOST_TEST(budget.decide(question(Verdict::Ran, false), 1000).reason == "may-have-run");
    BOOST_TEST(budget.decide(question(Verdict::NotRun, false), 1000).retry);
    BOOST_TEST(budget.decide(question(Verdict::MayHaveRun, true), 1000).retry);
    RetryQuery late = question(Verdict::NotRun, true);
    late.deadlineLeftMs = 400;
    BOOST_TEST(budget.decide(late, 1000).reason == "deadline-too-near");
    RetryQuery started = question(Verdict::MayHaveRun, true);
    started.answerStarted = true;
    BOOST_TEST(budget.decide(started, 1000).reason == "answer-started");
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedBySuccesses)
{
    RetryBudget budget;
    unsigned granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += budget.decide(question(Verdict::MayHaveRun, true), 1000).retry ? 1 : 0;
    }
    BOOST_TEST(granted == 10U);
    for (int i = 0; i < 100; ++i) {
        budget.recordSuccess();
    }
    granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += budget.decide(question(Verdict::MayHaveRun, true), 1000).retry ? 1 : 0;
    }
    BOOST_TEST(granted >= 9U);
    BOOST_TEST(granted <= 11U);
}

BOOST_AUTO_TEST_CASE(prefixEntriesDecayAndADelayedEvictionDoesNotUndoALaterDispatch)
{
    PrefixIndex index({.maxPrefixes = 100});
    const std::vector<PrefixBlock> chain = prefixChain({"instruction", "history of the job", "question"});
    BOOST_REQUIRE(chain.size() == 3U);
    index.recordDispatch({chain[1], chain[2]}, "e1", 10000);
    const double fresh = index.lookup(chain, 10000).front().share;
    BOOST_TEST(fresh == chain[1].share);
    BOOST_TEST(index.lookup(chain, 130000).front().share < 0.5 * fresh);
    index.recordCacheEvent(chain[1].hash, "e1", true, 2000, 11000);
    BOOST_TEST(index.lookup(chain, 11000).front().share > 0.9 * fresh);
    index.recordCacheEvent(chain[1].hash, "e1", true, 100, 12000);
    BOOST_TEST(index.lookup(chain, 12000).front().share < 0.9 * fresh);
    index.removeEndpoint("e1");
    BOOST_TEST(index.lookup(chain, 12000).empty());
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        index.recordCacheEvent(hash, "e2", false, 0, 12000);
    }
    BOOST_TEST(index.size() == 100U);
}

BOOST_AUTO_TEST_CASE(requestThatWasLostWithTwoEndpointsIsNotSentToAThird)
{
    RetryBudget budget({.maxAttempts = 5});
    RetryQuery query{.repeatable = true, .deadlineLeftMs = 10000};
    query.lostRuns = 1;
    BOOST_TEST(budget.decide(query, 1000).retry);
    query.attemptsMade = 2;
    query.lostRuns = 2;
    BOOST_TEST(budget.decide(query, 2000).reason == "endpoints-lost");
    // Not so after refusals, which do no harm.
    query.lostRuns = 0;
    BOOST_TEST(budget.decide(query, 3000).retry);
}
