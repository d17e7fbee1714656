#define BOOST_TEST_MODULE partquarantine
#include "main.h"

#include <Apricothead/Decisions>
#include <Apricothead/State>

#include <algorithm>
#include <random>

using namespace Apricothead;

namespace {

constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Deadly = 2;
constexpr std::uint64_t OtherDeadly = 3;
constexpr std::int64_t Incident = 1000;

SuspectRequest request(std::uint64_t own, std::vector<std::uint64_t> parts)
{
    return {.fingerprint = own, .parts = std::move(parts)};
}

/** The replicated evidence, and one gateway that works by it. */
struct QuarantineFixture {
    bool crash(const std::string &endpoint, const std::vector<SuspectRequest> &awaiting)
    {
        Wire::UpdateSuspects update;
        Wire::EndpointCrash &crash = *update.add_crashes();
        crash.set_endpoint(endpoint);
        for (const SuspectRequest &one : awaiting) {
            Wire::AwaitingRequest &added = *crash.add_requests();
            added.set_fingerprint(one.fingerprint);
            added.mutable_parts()->Add(one.parts.begin(), one.parts.end());
        }
        return this->apply(update);
    }

    bool apply(const Wire::UpdateSuspects &update)
    {
        const bool hasChanged = SuspectTable(this->suspects).apply(update, this->timeMs);
        this->share();
        return hasChanged;
    }

    /** Brings the evidence to the gateway, which hears its leader. */
    void share()
    {
        this->gateway.recordContact(this->now());
        this->gateway.setSuspects(this->suspects, this->now());
    }

    /** The gateway serves \a request, and the leader hears of it. */
    void answer(const SuspectRequest &one)
    {
        this->gateway.recordAnswered(one.parts, "e-sound", this->now());
        Wire::UpdateSuspects update;
        for (Wire::PartClearance &cleared : this->gateway.clearances()) {
            update.add_cleared()->Swap(&cleared);
        }
        this->apply(update);
    }

    bool isWithheld(const SuspectRequest &one)
    {
        this->gateway.recordContact(this->now());
        return this->gateway.withheldParts(one, this->now()).has_value();
    }

    bool startTrial(const std::vector<std::uint64_t> &tried)
    {
        const google::protobuf::RepeatedField<std::uint64_t> parts(tried.begin(), tried.end());
        const bool isGranted = SuspectTable(this->suspects).startTrial(parts, this->timeMs);
        this->share();
        return isGranted;
    }

    std::uint64_t now() const
    {
        return static_cast<std::uint64_t>(this->timeMs);
    }

    std::int64_t timeMs = 100'000;
    SuspectTable::Suspects suspects;
    PartQuarantine gateway;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(partOfSeveralCrashesIsWithheldAndItsCompanionIsNot, QuarantineFixture)
{
    this->crash("e1", {request(10, {Common, Deadly}), request(50, {Common, 60})});
    BOOST_TEST(!this->isWithheld(request(11, {Common, Deadly})));
    this->timeMs += Incident;
    this->crash("e2", {request(11, {Common, Deadly})});
    BOOST_TEST(this->isWithheld(request(12, {Common, Deadly})));
    // Nothing has cleared the common part yet, but it is not withheld by itself.
    BOOST_TEST(!this->isWithheld(request(51, {Common, 60})));
    BOOST_TEST(!this->isWithheld(request(52, {Common})));
    this->timeMs += 10;
    this->answer(request(51, {Common, 60}));
    BOOST_TEST(this->isWithheld(request(13, {Deadly})));
    BOOST_TEST(this->gateway.suspectCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(soundRequestAtTheRepeatOfADeadlyOneIsNotHeldToBeAtFault, QuarantineFixture)
{
    // The second crash is that of a repeat, so the deadly part was in one request only, and the common part in two.
    this->crash("e1", {request(10, {Common, Deadly})});
    this->timeMs += Incident;
    this->crash("e2", {request(10, {Common, Deadly}), request(50, {Common})});
    BOOST_TEST(!this->isWithheld(request(51, {Common})));
    BOOST_TEST(this->isWithheld(request(11, {Common, Deadly})));
}

BOOST_FIXTURE_TEST_CASE(crashesOfOneMomentCountOnce, QuarantineFixture)
{
    constexpr std::int64_t WithinOneIncident = 100;
    this->crash("e1", {request(10, {Common, 60})});
    this->timeMs += WithinOneIncident;
    this->crash("e2", {request(11, {Common, 60})});
    this->timeMs += WithinOneIncident;
    this->crash("e3", {request(12, {Common, 61})});
    BOOST_TEST(!this->isWithheld(request(13, {Common, 60})));
    BOOST_TEST(!this->isWithheld(request(14, {Common})));
}

BOOST_FIXTURE_TEST_CASE(requestThatWasAtSeveralCrashesIsWithheldAlone, QuarantineFixture)
{
    this->crash("e1", {request(10, {60})});
    this->timeMs += Incident;
    this->crash("e2", {request(10, {60})});
    BOOST_TEST(this->isWithheld(request(10, {60})));
    BOOST_TEST(!this->isWithheld(request(11, {60})));
}

BOOST_FIXTURE_TEST_CASE(anyPartMayBeAtFault, QuarantineFixture)
{
    // The first part crashes endpoints, whatever follows.
    this->crash("e1", {request(10, {Common, 60})});
    this->timeMs += Incident;
    this->crash("e2", {request(11, {Common, 61})});
    BOOST_TEST(this->isWithheld(request(12, {Common, 62})));
    BOOST_TEST(this->isWithheld(request(13, {Common})));
    BOOST_TEST(!this->isWithheld(request(14, {60})));
}

BOOST_FIXTURE_TEST_CASE(twoPartsAtOnceAreBothWithheld, QuarantineFixture)
{
    for (unsigned number = 0; number < 3; ++number) {
        this->crash("e1-" + std::to_string(number), {request(10 + number, {Common, Deadly})});
        this->timeMs += Incident;
        this->crash("e2-" + std::to_string(number), {request(20 + number, {Common, OtherDeadly})});
        this->timeMs += Incident;
        this->answer(request(50 + number, {Common}));
    }
    BOOST_TEST(this->isWithheld(request(30, {Common, Deadly})));
    BOOST_TEST(this->isWithheld(request(31, {Common, OtherDeadly})));
    BOOST_TEST(!this->isWithheld(request(32, {Common})));
}

BOOST_FIXTURE_TEST_CASE(answerThatBeganBeforeTheCrashWasKnownClearsNothing, QuarantineFixture)
{
    this->crash("e1", {request(10, {Deadly})});
    this->gateway.recordAnswered({Deadly}, "e-old", this->now() - 1);
    BOOST_TEST(this->gateway.clearances().empty());
    this->gateway.recordAnswered({Deadly}, "e-new", this->now() + 1);
    BOOST_REQUIRE(this->gateway.clearances().size() == 1U);
    BOOST_TEST(this->gateway.clearances().front().evidence() == "e-new");
}

BOOST_FIXTURE_TEST_CASE(clearanceFromBeforeTheLastCrashIsVoid, QuarantineFixture)
{
    this->crash("e1", {request(10, {Deadly})});
    this->timeMs += Incident;
    this->gateway.recordAnswered({Deadly}, "e-sound", this->now());
    Wire::UpdateSuspects late;
    *late.add_cleared() = this->gateway.clearances().front();
    this->crash("e2", {request(11, {Deadly})});
    BOOST_TEST(!this->apply(late));
    BOOST_TEST(this->isWithheld(request(12, {Deadly})));
}

BOOST_FIXTURE_TEST_CASE(partThatWasAnsweredLatelyIsNotSuspected, QuarantineFixture)
{
    this->gateway.recordAnswered({Common}, "e-sound", this->now());
    const std::vector<std::uint64_t> uncleared{60};
    BOOST_TEST(this->gateway.unclearedParts(request(10, {Common, 60}), this->now() + 1000) == uncleared, boost::test_tools::per_element());
    BOOST_TEST(this->gateway.unclearedParts(request(10, {Common, 60}), this->now() + 5000).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ownLossesCondemnOnlyWithoutALeader, QuarantineFixture)
{
    constexpr std::uint64_t WithoutContactMs = 1000;
    this->share();
    this->gateway.recordLoss({.endpoint = "e1"}, request(10, {Deadly}), this->now());
    this->timeMs += Incident;
    this->gateway.recordContact(this->now());
    this->gateway.recordLoss({.endpoint = "e2"}, request(11, {Deadly}), this->now());
    BOOST_TEST(!this->gateway.withheldParts(request(12, {Deadly}), this->now()).has_value());
    // Not sent a second time, however.
    BOOST_TEST(this->gateway.isSuspect(request(12, {Deadly}), this->now()));
    BOOST_TEST(this->gateway.withheldParts(request(12, {Deadly}), this->now() + WithoutContactMs).has_value());
    // Connections were lost, but the endpoint lives.
    this->gateway.forgetLosses({.endpoint = "e2"}, this->now() + WithoutContactMs);
    BOOST_TEST(!this->gateway.withheldParts(request(12, {Deadly}), this->now() + WithoutContactMs).has_value());
}

BOOST_FIXTURE_TEST_CASE(trialsAreFewAndFarBetween, QuarantineFixture)
{
    // Rule of the platform: at most three requests reach endpoints after the fifth crash and a short time.
    constexpr unsigned FreeCrashes = 5;
    constexpr unsigned MaxAfterwards = 3;
    constexpr std::int64_t LongMs = 3LL * 3600 * 1000;
    this->crash("e1", {request(10, {Deadly})});
    this->timeMs += Incident;
    this->crash("e2", {request(11, {Deadly})});
    unsigned crashes = 2;
    unsigned afterwards = 0;
    std::int64_t firstTrialMs = 0;
    const std::int64_t startMs = this->timeMs;
    for (; this->timeMs < startMs + LongMs; this->timeMs += 500) {
        if (!this->startTrial({Deadly})) {
            continue;
        }
        firstTrialMs = firstTrialMs == 0 ? this->timeMs - startMs : firstTrialMs;
        afterwards += crashes >= FreeCrashes ? 1 : 0;
        ++crashes;
        this->timeMs += Incident;
        this->crash("t" + std::to_string(crashes), {request(100 + crashes, {Deadly})});
    }
    BOOST_TEST(firstTrialMs >= 4000);
    BOOST_TEST(firstTrialMs < 10000);
    BOOST_TEST(crashes > FreeCrashes);
    BOOST_TEST(afterwards <= MaxAfterwards);
    BOOST_TEST(this->isWithheld(request(12, {Deadly})));
    // Only an operator clears it now.
    BOOST_TEST(!this->gateway.withheldParts(request(12, {Deadly}), this->now())->trialMs.has_value());
}

BOOST_FIXTURE_TEST_CASE(mendedPartComesBackWithItsTrial, QuarantineFixture)
{
    this->crash("e1", {request(10, {Deadly})});
    this->timeMs += Incident;
    this->crash("e2", {request(11, {Deadly})});
    this->timeMs += 3000;
    BOOST_TEST(!this->startTrial({Deadly}));
    this->timeMs += 1000;
    const auto withheld = this->gateway.withheldParts(request(12, {Deadly}), this->now());
    BOOST_REQUIRE(withheld.has_value());
    BOOST_TEST(withheld->trialMs.value() == 0U);
    BOOST_TEST(this->gateway.shouldRequestTrial(*withheld, this->now()));
    // Only one of the requests that arrive meanwhile asks for it.
    BOOST_TEST(!this->gateway.shouldRequestTrial(*withheld, this->now()));
    BOOST_TEST(this->startTrial({Deadly}));
    BOOST_TEST(!this->startTrial({Deadly}));
    this->timeMs += 100;
    this->answer(request(12, {Deadly}));
    BOOST_TEST(!this->isWithheld(request(13, {Deadly})));
    BOOST_TEST(this->suspects.empty());
}

BOOST_FIXTURE_TEST_CASE(evidenceIsBoundedAndKeepsTheStrongest, QuarantineFixture)
{
    constexpr unsigned Crashes = 400;
    constexpr std::size_t MaxBytes = 32UL * 1024;
    this->crash("e1", {request(10, {Deadly})});
    this->timeMs += Incident;
    this->crash("e2", {request(11, {Deadly})});
    Wire::ServingState state;
    for (unsigned number = 0; number < Crashes; ++number) {
        this->timeMs += Incident;
        this->crash("other-" + std::to_string(number), {request(1000 + number, {2000 + number, 4000 + number})});
    }
    *state.mutable_suspects() = this->suspects;
    BOOST_TEST(state.ByteSizeLong() < MaxBytes);
    BOOST_TEST(this->isWithheld(request(12, {Deadly})));
}

BOOST_FIXTURE_TEST_CASE(repeatedReportChangesNothing, QuarantineFixture)
{
    BOOST_TEST(this->crash("e1", {request(10, {Deadly})}));
    this->timeMs += 100;
    BOOST_TEST(!this->crash("e1", {request(10, {Deadly})}));
    BOOST_TEST(this->suspects.Get(0).crash_count() == 1U);
}

BOOST_AUTO_TEST_CASE(randomCrashesAndDeadlyPartsAreToldApart)
{
    // Requests with a common part, one of 40 subjects and a part of their own; 5 in 100 have the deadly part as well. Endpoints crash under these
    // and, as often, for another cause.
    constexpr unsigned Seeds = 50;
    constexpr unsigned Requests = 2000;
    constexpr std::int64_t BetweenRequestsMs = 40;
    constexpr std::uint64_t MaxCrashes = 8;
    constexpr unsigned MaxSoundWithheld = Requests / 50;
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](unsigned count) {
            return std::uniform_int_distribution<unsigned>(0, count - 1)(random);
        };
        QuarantineFixture system;
        std::vector<SuspectRequest> running;
        unsigned crashes = 0;
        unsigned soundWithheld = 0;
        for (std::uint64_t number = 0; number < Requests; ++number) {
            system.timeMs += BetweenRequestsMs;
            system.gateway.recordContact(system.now());
            const bool isDeadly = draw(20) == 0;
            SuspectRequest one = request(100'000 + number, {Common, 1000 + draw(40)});
            if (isDeadly) {
                one.parts.push_back(Deadly);
            }
            const auto withheld = system.gateway.withheldParts(one, system.now());
            const bool isTrial = withheld && system.gateway.shouldRequestTrial(*withheld, system.now()) && system.startTrial(withheld->parts);
            if (withheld && !isTrial) {
                soundWithheld += isDeadly ? 0 : 1;
                continue;
            }
            running.push_back(one);
            if (isDeadly || draw(100) == 0) {
                crashes += isDeadly ? 1 : 0;
                std::vector<SuspectRequest> awaiting;
                awaiting.reserve(running.size());
                for (const SuspectRequest &lost : running) {
                    awaiting.push_back({.fingerprint = lost.fingerprint, .parts = system.gateway.unclearedParts(lost, system.now())});
                }
                system.crash("e-" + std::to_string(number), awaiting);
                running.clear();
            } else if (running.size() > 3) {
                system.answer(running.front());
                running.erase(running.begin());
            }
        }
        BOOST_TEST(crashes <= MaxCrashes, "seed " << seed << ": " << crashes << " crashes");
        BOOST_TEST(soundWithheld <= MaxSoundWithheld, "seed " << seed << ": " << soundWithheld << " sound requests withheld");
    }
}
