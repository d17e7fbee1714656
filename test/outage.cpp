#define BOOST_TEST_MODULE outage
#include "main.h"

#include "recordedreply.h"
#include "support/Wait.h"

#include <Apricothead/Decisions>
#include <Apricothead/Gateway>
#include <Apricothead/Transport>

#include <set>

using namespace Apricothead;
using namespace Apricothead::Test;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    EventLoop loop;
    bool isOver = false;
    std::vector<ForwardRequest> admitted;
    std::vector<ForwardRequest> refused;
    PendingRequests pending{loop,
                            {
                                .canAdmit =
                                    [this] {
                                        return this->isOver;
                                    },
                                .admit =
                                    [this](ForwardRequest request, const std::shared_ptr<HttpReply> &) {
                                        this->admitted.push_back(std::move(request));
                                    },
                                .refuse =
                                    [this](const ForwardRequest &request, const std::shared_ptr<HttpReply> &) {
                                        this->refused.push_back(request);
                                    },
                                .maxRequests = 2,
                            }};

    std::shared_ptr<RecordedReply> wait(const std::string &id, std::uint64_t holdMs)
    {
        auto reply = std::make_shared<RecordedReply>();
        ForwardRequest request{.id = id, .callerTimeoutMs = 1000};
        BOOST_TEST(this->pending.add(request, reply, holdMs));
        return reply;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestIsHeldForASmallPartOfItsCallersTimeOut)
{
    BOOST_TEST(outageHoldMs({.callerTimeoutMs = 800, .outageMs = 100}) == 100U);
    // Not longer than a group takes to elect its first leader.
    BOOST_TEST(outageHoldMs({.callerTimeoutMs = 20000, .outageMs = 100}) <= 1000U);
    // An outage that has lasted longer is not caused by an election.
    BOOST_TEST(outageHoldMs({.callerTimeoutMs = 20000, .outageMs = 3000}) == 0U);
}

BOOST_AUTO_TEST_CASE(callersRetryWhenALeaderIsExpectedAndWithJitter)
{
    // After a restart of all processes there is no leader yet after 0.2 s, and most callers retry only once.
    std::set<std::uint64_t> times;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        const std::uint64_t retryAfterMs = outageRetryAfterMs({.callerTimeoutMs = 20000, .outageMs = 100, .draw = draw * 7919});
        BOOST_TEST(retryAfterMs >= 500U);
        BOOST_TEST(retryAfterMs <= 1500U);
        times.insert(retryAfterMs);
    }
    BOOST_TEST(times.size() > 50U);
    // Callers respect a Retry-After of up to a third of their remaining time.
    BOOST_TEST(outageRetryAfterMs({.callerTimeoutMs = 600, .outageMs = 100}) <= 200U);
    BOOST_TEST(outageRetryAfterMs({.callerTimeoutMs = 20000, .outageMs = 60000}) <= 6600U);
}

BOOST_AUTO_TEST_CASE(heldRequestsAreAdmittedWithTheirRemainingTimeOut)
{
    Fixture fixture;
    fixture.wait("a", 500);
    fixture.wait("b", 500);
    ForwardRequest third{.id = "c"};
    BOOST_TEST(!fixture.pending.add(third, std::make_shared<RecordedReply>(), 500));
    BOOST_TEST(third.id == "c");
    Timer over(fixture.loop, [&fixture] {
        fixture.isOver = true;
    });
    over.startOnce(milliseconds(100));
    BOOST_TEST(runUntil(fixture.loop, [&fixture] {
        return fixture.admitted.size() == 2;
    }));
    BOOST_TEST(fixture.admitted.front().id == "a");
    BOOST_TEST(*fixture.admitted.front().callerTimeoutMs <= 900U);
    BOOST_TEST(fixture.refused.empty());
    BOOST_TEST(fixture.pending.size() == 0U);
}

BOOST_AUTO_TEST_CASE(heldRequestsAreRefusedAfterTheHoldTimeAndDroppedWhenTheCallerDisconnects)
{
    Fixture fixture;
    const std::shared_ptr<RecordedReply> left = fixture.wait("left", 60);
    fixture.wait("kept", 60);
    left->disconnect();
    BOOST_TEST(runUntil(fixture.loop, [&fixture] {
        return !fixture.refused.empty();
    }));
    BOOST_TEST(fixture.refused.size() == 1U);
    BOOST_TEST(fixture.refused.front().id == "kept");
    BOOST_TEST(fixture.admitted.empty());
    BOOST_TEST(fixture.pending.size() == 0U);
}
