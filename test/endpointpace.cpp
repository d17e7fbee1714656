#define BOOST_TEST_MODULE endpointpace
#include "main.h"

#include <Apricothead/Decisions>

using namespace Apricothead;

namespace {

constexpr double PeerMs = 100;
constexpr double PeerInFlight = 10;

/** Answers \a count requests that each took \a tookMs. */
void answer(EndpointPace &pace, unsigned count, double tookMs)
{
    for (unsigned number = 0; number < count; ++number) {
        pace.recordAnswer(tookMs, PeerMs, PeerInFlight);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(endpointThatHasNotStartedIsNotLimited)
{
    const EndpointPace pace;
    BOOST_TEST(pace.isAtPace());
    BOOST_TEST(pace.canTake(10'000));
}

BOOST_AUTO_TEST_CASE(startedEndpointTakesFewRequestsUntilItAnswers)
{
    EndpointPace pace;
    pace.start();
    BOOST_TEST(pace.canTake(3));
    BOOST_TEST(!pace.canTake(4));
    pace.recordAnswer(PeerMs, PeerMs, PeerInFlight);
    BOOST_TEST(pace.canTake(4));
}

BOOST_AUTO_TEST_CASE(endpointThatWasWarmIsAtPaceAfterFewAnswers)
{
    EndpointPace pace;
    pace.start();
    answer(pace, 12, PeerMs);
    BOOST_TEST(pace.isAtPace());
    BOOST_TEST(pace.canTake(1000));
}

BOOST_AUTO_TEST_CASE(endpointThatIsSlowToWarmIsHeldBackUntilItAnswersLikeItsPeers)
{
    EndpointPace pace;
    pace.start();
    answer(pace, 5, 6 * PeerMs);
    BOOST_TEST(pace.window() == 1.0);
    BOOST_TEST(pace.canTake(0));
    BOOST_TEST(!pace.canTake(1));
    // It warms: the window grows by one in each round.
    answer(pace, 2, PeerMs);
    BOOST_TEST(!pace.isAtPace());
    BOOST_TEST(pace.window() < 3.0);
    answer(pace, 200, PeerMs);
    BOOST_TEST(pace.isAtPace());
}

BOOST_AUTO_TEST_CASE(endpointThatNeverRecoversStaysLimited)
{
    EndpointPace pace;
    pace.start();
    for (unsigned round = 0; round < 100; ++round) {
        pace.recordAnswer(PeerMs, PeerMs, PeerInFlight);
        pace.recordFailure();
    }
    BOOST_TEST(!pace.isAtPace());
    BOOST_TEST(pace.window() <= 4.0);
}

BOOST_AUTO_TEST_CASE(answersOfAFewMsAreNeverSlow)
{
    EndpointPace pace;
    pace.start();
    for (unsigned number = 0; number < 20; ++number) {
        pace.recordAnswer(20, 2, PeerInFlight);
    }
    BOOST_TEST(pace.isAtPace());
}

BOOST_AUTO_TEST_CASE(gatewayThatSawNoAnswerTakesTheWindowOfOthers)
{
    EndpointPace pace;
    pace.start();
    pace.recordOthers(9);
    BOOST_TEST(pace.canTake(8));
    // Its own slow answers outweigh what others still have under way.
    pace.recordFailure();
    pace.recordOthers(20);
    BOOST_TEST(!pace.canTake(5));
}
