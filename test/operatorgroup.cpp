#define BOOST_TEST_MODULE operatorgroup
#include "main.h"

#include "../bench/replicagroup.h"

#include <Apricothead/Coordination>
#include <Apricothead/Protocol>
#include <Apricothead/Transport>

#include <nlohmann/json.hpp>

#include <future>

using namespace Apricothead;
using namespace Apricothead::Test;
using Json = nlohmann::json;
using std::chrono::seconds;

namespace {

/** An entry's operator service with a real replica group, and an HTTP client for it. */
class OperatorEntry
{
public:
    OperatorEntry(std::vector<std::string> seeds, const std::string &process)
    {
        this->thread.call([this, &seeds, &process] {
            this->replicas = std::make_unique<ReplicaClient>(this->thread.loop,
                                                             ReplicaClientOptions{
                                                                 .process = process,
                                                                 .incarnation = 1,
                                                                 .seeds = std::move(seeds),
                                                                 .makeHeartbeat =
                                                                     [process] {
                                                                         Wire::Heartbeat heartbeat;
                                                                         heartbeat.set_process(process);
                                                                         return heartbeat;
                                                                     },
                                                             });
            EntrySettings settings;
            settings.operatorAddress = "127.0.0.1:0";
            settings.operatorTokens = {{.name = "anna", .sha256 = sha256Hex("token"), .readOnly = false}};
            this->service = OperatorService::start(this->thread.loop, settings, operatorBackend(*this->replicas));
            this->http = std::make_unique<HttpClient>(this->thread.loop);
            return true;
        });
    }

    ~OperatorEntry()
    {
        this->thread.call([this] {
            this->currentCall.reset();
            this->http.reset();
            this->service.reset();
            this->replicas.reset();
            return true;
        });
    }

    OperatorEntry(const OperatorEntry &) = delete;
    OperatorEntry &operator=(const OperatorEntry &) = delete;

    OperatorCallResult call(const std::string &method, const Json &request)
    {
        auto promise = std::make_shared<std::promise<OperatorCallResult>>();
        auto future = promise->get_future();
        this->thread.call([&] {
            OperatorCallOptions options;
            options.address = this->service->address();
            options.token = "token";
            options.method = method;
            options.json = request.dump();
            this->currentCall = std::make_unique<OperatorCall>(this->thread.loop, *this->http, options, [promise](const OperatorCallResult &result) {
                promise->set_value(result);
            });
            return true;
        });
        if (future.wait_for(seconds(40)) != std::future_status::ready) {
            return {.succeeded = false, .text = "no end"};
        }
        return future.get();
    }

    std::uint64_t revision()
    {
        const OperatorCallResult result = this->call("GetRevision", Json::object());
        return result.succeeded ? std::stoull(Json::parse(result.text).at("revision").get<std::string>()) : 0;
    }

    bool becomesRedundant()
    {
        return waitFor([this] {
            const OperatorCallResult result = this->call("GetStatus", Json::object());
            return result.succeeded && Json::parse(result.text).at("status").at("redundant") == true;
        });
    }

private:
    LoopThread thread;
    std::unique_ptr<ReplicaClient> replicas;
    std::unique_ptr<OperatorService> service;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<OperatorCall> currentCall;
};

Json putModel(const std::string &id, std::uint64_t revision, const std::string &commandId)
{
    return {{"commandId", commandId}, {"expectedRevision", revision}, {"model", {{"id", id}, {"kind", "MODEL_KIND_CHAT"}}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(resultsSurviveLeaderLossAndARestartOfAllReplicas)
{
    ReplicaGroup group(3);
    BOOST_REQUIRE(group.startAll());
    OperatorEntry left(group.seeds, "entry-0");
    OperatorEntry right(group.seeds, "entry-1");
    BOOST_REQUIRE(left.becomesRedundant());
    BOOST_TEST(left.call("PutModel", putModel("small", 0, "m")).succeeded);
    BOOST_TEST(left.call("PutOrganisation", {{"commandId", "o"}, {"expectedRevision", 1}, {"id", "mulgrave"}}).succeeded);
    const Json create = {{"commandId", "k"}, {"expectedRevision", 2}, {"organisation", "mulgrave"}};
    const OperatorCallResult created = left.call("CreateKey", create);
    BOOST_TEST(created.succeeded, created.text);

    group.kill(group.leader());
    const OperatorCallResult again = right.call("CreateKey", create);
    BOOST_TEST(again.text == created.text);
    BOOST_TEST(right.call("DrainEndpoint", {{"commandId", "d"}, {"expectedRevision", 3}, {"endpoint", "endpoint-0"}}).succeeded);
    for (std::size_t number = 0; number < 3; ++number) {
        group.kill(number);
    }
    for (std::size_t number = 0; number < 3; ++number) {
        BOOST_REQUIRE(group.start(number));
    }
    BOOST_TEST(left.call("CreateKey", create).text == created.text);
    BOOST_TEST(left.revision() == 4U);
}

BOOST_AUTO_TEST_CASE(oneOfTwoConcurrentChangesAtTwoEntriesSucceeds)
{
    ReplicaGroup group(3);
    BOOST_REQUIRE(group.startAll());
    OperatorEntry left(group.seeds, "entry-0");
    OperatorEntry right(group.seeds, "entry-1");
    BOOST_REQUIRE(left.becomesRedundant());
    for (std::uint64_t revision = 0; revision < 10; ++revision) {
        const std::string name = std::to_string(revision);
        auto other = std::async(std::launch::async, [&] {
            return right.call("PutModel", putModel("right-" + name, revision, "right-" + name));
        });
        const OperatorCallResult ownResult = left.call("PutModel", putModel("left-" + name, revision, "left-" + name));
        const OperatorCallResult otherResult = other.get();
        BOOST_TEST(ownResult.succeeded != otherResult.succeeded);
        const std::string &lost = ownResult.succeeded ? otherResult.text : ownResult.text;
        BOOST_TEST(lost.find("the current revision is " + std::to_string(revision + 1)) != std::string::npos, lost);
    }
}

BOOST_AUTO_TEST_CASE(revisionIsAppliedByEveryProcess)
{
    ReplicaGroup group(3);
    BOOST_REQUIRE(group.startAll());
    OperatorEntry left(group.seeds, "entry-0");
    OperatorEntry right(group.seeds, "entry-1");
    BOOST_REQUIRE(left.becomesRedundant());
    BOOST_TEST(left.call("PutModel", putModel("small", 0, "m")).succeeded);
    Json revision;
    BOOST_TEST(waitFor([&] {
        revision = Json::parse(right.call("GetRevision", Json::object()).text);
        return revision.at("revision") == "1" && revision.at("inForceEverywhere") == true && revision.at("inForceOn").size() >= 2;
    }));
    BOOST_TEST_MESSAGE(revision.dump());
    BOOST_TEST(std::stoull(revision.at("inForceAfterMs").get<std::string>()) < 11000U);
    const std::string report = Json::parse(left.call("GetReport", Json::object()).text).at("text");
    BOOST_TEST_MESSAGE(report);
    BOOST_TEST(report.find("model small has no stable version") != std::string::npos);
    BOOST_TEST(report.find("put_model small by anna") != std::string::npos);
}
