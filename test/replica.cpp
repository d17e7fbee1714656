#define BOOST_TEST_MODULE replica
#include "main.h"

#include "../bench/replicagroup.h"

using namespace Apricothead;
using namespace Apricothead::Test;

BOOST_AUTO_TEST_CASE(threeReplicasElectCommitAndAnswer)
{
    ReplicaGroup group(3);
    BOOST_REQUIRE(group.startAll());
    BlockingClient client(group.seeds);
    const ProposeOutcome outcome = client.propose(organisationChange("mulgrave", "c-1", 0));
    BOOST_TEST(outcome.status == Wire::PROPOSE_STATUS_APPLIED);
    BOOST_TEST(outcome.result.revision() == 1U);
    BOOST_TEST(waitFor([&] {
        return client.status().redundant();
    }));
    BOOST_TEST(client.status().replicas_size() == 3);
    BOOST_TEST(client.status().revision() == 1U);
}
