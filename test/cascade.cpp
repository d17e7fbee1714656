#define BOOST_TEST_MODULE cascade
#include "main.h"

#include <Apricothead/Coordination>

#include <limits>

using namespace Apricothead;

namespace {

CascadeView view()
{
    CascadeView made;
    made.organisation = "willow";
    made.kind = "draft-long";
    made.tiers = {{.model = "small", .cost = 1, .expectedMs = 500}, {.model = "large", .cost = 10, .expectedMs = 2000}};
    return made;
}

CascadeView answered(RatingState state, double rating = 0)
{
    CascadeView made = view();
    made.answered = 0;
    made.ratingState = state;
    made.rating = rating;
    return made;
}

void rate(CascadeMemory &memory, unsigned count, double rating)
{
    for (unsigned i = 0; i < count; ++i) {
        memory.noteRating("willow", "draft-long", "small", rating, 0.7);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(theCheapTierIsTriedFirstAndTheRatingDecides)
{
    const CascadeMemory memory;
    const CascadeDecision first = decideCascadeStep(view(), memory, 0.5);
    BOOST_TEST((first.action == CascadeAction::Run));
    BOOST_TEST(first.tier == 0U);
    BOOST_TEST((decideCascadeStep(answered(RatingState::Awaited), memory, 0.5).action == CascadeAction::AwaitRating));
    BOOST_TEST((decideCascadeStep(answered(RatingState::Arrived, 0.9), memory, 0.5).action == CascadeAction::Deliver));
    const CascadeDecision low = decideCascadeStep(answered(RatingState::Arrived, 0.2), memory, 0.5);
    BOOST_TEST((low.action == CascadeAction::Run));
    BOOST_TEST(low.tier == 1U);
    CascadeView last = answered(RatingState::Awaited);
    last.answered = 1;
    BOOST_TEST(decideCascadeStep(last, memory, 0.5).reason == "last-tier");
}

BOOST_AUTO_TEST_CASE(aTierThatSeldomDoesIsSkippedButTriedNowAndThen)
{
    CascadeMemory memory;
    rate(memory, 100, 0.1);
    const CascadeDecision skipped = decideCascadeStep(view(), memory, 0.5);
    BOOST_TEST(skipped.tier == 1U);
    BOOST_TEST(skipped.reason == "cheap-not-worth-trying");
    BOOST_TEST(decideCascadeStep(view(), memory, 0.001).reason == "explore");
    CascadeView other = view();
    other.kind = "chat-short";
    BOOST_TEST(decideCascadeStep(other, memory, 0.5).tier == 0U);
    rate(memory, 100, 0.9);
    BOOST_TEST(decideCascadeStep(view(), memory, 0.5).tier == 0U);
}

BOOST_AUTO_TEST_CASE(aLateRatingBlocksNoAnswer)
{
    CascadeMemory memory;
    CascadeView waiting = answered(RatingState::Awaited);
    waiting.ratingWaitedMs = 2000;
    BOOST_TEST((decideCascadeStep(waiting, memory, 0.5).action != CascadeAction::AwaitRating));
    rate(memory, 50, 0.9);
    BOOST_TEST(decideCascadeStep(waiting, memory, 0.5).reason == "rating-absent-usually-good");
    waiting.ratingWaitedMs = 100;
    waiting.deadlineLeftMs = 1000;
    BOOST_TEST((decideCascadeStep(waiting, memory, 0.5).action == CascadeAction::Deliver));
}

BOOST_AUTO_TEST_CASE(absentRatingsDoNotRunUpTwoBillsForEachRequest)
{
    CascadeMemory memory;
    unsigned both = 0;
    for (int i = 0; i < 300; ++i) {
        CascadeDecision decision = decideCascadeStep(view(), memory, 0.5);
        if (decision.tier == 1) {
            continue;
        }
        memory.noteAbsent("willow", "draft-long", "small");
        decision = decideCascadeStep(answered(RatingState::Absent), memory, 0.5);
        both += decision.action == CascadeAction::Run ? 1 : 0;
    }
    BOOST_TEST(both < 30U);
}

BOOST_AUTO_TEST_CASE(wrongRatingsOfAnOtherwiseGoodKindDoNotRunUpCost)
{
    // Ratings err one time in five, as the ratings of the last tier show; without those a low rating is believed.
    CascadeMemory memory;
    for (int i = 0; i < 100; ++i) {
        rate(memory, 1, i % 5 == 0 ? 0.1 : 0.9);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.1), memory, 0.5).reason == "rating-low");
    for (int i = 0; i < 200; ++i) {
        memory.noteReference(i % 5 == 0 ? 0.1 : 0.9, 0.7);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.1), memory, 0.5).reason == "rating-low-but-usually-good");
    const double before = memory.goodShare("willow", "draft-long", "small");
    memory.noteRating("willow", "draft-long", "small", std::numeric_limits<double>::quiet_NaN(), 0.7);
    BOOST_TEST(memory.goodShare("willow", "draft-long", "small") == before);
}

BOOST_AUTO_TEST_CASE(aGoodRatingOfAKindThatSeldomDoesIsNotBelievedWhenRatingsErr)
{
    CascadeMemory memory;
    for (int i = 0; i < 200; ++i) {
        memory.noteReference(i % 4 == 0 ? 0.1 : 0.9, 0.7);
        rate(memory, 1, i % 3 == 0 ? 0.9 : 0.1);
    }
    BOOST_TEST(decideCascadeStep(answered(RatingState::Arrived, 0.9), memory, 0.5).reason == "rating-good-but-seldom-right");
    BOOST_TEST(decideCascadeStep(view(), memory, 0.5).tier == 1U);
}

BOOST_AUTO_TEST_CASE(tiersWithoutAnEndpointAreLeftOut)
{
    const CascadeMemory memory;
    CascadeView gone = view();
    gone.tiers[0].available = false;
    BOOST_TEST(decideCascadeStep(gone, memory, 0.5).tier == 1U);
    gone.tiers[1].available = false;
    BOOST_TEST((decideCascadeStep(gone, memory, 0.5).action == CascadeAction::Refuse));
    CascadeView onlyCheap = answered(RatingState::Arrived, 0.1);
    onlyCheap.tiers[1].available = false;
    BOOST_TEST((decideCascadeStep(onlyCheap, memory, 0.5).action == CascadeAction::Deliver));
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    CascadeMemory memory({.kinds = 10});
    for (int i = 0; i < 100; ++i) {
        memory.noteRating("org-" + std::to_string(i), "chat", "small", 0.9, 0.7);
    }
    BOOST_TEST(memory.ratings("org-0", "chat", "small") == 0.0);
    BOOST_TEST(memory.ratings("org-99", "chat", "small") == 1.0);
    BOOST_TEST(requestKind("", Wire::PRIORITY_DRAFT, 5000) == "draft-long");
    BOOST_TEST(requestKind("permit", Wire::PRIORITY_DRAFT, 5000) == "permit");
}
