#define BOOST_TEST_MODULE rollout
#include "main.h"

#include <Apricothead/Coordination>
#include <Apricothead/State>

#include <cmath>
#include <random>

using namespace Apricothead;

namespace {

constexpr std::int64_t StartMs = 1'000'000;

/** \brief A state machine with model chat, stable version v1, and v2 in roll-out. */
struct Cluster {
    Cluster()
    {
        for (const std::string id : {"v1", "v2"}) {
            Wire::ConfigurationChange version;
            if (id == "v1") {
                version.mutable_put_model()->set_id("chat");
                version.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
                this->change(version);
            }
            version.mutable_put_version()->set_id(id);
            version.mutable_put_version()->set_model("chat");
            this->change(version);
        }
        Wire::ConfigurationChange model;
        model.mutable_put_model()->set_id("chat");
        model.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
        model.mutable_put_model()->set_stable_version("v1");
        this->change(model);
        Wire::ConfigurationChange organisation;
        organisation.mutable_put_organisation()->set_id("willow");
        organisation.mutable_put_organisation()->add_allowances()->set_model("chat");
        this->change(organisation);
        Wire::ConfigurationChange start;
        start.mutable_start_rollout()->set_model("chat");
        start.mutable_start_rollout()->set_to_version("v2");
        start.mutable_start_rollout()->set_share_permille(20);
        this->change(start);
    }

    void change(const Wire::ConfigurationChange &wanted)
    {
        Wire::Command command;
        command.set_command_id("setup-" + std::to_string(this->index));
        command.set_expected_revision(this->machine.configuration().revision());
        *command.mutable_change() = wanted;
        BOOST_REQUIRE(!this->apply(command).has_error());
    }

    Wire::CommandResult apply(Wire::Command command)
    {
        command.set_time_ms(StartMs);
        return this->machine.apply(command, ++this->index);
    }

    const Wire::Configuration &configuration() const
    {
        return this->machine.configuration();
    }

    const Wire::Rollout &rollout() const
    {
        return this->configuration().rollouts(0);
    }

    StateMachine machine{StateMachineOptions{}};
    std::uint64_t index = 0;
};

void answers(EvidenceStore &store, const std::string &version, unsigned good, unsigned failed, std::int64_t nowMs)
{
    for (unsigned i = 0; i < good + failed; ++i) {
        store.recordStarted(version, nowMs);
        store.recordEnded("chat", version, i < failed, 100, false, nowMs);
    }
}

VersionRequest subject(const std::string &id)
{
    return {.organisation = "willow", .model = "chat", .subject = id};
}

} // namespace

BOOST_AUTO_TEST_CASE(goodVersionReachesFullShareStepByStep)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    std::vector<unsigned> shares;
    std::int64_t now = StartMs;
    controller.decide(cluster.configuration(), store, now);
    for (int round = 0; round < 60 && cluster.rollout().state() == Wire::ROLLOUT_STATE_RUNNING; ++round) {
        now += 25000;
        answers(store, "v1", 50, 0, now);
        answers(store, "v2", 30, 0, now);
        const std::vector<RolloutDecision> decisions = controller.decide(cluster.configuration(), store, now);
        BOOST_REQUIRE(decisions.size() == 1U);
        if (!decisions.front().command.has_change()) {
            continue;
        }
        shares.push_back(decisions.front().sharePermille);
        BOOST_TEST(!cluster.apply(decisions.front().command).has_error());
    }
    BOOST_TEST(shares == (std::vector<unsigned>{100, 300, 1000, 1000}), boost::test_tools::per_element());
    BOOST_TEST(cluster.rollout().state() == Wire::ROLLOUT_STATE_DONE);
    BOOST_TEST(cluster.configuration().models(0).stable_version() == "v2");
    BOOST_TEST(cluster.rollout().evidence().find("failed 0/") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stepNeedsMinimumDurationAndEvidenceAndNoPause)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    answers(store, "v2", 100, 0, StartMs);
    BOOST_TEST(controller.decide(cluster.configuration(), store, StartMs).front().reason == "step-too-young");
    BOOST_TEST(controller.decide(cluster.configuration(), store, StartMs + 10000).front().reason == "step-too-young");
    BOOST_TEST(controller.decide(cluster.configuration(), EvidenceStore(), StartMs + 30000).front().reason == "evidence-awaited");
    Wire::ConfigurationChange pause;
    pause.mutable_set_rollout()->set_model("chat");
    pause.mutable_set_rollout()->set_state(Wire::ROLLOUT_STATE_PAUSED);
    pause.mutable_set_rollout()->set_share_permille(20);
    cluster.change(pause);
    BOOST_TEST((controller.decide(cluster.configuration(), store, StartMs + 60000).front().action == RolloutAction::Hold));
}

BOOST_AUTO_TEST_CASE(badVersionIsWithdrawnAndItsRolloutHalted)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    answers(store, "v1", 200, 2, StartMs);
    answers(store, "v2", 12, 8, StartMs);
    const RolloutDecision decision = controller.decide(cluster.configuration(), store, StartMs).front();
    BOOST_TEST(rolloutActionName(decision.action) == "withdraw");
    BOOST_TEST(decision.evidence.find("failed 8/20") != std::string::npos);
    BOOST_TEST(!cluster.apply(decision.command).has_error());
    BOOST_TEST(cluster.rollout().state() == Wire::ROLLOUT_STATE_HALTED);
    BOOST_TEST(controller.decide(cluster.configuration(), store, StartMs).empty());
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(chooseVersion(cluster.configuration(), subject("s" + std::to_string(i))).version == "v1");
    }
}

BOOST_AUTO_TEST_CASE(concurrentDecisionsOfTwoInstancesTakeEffectOnce)
{
    Cluster cluster;
    EvidenceStore first({.entry = "entry-1"});
    EvidenceStore second({.entry = "entry-2"});
    answers(first, "v2", 5, 4, StartMs);
    answers(second, "v2", 5, 4, StartMs);
    first.receive("entry-2", second.digest(StartMs), StartMs);
    second.receive("entry-1", first.digest(StartMs), StartMs);
    RolloutController controllerOne;
    RolloutController controllerTwo;
    const RolloutDecision one = controllerOne.decide(cluster.configuration(), first, StartMs).front();
    const RolloutDecision two = controllerTwo.decide(cluster.configuration(), second, StartMs + 3).front();
    BOOST_TEST(one.command.command_id() == two.command.command_id());
    const Wire::CommandResult firstResult = cluster.apply(one.command);
    const Wire::CommandResult secondResult = cluster.apply(two.command);
    BOOST_TEST(firstResult.revision() == secondResult.revision());
    BOOST_TEST(!secondResult.has_error());
    const std::uint64_t revision = cluster.configuration().revision();
    BOOST_TEST(!cluster.apply(one.command).has_error());
    BOOST_TEST(cluster.configuration().revision() == revision);
}

BOOST_AUTO_TEST_CASE(decisionFromAnOldRevisionIsRejectedAndRepeated)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    answers(store, "v2", 2, 8, StartMs);
    const RolloutDecision early = controller.decide(cluster.configuration(), store, StartMs).front();
    Wire::ConfigurationChange other;
    other.set_drain_endpoint("e1");
    cluster.change(other);
    BOOST_TEST(cluster.apply(early.command).error().code() == Wire::ERROR_CODE_REVISION_CONFLICT);
    const RolloutDecision again = controller.decide(cluster.configuration(), store, StartMs).front();
    BOOST_TEST(again.command.command_id() != early.command.command_id());
    BOOST_TEST(!cluster.apply(again.command).has_error());
}

BOOST_AUTO_TEST_CASE(versionThatTurnsBadAfterItsRolloutIsWithdrawn)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    Wire::ConfigurationChange done;
    done.mutable_set_rollout()->set_model("chat");
    done.mutable_set_rollout()->set_state(Wire::ROLLOUT_STATE_DONE);
    cluster.change(done);
    std::int64_t now = StartMs;
    for (int i = 0; i < 40; ++i, now += 5000) {
        answers(store, "v2", 50, i % 2 == 0 ? 1 : 0, now);
        BOOST_TEST(controller.decide(cluster.configuration(), store, now).empty());
    }
    answers(store, "v2", 20, 10, now);
    const std::vector<RolloutDecision> decisions = controller.decide(cluster.configuration(), store, now);
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions.front().reason == "bad-answers");
    BOOST_TEST(!cluster.apply(decisions.front().command).has_error());
    BOOST_TEST(cluster.configuration().models(0).stable_version() == "v1");
}

BOOST_AUTO_TEST_CASE(unchangedVersionIsNotWithdrawnForASmallSampleOfThePreviousOne)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    const auto rate = [&store](const std::string &version, unsigned count, unsigned low, std::int64_t now) {
        for (unsigned i = 0; i < count; ++i) {
            store.recordStarted(version, now);
            store.recordEnded("chat", version, false, 100, true, now);
            store.recordRated(version, i < low ? 0.1 : 0.9, now);
        }
    };
    rate("v1", 200, 2, StartMs);
    Wire::ConfigurationChange done;
    done.mutable_set_rollout()->set_model("chat");
    done.mutable_set_rollout()->set_state(Wire::ROLLOUT_STATE_DONE);
    cluster.change(done);
    for (int i = 1; i <= 40; ++i) {
        rate("v2", 50, 2, StartMs + 5000 * i);
        BOOST_TEST(controller.decide(cluster.configuration(), store, StartMs + 5000 * i).empty());
    }
}

BOOST_AUTO_TEST_CASE(badVersionWithoutFallbackRaisesAnAlarm)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    Wire::ConfigurationChange done;
    done.mutable_set_rollout()->set_model("chat");
    done.mutable_set_rollout()->set_state(Wire::ROLLOUT_STATE_DONE);
    cluster.change(done);
    Wire::ConfigurationChange withdraw;
    withdraw.mutable_withdraw_version()->set_version("v1");
    withdraw.mutable_withdraw_version()->set_reason("old");
    cluster.change(withdraw);
    answers(store, "v2", 10, 30, StartMs);
    const RolloutDecision decision = controller.decide(cluster.configuration(), store, StartMs).front();
    BOOST_TEST(rolloutActionName(decision.action) == "alarm");
    BOOST_TEST(decision.reason == "nothing-to-go-back-to");
    BOOST_TEST(!decision.command.has_change());
}

BOOST_AUTO_TEST_CASE(disturbanceOfAllVersionsHaltsNothing)
{
    Cluster cluster;
    EvidenceStore store;
    RolloutController controller;
    answers(store, "v1", 800, 200, StartMs);
    answers(store, "v2", 40, 10, StartMs);
    BOOST_TEST((controller.decide(cluster.configuration(), store, StartMs).front().action == RolloutAction::Hold));
}

BOOST_AUTO_TEST_CASE(lowRatingsAndLateFirstTokensAreEvidence)
{
    Cluster cluster;
    RolloutController controller;
    EvidenceStore rated;
    for (int i = 0; i < 30; ++i) {
        rated.recordStarted("v2", StartMs);
        rated.recordEnded("chat", "v2", false, 100, true, StartMs);
        rated.recordRated("v2", i % 2 == 0 ? 0.1 : 0.9, StartMs);
    }
    BOOST_TEST(rolloutActionName(controller.decide(cluster.configuration(), rated, StartMs).front().action) == "withdraw");
    EvidenceStore timed;
    answers(timed, "v1", 200, 0, StartMs);
    for (int i = 0; i < 30; ++i) {
        timed.recordStarted("v2", StartMs);
        timed.recordEnded("chat", "v2", false, 900, false, StartMs);
    }
    BOOST_TEST(rolloutActionName(controller.decide(cluster.configuration(), timed, StartMs).front().action) == "withdraw");
}

BOOST_AUTO_TEST_CASE(openAnswersOfANewVersionAreLimited)
{
    const Cluster cluster;
    EvidenceStore store({.entry = "entry-1"});
    const RolloutController controller;
    unsigned taken = 0;
    for (; taken < 100 && controller.canAcceptMore(cluster.configuration(), "v2", store, 1, StartMs); ++taken) {
        store.recordStarted("v2", StartMs);
    }
    BOOST_TEST(taken == 5U);
    BOOST_TEST(controller.canAcceptMore(cluster.configuration(), "v1", store, 1, StartMs));
    store.recordEnded("chat", "v2", false, 100, true, StartMs);
    BOOST_TEST(!controller.canAcceptMore(cluster.configuration(), "v2", store, 1, StartMs));
    store.recordRated("v2", std::nullopt, StartMs);
    BOOST_TEST(controller.canAcceptMore(cluster.configuration(), "v2", store, 1, StartMs));
    EvidenceStore other({.entry = "entry-2"});
    other.receive("entry-1", store.digest(StartMs), StartMs);
    other.recordStarted("v2", StartMs);
    BOOST_TEST(other.openAnswers("v2", StartMs) == 5U);
    BOOST_TEST(!controller.canAcceptMore(cluster.configuration(), "v2", other, 1, StartMs));
    BOOST_TEST(controller.canAcceptMore(cluster.configuration(), "v2", other, 1, StartMs + 20000));
    VersionRequest full = subject("s");
    full.rolloutFull = true;
    for (int i = 0; i < 100; ++i) {
        full.subject = std::to_string(i);
        BOOST_TEST(chooseVersion(cluster.configuration(), full).version == "v1");
    }
}

BOOST_AUTO_TEST_CASE(digestsCanArriveTwiceAndOutOfOrder)
{
    EvidenceStore one({.entry = "entry-1"});
    EvidenceStore two({.entry = "entry-2"});
    answers(one, "v2", 3, 1, StartMs);
    const std::vector<Wire::VersionEvidence> early = one.digest(StartMs);
    answers(one, "v2", 5, 0, StartMs);
    const std::vector<Wire::VersionEvidence> late = one.digest(StartMs);
    for (const std::vector<Wire::VersionEvidence> &digest : {late, early, late}) {
        two.receive("entry-1", digest, StartMs);
    }
    const EvidenceSpan sum = sumSpans(two.spans("v2"), 0);
    BOOST_TEST(sum.failed.answers == 9.0);
    BOOST_TEST(sum.failed.occurrences == 1.0);
}

BOOST_AUTO_TEST_CASE(sharesFollowAStableHashAndSessionsKeepTheirVersion)
{
    Cluster cluster;
    Wire::ConfigurationChange half;
    half.mutable_set_rollout()->set_model("chat");
    half.mutable_set_rollout()->set_state(Wire::ROLLOUT_STATE_RUNNING);
    half.mutable_set_rollout()->set_share_permille(300);
    cluster.change(half);
    unsigned drawn = 0;
    for (int i = 0; i < 2000; ++i) {
        const VersionDecision decision = chooseVersion(cluster.configuration(), subject(std::to_string(i)));
        BOOST_TEST((decision == chooseVersion(cluster.configuration(), subject(std::to_string(i)))));
        drawn += decision.version == "v2" ? 1 : 0;
    }
    BOOST_TEST(std::abs(static_cast<int>(drawn) - 600) < 80);
    VersionRequest session = subject("s");
    session.sessionVersion = "v2";
    BOOST_TEST(chooseVersion(cluster.configuration(), session).reason == "session");
    Wire::ConfigurationChange withdraw;
    withdraw.mutable_withdraw_version()->set_version("v2");
    withdraw.mutable_withdraw_version()->set_reason("bad");
    withdraw.mutable_withdraw_version()->set_replacement("v1");
    cluster.change(withdraw);
    BOOST_TEST(chooseVersion(cluster.configuration(), session).version.empty());
    BOOST_TEST(chooseVersion(cluster.configuration(), session).reason == "session-version-withdrawn");
    VersionRequest stranger = subject("s");
    stranger.organisation = "other";
    BOOST_TEST(chooseVersion(cluster.configuration(), stranger).reason == "unknown-organisation");
}

BOOST_AUTO_TEST_CASE(evidenceIsRarelyLargeAtTheBaselineShare)
{
    // By Ville's inequality, the evidence reaches 3 in at most a share of exp(-3) of the runs, about 5%.
    constexpr unsigned Runs = 400;
    std::mt19937_64 engine(7);
    std::bernoulli_distribution bad(0.02);
    unsigned alarms = 0;
    for (unsigned run = 0; run < Runs; ++run) {
        IndicatorCounts counts;
        double largest = 0;
        for (int i = 0; i < 500; ++i) {
            counts.answers += 1;
            counts.occurrences += bad(engine) ? 1 : 0;
            largest = std::max(largest, logEvidence(counts, 0.02));
        }
        alarms += largest >= 3 ? 1 : 0;
    }
    BOOST_TEST(alarms <= Runs * std::exp(-3.0));
}
