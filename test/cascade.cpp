#define BOOST_TEST_MODULE cascade
#include "main.h"

#include <Apricothead/Coordination>

#include <limits>

using namespace Apricothead;

namespace {

CascadeProgress initialProgress()
{
    CascadeProgress progress;
    progress.organisation = "willow";
    progress.kind = "draft-long";
    progress.tiers = {{.model = "small", .cost = 1, .expectedMs = 500}, {.model = "large", .cost = 10, .expectedMs = 2000}};
    return progress;
}

CascadeProgress answered(RatingState state, double rating = 0)
{
    CascadeProgress progress = initialProgress();
    progress.answered = 0;
    progress.ratingState = state;
    progress.rating = rating;
    return progress;
}

void rate(CascadeHistory &history, unsigned count, double rating)
{
    for (unsigned i = 0; i < count; ++i) {
        history.recordRating("willow", "draft-long", "small", rating, 0.7);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(cheapestTierRunsFirstAndItsRatingDecides)
{
    const CascadeHistory history;
    const CascadeDecision first = decideCascadeStep(initialProgress(), history, 0.5);
    BOOST_TEST((first.action == CascadeAction::Run));
    BOOST_TEST(first.tier == 0U);
    BOOST_TEST((decideCascadeStep(answered(RatingState::Awaited), history, 0.5).action == CascadeAction::AwaitRating));
    BOOST_TEST((decideCascadeStep(answered(RatingState::Arrived, 0.9), history, 0.5).action == CascadeAction::Deliver));
    const CascadeDecision low = decideCascadeStep(answered(RatingState::Arrived, 0.2), history, 0.5);
    BOOST_TEST((low.action == CascadeAction::Run));
    BOOST_TEST(low.tier == 1U);
    CascadeProgress last = answered(RatingState::Awaited);
    last.answered = 1;
    BOOST_TEST(decideCascadeStep(last, history, 0.5).reason == "last-tier");
}

BOOST_AUTO_TEST_CASE(tierWithFewGoodAnswersIsSkippedExceptForExploration)
{
    CascadeHistory history;
    rate(history, 100, 0.1);
    const CascadeDecision skipped = decideCascadeStep(initialProgress(), history, 0.5);
    BOOST_TEST(skipped.tier == 1U);
    BOOST_TEST(skipped.reason == "cheap-not-worth-trying");
    BOOST_TEST(decideCascadeStep(initialProgress(), history, 0.001).reason == "explore");
    CascadeProgress other = initialProgress();
    other.kind = "chat-short";
    BOOST_TEST(decideCascadeStep(other, history, 0.5).tier == 0U);
    rate(history, 100, 0.9);
    BOOST_TEST(decideCascadeStep(initialProgress(), history, 0.5).tier == 0U);
}

BOOST_AUTO_TEST_CASE(lateRatingDoesNotDelayTheAnswer)
{
    CascadeHistory history;
    CascadeProgress waiting = answered(RatingState::Awaited);
    waiting.ratingWaitedMs = 2000;
    BOOST_TEST((decideCascadeStep(waiting, history, 0.5).action != CascadeAction::AwaitRating));
    rate(history, 50, 0.9);
    BOOST_TEST(decideCascadeStep(waiting, history, 0.5).reason == "rating-absent-usually-good");
    waiting.ratingWaitedMs = 100;
    waiting.deadlineLeftMs = 1000;
    BOOST_TEST((decideCascadeStep(waiting, history, 0.5).action == CascadeAction::Deliver));
}

BOOST_AUTO_TEST_CASE(absentRatingsDoNotCauseTwoRunsPerRequest)
{
    CascadeHistory history;
    unsigned runsOfBothTiers = 0;
    for (int i = 0; i < 300; ++i) {
        CascadeDecision decision = decideCascadeStep(initialProgress(), history, 0.5);
        if (decision.tier == 1) {
            continue;
        }
        history.recordAbsentRating("willow", "draft-long", "small");
        decision = decideCascadeStep(answered(RatingState::Absent), history, 0.5);
        runsOfBothTiers += decision.action == CascadeAction::Run ? 1 : 0;
    }
    BOOST_TEST(runsOfBothTiers < 30U);
}

BOOST_AUTO_TEST_CASE(wrongLowRatingsOfAGoodKindDoNotRaiseTheCost)
{
    // One rating in five is wrong. The ratings of the last tier reveal that; until they exist, a low rating is trusted.
    CascadeHistory history;
    for (int i = 0; i < 100; ++i) {
        rate(history, 1, i % 5 == 0 ? 0.1 : 0.9);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.1), history, 0.5).reason == "rating-low");
    for (int i = 0; i < 200; ++i) {
        history.recordReferenceRating(i % 5 == 0 ? 0.1 : 0.9, 0.7);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.1), history, 0.5).reason == "rating-low-but-usually-good");
    const double before = history.goodShare("willow", "draft-long", "small");
    history.recordRating("willow", "draft-long", "small", std::numeric_limits<double>::quiet_NaN(), 0.7);
    BOOST_TEST(history.goodShare("willow", "draft-long", "small") == before);
}

BOOST_AUTO_TEST_CASE(goodRatingOfABadKindIsDoubtedWhenRatingsAreNoisy)
{
    CascadeHistory history;
    for (int i = 0; i < 200; ++i) {
        history.recordReferenceRating(i % 4 == 0 ? 0.1 : 0.9, 0.7);
        rate(history, 1, i % 3 == 0 ? 0.9 : 0.1);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.9), history, 0.5).reason == "rating-good-but-seldom-right");
    BOOST_TEST(decideCascadeStep(initialProgress(), history, 0.5).tier == 1U);
}

BOOST_AUTO_TEST_CASE(tiersWithoutAnEndpointAreSkipped)
{
    const CascadeHistory history;
    CascadeProgress gone = initialProgress();
    gone.tiers[0].available = false;
    BOOST_TEST(decideCascadeStep(gone, history, 0.5).tier == 1U);
    gone.tiers[1].available = false;
    BOOST_TEST((decideCascadeStep(gone, history, 0.5).action == CascadeAction::Refuse));
    CascadeProgress onlyCheap = answered(RatingState::Arrived, 0.1);
    onlyCheap.tiers[1].available = false;
    BOOST_TEST((decideCascadeStep(onlyCheap, history, 0.5).action == CascadeAction::Deliver));
}

BOOST_AUTO_TEST_CASE(historyIsBounded)
{
    CascadeHistory history({.maxRecords = 10});
    for (int i = 0; i < 100; ++i) {
        history.recordRating("org-" + std::to_string(i), "chat", "small", 0.9, 0.7);
    }
    BOOST_TEST(history.ratingCount("org-0", "chat", "small") == 0.0);
    BOOST_TEST(history.ratingCount("org-99", "chat", "small") == 1.0);
    BOOST_TEST(requestKind("", Wire::PRIORITY_DRAFT, 5000) == "draft-long");
    BOOST_TEST(requestKind("permit", Wire::PRIORITY_DRAFT, 5000) == "permit");
}
