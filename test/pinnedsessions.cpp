#define BOOST_TEST_MODULE pinnedsessions
#include "main.h"

#include <Apricothead/Decisions>

using namespace Apricothead;

// Known red: gateways do not tell each other which version a session is on.
BOOST_AUTO_TEST_CASE(sessionThatMovesToAnotherGatewayStaysOnItsVersion)
{
    constexpr std::uint64_t SessionMs = 5000;
    VersionSplit one(SessionMs);
    VersionSplit other(SessionMs);
    Wire::ServingState state;
    Wire::ServiceRollout *rollout = state.add_rollouts();
    rollout->set_service("pool");
    rollout->set_target("v2");
    rollout->set_duration_ms(24000);
    rollout->set_order(5);
    rollout->set_state(Wire::SERVICE_ROLLOUT_STATE_RUNNING);
    rollout->set_share_permille(100);
    one.setState(state, 0);
    other.setState(state, 0);
    // The session lives through the start of the canary at one gateway, and its next request comes to the other.
    one.note("pool", "s", "v1", 1000);
    one.note("pool", "s", "v1", 4000);
    one.note("pool", "s", "v1", 7000);
    BOOST_TEST(!one.rule("pool", "s", 0, 8000).wantsTarget);
    BOOST_TEST(!other.rule("pool", "s", 0, 8000).wantsTarget);
}
