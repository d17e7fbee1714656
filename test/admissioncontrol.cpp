#define BOOST_TEST_MODULE admissioncontrol
#include "main.h"

#include <Apricothead/Coordination>

using namespace Apricothead;

namespace {

/** One model with one slot, and a clock that the test advances. */
struct Fixture {
    Fixture()
        : control({.entry = "entry-1",
                   .interactiveWait = std::chrono::milliseconds(1000),
                   .window = {.fillFactor = 1.0},
                   .loadOf =
                       [this](const std::string &) {
                           return this->load;
                       },
                   .nowMs =
                       [this] {
                           return this->nowMs;
                       }})
    {
        Wire::Configuration configuration;
        Wire::Organisation &limited = *configuration.add_organisations();
        limited.set_id("limited");
        limited.mutable_limits()->set_requests_per_second(1);
        configuration.add_organisations()->set_id("creek");
        this->control.configure(configuration);
    }

    void submit(std::uint64_t number, const std::string &organisation = "creek")
    {
        CallerRequest request;
        request.id = std::to_string(number);
        request.organisation = organisation;
        request.model = "small";
        this->control.submit(
            number,
            request,
            [this, number] {
                this->started.push_back(number);
            },
            [this](const CallerError &error) {
                this->refused.push_back(error);
            });
    }

    ModelLoad load{.capacity = 1};
    double nowMs = 1000;
    std::vector<std::uint64_t> started;
    std::vector<CallerError> refused;
    AdmissionControl control;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(startsTheNextRequestWhenOneEnds, Fixture)
{
    this->submit(1);
    this->submit(2);
    BOOST_TEST(this->started == (std::vector<std::uint64_t>{1}));
    this->control.release(1, 10, true);
    BOOST_TEST(this->started == (std::vector<std::uint64_t>{1, 2}));
    BOOST_TEST(this->refused.empty());
}

BOOST_FIXTURE_TEST_CASE(refusesARequestThatWaitsTooLongAsNotRun, Fixture)
{
    this->submit(1);
    this->submit(2);
    this->nowMs += 1500;
    this->control.tick();
    BOOST_REQUIRE(this->refused.size() == 1);
    BOOST_TEST(this->refused.front().status == 503);
    BOOST_TEST(verdictName(this->refused.front().verdict) == "not-run");
    BOOST_TEST(this->refused.front().retryAfterSeconds > 0);
    this->control.release(1, 10, true);
    BOOST_TEST(this->started.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(doesNotStartACancelledRequest, Fixture)
{
    this->submit(1);
    this->submit(2);
    this->control.cancel(2);
    this->control.release(1, 10, true);
    BOOST_TEST(this->started == (std::vector<std::uint64_t>{1}));
}

BOOST_FIXTURE_TEST_CASE(refusesOnlyTheOrganisationAboveItsLimit, Fixture)
{
    this->load.capacity = 100;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        this->submit(number, "limited");
    }
    BOOST_REQUIRE(!this->refused.empty());
    BOOST_TEST(this->refused.front().status == 429);
    BOOST_TEST(verdictName(this->refused.front().verdict) == "not-run");
    const std::size_t before = this->started.size();
    this->submit(100);
    BOOST_TEST(this->started.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(doesNotCountEndedOwnRunsOfAnOldReport)
{
    RoutingTable table;
    table.addOrUpdate("ep-1", "az-1", 1, {{"small", "small-1"}});
    EndpointView &view = *table.mutableView("ep-1");
    view.capacity = 2;
    // Two runs of this entry and one of another were reported; the runs of this entry have ended since.
    view.reportedRunning = 3;
    view.ownAtReport = 2;
    view.ownRunning = 0;
    BOOST_TEST(table.loadOf("small").othersRunning == 1);
    BOOST_TEST(table.loadOf("small").ownRunning == 0);
}

BOOST_FIXTURE_TEST_CASE(startsRequestsOfAModelWithoutEndpoints, Fixture)
{
    this->load = {};
    this->submit(1);
    this->submit(2);
    BOOST_TEST(this->started.size() == 2);
}
