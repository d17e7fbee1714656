#define BOOST_TEST_MODULE operatorcall
#include "main.h"

#include <Apricothead/Coordination>
#include <Apricothead/Protocol>
#include <Apricothead/Transport>

#include <nlohmann/json.hpp>

#include <set>
#include <vector>

using namespace Apricothead;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** An operator address whose responses the test defines; respond() is called once per request. */
struct Server {
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::function<void(std::size_t number, const std::shared_ptr<HttpReply> &)> respond;
    HttpServer http{this->loop, {.address = "127.0.0.1:0", .onRequest = [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                                     this->requests.push_back(request);
                                     this->respond(this->requests.size(), reply);
                                 }}};
    HttpClient client{this->loop};

    OperatorCallResult call(const std::string &method, const std::string &json, milliseconds totalTimeout = milliseconds(5000))
    {
        OperatorCallResult finalResult;
        OperatorCallOptions options;
        options.address = this->http.boundAddress();
        options.token = "token";
        options.method = method;
        options.json = json;
        options.totalTimeout = totalTimeout;
        options.attemptTimeout = milliseconds(300);
        options.retryDelay = milliseconds(20);
        const OperatorCall call(this->loop, this->client, options, [&](const OperatorCallResult &result) {
            finalResult = result;
            this->loop.stop();
        });
        this->loop.run();
        return finalResult;
    }

    std::set<std::string> sentCommandIds() const
    {
        std::set<std::string> ids;
        for (const HttpRequest &request : this->requests) {
            ids.insert(Json::parse(request.body).value("commandId", std::string()));
        }
        return ids;
    }
};

void sendJson(const std::shared_ptr<HttpReply> &reply, unsigned status, const std::string &body)
{
    reply->send(status, {{"content-type", "application/json"}}, body);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(lostResponseIsRetriedWithTheSameCommandId, Server)
{
    std::shared_ptr<HttpReply> pendingReply;
    this->respond = [&](std::size_t number, const std::shared_ptr<HttpReply> &reply) {
        if (number == 1) {
            // No response at all: the attempt times out.
            pendingReply = reply;
        } else if (number == 2) {
            reply->abort();
        } else if (number == 3) {
            sendJson(reply, 503, R"({"code":"unavailable","message":"no leader"})");
        } else {
            sendJson(reply, 200, R"({"revision":"8"})");
        }
    };
    const OperatorCallResult result = this->call("DrainEndpoint", R"({"endpoint":"e","expectedRevision":7})");
    BOOST_TEST(result.succeeded);
    BOOST_TEST(result.text == R"({"revision":"8"})");
    BOOST_TEST(result.attempts == 4U);
    BOOST_TEST(this->sentCommandIds().size() == 1U);
    BOOST_TEST(*this->sentCommandIds().begin() == result.commandId);
    BOOST_TEST(this->requests.front().headers.at("authorization") == "Bearer token");
}

BOOST_FIXTURE_TEST_CASE(rejectedCallIsNotRetried, Server)
{
    this->respond = [&](std::size_t, const std::shared_ptr<HttpReply> &reply) {
        sendJson(reply, 409, R"({"code":"aborted","message":"expected_revision is 7"})");
    };
    const OperatorCallResult result = this->call("DrainEndpoint", R"({"commandId":"mine","endpoint":"e","expectedRevision":7})");
    BOOST_TEST(!result.succeeded);
    BOOST_TEST(result.text == "expected_revision is 7");
    BOOST_TEST(result.attempts == 1U);
    BOOST_TEST(result.commandId == "mine");
}

BOOST_FIXTURE_TEST_CASE(callFailsAfterItsTotalTimeout, Server)
{
    this->respond = [&](std::size_t, const std::shared_ptr<HttpReply> &reply) {
        sendJson(reply, 503, R"({"code":"unavailable","message":"no leader"})");
    };
    const OperatorCallResult result = this->call("GetStatus", "", milliseconds(200));
    BOOST_TEST(!result.succeeded);
    BOOST_TEST(result.text == "no leader");
    BOOST_TEST(result.attempts > 1U);
    BOOST_TEST(result.commandId.empty());
}

BOOST_FIXTURE_TEST_CASE(invalidInputIsNotSent, Server)
{
    BOOST_TEST(this->call("NoSuchMethod", "{}").text.find("no method NoSuchMethod") != std::string::npos);
    BOOST_TEST(this->call("GetStatus", "[1]").text == "the request is not a JSON object");
    BOOST_TEST(this->requests.empty());
}
