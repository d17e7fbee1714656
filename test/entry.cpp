#define BOOST_TEST_MODULE entry
#include "entryworld.h"

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

struct World : EntryWorld {
    FakeEndpoint one{loop, replica, "ep-1", "small", "small-1"};
    FakeEndpoint two{loop, replica, "ep-2", "small", "small-1"};
    FakeEndpoint booking{loop, replica, "ep-booking", "booking", "booking-1"};

    World()
    {
        this->startEntry();
        const auto answerHello = [](FakeEndpoint &endpoint) {
            endpoint.onRun = [&endpoint](const AskedRun &asked) {
                endpoint.answerChat(asked, {"Hel", "lo"});
            };
        };
        answerHello(this->one);
        answerHello(this->two);
    }

    std::size_t asked() const
    {
        return this->one.asked.size() + this->two.asked.size();
    }

    /** Both model endpoints do as told. */
    void onRun(const std::function<void(FakeEndpoint &, const AskedRun &)> &act)
    {
        for (FakeEndpoint *endpoint : {&this->one, &this->two}) {
            endpoint->onRun = [endpoint, act](const AskedRun &asked) {
                act(*endpoint, asked);
            };
        }
    }

    FakeEndpoint &endpointOf(const Wire::RequestRecord &record)
    {
        return record.endpoint() == "ep-1" ? this->one : this->two;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(answersAChatWhole, World)
{
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.json()["choices"][0]["message"]["content"] == "Hello");
    BOOST_TEST(answer.json()["object"] == "chat.completion");
    BOOST_TEST(answer.headers.at("x-request-id") == "k1");
    BOOST_TEST(answer.headers.at("x-version") == "small-1");
    BOOST_TEST(answer.verdict() == "ran");
    BOOST_TEST(this->wait([this] {
        return this->replica.bills("mulgrave") == 1;
    }));
    BOOST_TEST(this->replica.record("mulgrave", "k1").outcome() == Wire::OUTCOME_WHOLE);
}

BOOST_FIXTURE_TEST_CASE(streamsAChat, World)
{
    const Answer &answer = this->chat(true);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.result.whole);
    BOOST_TEST(answer.headers.at("content-type") == "text/event-stream");
    BOOST_TEST(answer.body == "data: " + FakeEndpoint::chatEvent("Hel") + "\n\ndata: " + FakeEndpoint::chatEvent("lo") + "\n\ndata: [DONE]\n\n");
    BOOST_TEST(answer.verdict() == "ran");
}

BOOST_FIXTURE_TEST_CASE(keepsTheStreamAliveWhileTheEngineThinks, World)
{
    std::vector<AskedRun> thinking;
    this->onRun([&](FakeEndpoint &, const AskedRun &asked) {
        thinking.push_back(asked);
    });
    const Answer &answer = this->chat(true);
    BOOST_REQUIRE(this->wait([&] {
        return answer.body.find(": keep-alive\n\n: keep-alive\n\n") == 0;
    }));
    BOOST_TEST(answer.verdict() == "may-have-run");
    this->one.answerChat(thinking[0], {"done"});
    this->two.answerChat(thinking[0], {"done"});
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.result.whole);
    BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
}

BOOST_FIXTURE_TEST_CASE(refusesWhatIsWrongAndNamesTheField, World)
{
    struct Case {
        HttpCallOptions call;
        unsigned status;
        std::string param;
    };
    const std::string chat = "/v1/chat/completions";
    const std::string good = R"({"model":"small","messages":[{"role":"user","content":"x"}]})";
    const std::vector<Case> cases{
        {{.method = "POST", .url = chat, .body = "{"}, 400, "body"},
        {{.method = "POST", .url = chat, .body = "[]"}, 400, "body"},
        {{.method = "POST", .url = chat, .body = R"({"messages":[]})"}, 400, "model"},
        {{.method = "POST", .url = chat, .body = R"({"model":"small","messages":[{"content":"x"}]})"}, 400, "messages[0].role"},
        {{.method = "POST", .url = chat, .body = R"({"model":"small","messages":[{"role":"user"}],"stream":1})"}, 400, "stream"},
        {{.method = "POST", .url = chat, .body = R"({"model":"small","messages":[{"role":"user"}],"max_tokens":-1})"}, 400, "max_tokens"},
        {{.method = "POST", .url = chat, .body = R"({"model":"none","messages":[{"role":"user"}]})"}, 404, "model"},
        {{.method = "POST", .url = chat, .body = R"({"model":"booking","messages":[{"role":"user"}]})"}, 404, "model"},
        {{.method = "POST", .url = chat, .headers = {{"idempotency-key", "a b"}}, .body = good}, 400, "idempotency-key"},
        {{.method = "POST", .url = chat, .headers = {{"x-not-repeatable", "yes"}}, .body = good}, 400, "x-not-repeatable"},
        {{.method = "POST", .url = chat, .headers = {{"authorization", "Bearer wrong"}}, .body = good}, 401, "authorization"},
        {{.method = "POST",
          .url = chat,
          .headers = {{"authorization", std::string("Bearer ") + VrtulaKey}},
          .body = R"({"model":"large","messages":[{"role":"user"}]})"},
         404,
         "model"},
        {{.method = "GET", .url = chat}, 405, "method"},
        {{.method = "POST", .url = "/services/none/x"}, 404, "path"},
        {{.method = "GET", .url = "/elsewhere"}, 404, "path"},
        {{.method = "POST", .url = chat, .body = std::string(100001, ' ')}, 413, "body"},
        {{.method = "GET", .url = "/v1/models", .headers = {{"x-long", std::string(40000, 'x')}}}, 431, "headers"},
    };
    for (const Case &wrong : cases) {
        const Answer &answer = this->call(wrong.call);
        BOOST_REQUIRE(this->waitFor(answer));
        BOOST_TEST_CONTEXT(wrong.call.url << " " << wrong.call.body.substr(0, 80))
        {
            BOOST_TEST(answer.status == wrong.status);
            BOOST_TEST(answer.json()["error"]["param"] == wrong.param);
            BOOST_TEST(answer.json()["error"]["verdict"] == "not-run");
            BOOST_TEST(answer.verdict() == "not-run");
            BOOST_TEST(!answer.headers.at("x-request-id").empty());
        }
    }
    BOOST_TEST(this->replica.commands.empty());
}

BOOST_FIXTURE_TEST_CASE(listsOnlyAllowedModels, World)
{
    const Answer &all = this->call({.url = "/v1/models"});
    const Answer &fewer = this->call({.url = "/v1/models", .headers = {{"authorization", std::string("Bearer ") + VrtulaKey}}});
    const Answer &head = this->call({.method = "HEAD", .url = "/v1/models"});
    const Answer &forbidden = this->call({.url = "/v1/models/large", .headers = {{"authorization", std::string("Bearer ") + VrtulaKey}}});
    BOOST_REQUIRE(this->waitFor(all) && this->waitFor(fewer) && this->waitFor(head) && this->waitFor(forbidden));
    const auto ids = [](const Answer &answer) {
        std::string joined;
        const nlohmann::json list = answer.json();
        for (const auto &model : list["data"]) {
            joined += model["id"].get<std::string>() + " ";
        }
        return joined;
    };
    BOOST_TEST(ids(all) == "small large thrifty ");
    BOOST_TEST(ids(fewer) == "small ");
    BOOST_TEST(head.status == 200);
    BOOST_TEST(head.body.empty());
    BOOST_TEST(forbidden.status == 404);
}

BOOST_FIXTURE_TEST_CASE(passesAServiceCallOn, World)
{
    this->booking.onRun = [this](const AskedRun &asked) {
        BOOST_TEST(asked.run.payload().path() == "/slots?day=1");
        BOOST_TEST(asked.run.payload().method() == "POST");
        BOOST_TEST(asked.run.payload().body() == "slot 7");
        BOOST_TEST(!asked.run.admission().repeatable());
        this->booking.start(asked, 201, "text/plain");
        this->booking.chunk(asked, 0, "booked");
        this->booking.done(asked, 1, Wire::OUTCOME_WHOLE, 201);
    };
    const Answer &answer = this->book();
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 201);
    BOOST_TEST(answer.body == "booked");
    BOOST_TEST(answer.headers.at("content-type") == "text/plain");
    BOOST_TEST(answer.verdict() == "ran");
}

BOOST_FIXTURE_TEST_CASE(runsElsewhereAfterARefusalWithProof, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        if (asked.run.admission().attempt() == 1) {
            endpoint.refuse(asked, Wire::REFUSAL_REASON_LEAVING);
            return;
        }
        endpoint.answerChat(asked, {"second"});
    });
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}, {"x-not-repeatable", "true"}});
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(this->one.asked.size() == 1);
    BOOST_TEST(this->two.asked.size() == 1);
    BOOST_TEST(this->replica.record("mulgrave", "k1").attempt() == 2);
}

BOOST_FIXTURE_TEST_CASE(runsARepeatableRequestElsewhereWhenTheEndpointDies, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        if (asked.run.admission().attempt() == 1) {
            endpoint.start(asked);
            return;
        }
        endpoint.answerChat(asked, {"elsewhere"});
    });
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->wait([this] {
        return this->asked() == 1;
    }));
    this->endpointOf(this->replica.record("mulgrave", "k1")).restart();
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.json()["choices"][0]["message"]["content"] == "elsewhere");
    BOOST_TEST(this->wait([this] {
        return this->replica.bills("mulgrave") == 1;
    }));
}

BOOST_FIXTURE_TEST_CASE(runsANotRepeatableRequestNowhereElseWhenTheEndpointDies, World)
{
    this->onRun([](FakeEndpoint &, const AskedRun &) {});
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}, {"x-not-repeatable", "true"}});
    BOOST_REQUIRE(this->wait([this] {
        return this->asked() == 1;
    }));
    this->endpointOf(this->replica.record("mulgrave", "k1")).restart();
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(this->asked() == 1);
}

BOOST_FIXTURE_TEST_CASE(breaksAStreamThatIsCut, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked);
        endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("half"));
        endpoint.done(asked, 1, Wire::OUTCOME_CUT);
    });
    const Answer &answer = this->chat(true);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(!answer.result.whole);
    BOOST_TEST(answer.body.find("event: error\ndata: {") != std::string::npos);
    BOOST_TEST(answer.body.find("[DONE]") == std::string::npos);
    BOOST_TEST(this->wait([this] {
        return this->replica.bills("mulgrave") == 1;
    }));
}

BOOST_FIXTURE_TEST_CASE(attachesAgainAfterALostLinkWithoutASecondRun, World)
{
    std::vector<AskedRun> asks;
    FakeEndpoint *serving = nullptr;
    this->onRun([&](FakeEndpoint &endpoint, const AskedRun &asked) {
        serving = &endpoint;
        asks.push_back(asked);
        if (asks.size() == 1) {
            endpoint.start(asked);
            endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("one "));
        }
    });
    const Answer &answer = this->chat(true);
    BOOST_REQUIRE(this->wait([&] {
        return answer.body.find("one ") != std::string::npos;
    }));
    serving->kill();
    serving->open(serving->status.address());
    BOOST_REQUIRE(this->wait([&] {
        return asks.size() == 2;
    }));
    BOOST_TEST(asks[1].run.from_chunk() == 1);
    BOOST_TEST(asks[1].run.admission().attempt() == 1);
    serving->chunk(asks[1], 1, FakeEndpoint::chatEvent("two"));
    serving->done(asks[1], 2);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.result.whole);
    BOOST_TEST(this->replica.record("mulgrave", answer.headers.at("x-request-id")).attempt() == 1);
}

BOOST_FIXTURE_TEST_CASE(passesOverRepeatedChunks, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked);
        endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("a"));
        endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("a"));
        endpoint.chunk(asked, 1, FakeEndpoint::chatEvent("b"));
        endpoint.done(asked, 2);
    });
    const Answer &answer = this->chat(false);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.json()["choices"][0]["message"]["content"] == "ab");
}

BOOST_FIXTURE_TEST_CASE(asksAgainForAMissingChunk, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked);
        if (asked.run.from_chunk() == 0 && endpoint.asked.size() == 1) {
            endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("a"));
            endpoint.done(asked, 2);
            return;
        }
        endpoint.chunk(asked, 1, FakeEndpoint::chatEvent("b"));
        endpoint.done(asked, 2);
    });
    const Answer &answer = this->chat(false);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.json()["choices"][0]["message"]["content"] == "ab");
}

BOOST_FIXTURE_TEST_CASE(refusesNotRunWithoutAQuorum, World)
{
    this->replica.losesProposal = [](const Wire::Command &) {
        return true;
    };
    const Answer &answer = this->chat(false);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.errorCode() == "no-quorum");
    BOOST_TEST(answer.verdict() == "not-run");
    BOOST_TEST(!answer.headers.at("retry-after").empty());
    BOOST_TEST(this->asked() == 0);
}

BOOST_FIXTURE_TEST_CASE(voidsAnAdmissionWhoseOutcomeIsUnknown, World)
{
    this->replica.losesAnswer = [](const Wire::Command &command) {
        return command.has_admit();
    };
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.verdict() == "not-run");
    FakeEndpoint &endpoint = this->endpointOf(this->replica.record("mulgrave", "k1"));
    BOOST_REQUIRE(this->wait([&] {
        return endpoint.voids.size() == 1;
    }));
    BOOST_TEST(this->asked() == 0);
}

BOOST_FIXTURE_TEST_CASE(replaysTheAnswerOfAKnownKey, World)
{
    const Answer &first = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(first));
    BOOST_REQUIRE(this->wait([this] {
        return this->replica.bills("mulgrave") == 1;
    }));
    const Answer &second = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(second));
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == first.body);
    FakeEndpoint &endpoint = this->endpointOf(this->replica.record("mulgrave", "k1"));
    BOOST_REQUIRE(endpoint.asked.size() == 2);
    BOOST_TEST(!endpoint.asked[0].run.attach_only());
    BOOST_TEST(endpoint.asked[1].run.attach_only());
    this->onRun([](FakeEndpoint &again, const AskedRun &asked) {
        again.refuse(asked, Wire::REFUSAL_REASON_ANSWER_GONE, Wire::VERDICT_RAN);
    });
    const Answer &third = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(third));
    BOOST_TEST(third.status == 409);
    BOOST_TEST(third.verdict() == "ran");
    BOOST_TEST(this->replica.bills("mulgrave") == 1);
}

BOOST_FIXTURE_TEST_CASE(doesNotSayNotRunAfterAnAbandonedAttemptThatFollowedALostOne, World)
{
    BOOST_REQUIRE(this->waitFor(this->chat(false, {{"idempotency-key", "k0"}})));
    const auto admitted = std::find_if(this->replica.commands.begin(), this->replica.commands.end(), [](const Wire::Command &command) {
        return command.has_admit();
    });
    BOOST_REQUIRE(admitted != this->replica.commands.end());
    // Attempt 1 of k1 was lost with its entry, attempt 2 is proved not to have run.
    Wire::Command command = *admitted;
    command.mutable_admit()->mutable_key()->set_key("k1");
    command.mutable_admit()->set_entry("former-entry");
    BOOST_REQUIRE(this->replica.apply(command).has_admitted());
    command.mutable_admit()->set_attempt(2);
    BOOST_REQUIRE(this->replica.apply(command).has_admitted());
    Wire::Command abandon;
    *abandon.mutable_abandon()->mutable_key() = command.admit().key();
    abandon.mutable_abandon()->set_attempt(2);
    abandon.mutable_abandon()->set_proof(Wire::NOT_RUN_PROOF_REFUSED);
    abandon.mutable_abandon()->set_endpoint(command.admit().endpoint());
    abandon.mutable_abandon()->set_incarnation(command.admit().incarnation());
    BOOST_REQUIRE(this->replica.apply(abandon).known().may_have_run());
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.refuse(asked, Wire::REFUSAL_REASON_FULL, Wire::VERDICT_NOT_RUN);
    });
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status >= 500);
    BOOST_TEST(answer.verdict() == "may-have-run");
}

BOOST_FIXTURE_TEST_CASE(refusesAKeyThatIsUsedForAnotherRequest, World)
{
    const Answer &first = this->chat(false, {{"idempotency-key", "k1"}});
    BOOST_REQUIRE(this->waitFor(first));
    const std::string other = R"({"model":"small","messages":[{"role":"user","content":"other"}]})";
    const Answer &second = this->call({.method = "POST", .url = "/v1/chat/completions", .headers = {{"idempotency-key", "k1"}}, .body = other});
    BOOST_REQUIRE(this->waitFor(second));
    BOOST_TEST(second.status == 422);
    BOOST_TEST(second.json()["error"]["param"] == "idempotency-key");
    BOOST_TEST(second.verdict() == "not-run");
}

BOOST_FIXTURE_TEST_CASE(keepsASessionOnItsVersion, World)
{
    FakeEndpoint newer(this->loop, this->replica, "ep-3", "small", "small-2");
    newer.onRun = [&](const AskedRun &asked) {
        newer.answerChat(asked, {"newer"});
    };
    const Answer &first = this->chat(false, {{"x-session-id", "s1"}});
    BOOST_REQUIRE(this->waitFor(first));
    BOOST_TEST(first.headers.at("x-version") == "small-1");
    Wire::ConfigurationChange change;
    change.mutable_put_model()->set_id("small");
    change.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
    change.mutable_put_model()->set_stable_version("small-2");
    this->replica.change(change);
    BOOST_REQUIRE(this->wait([this] {
        return this->entry->replicas().configuration().revision() == this->replica.machine.configuration().revision();
    }));
    // Another entry knows nothing of the session: the admission tells it.
    this->entry.reset();
    this->startEntry();
    const Answer &second = this->chat(false, {{"x-session-id", "s1"}});
    const Answer &sessionless = this->chat(false);
    BOOST_REQUIRE(this->waitFor(second) && this->waitFor(sessionless));
    BOOST_TEST(second.headers.at("x-version") == "small-1");
    BOOST_TEST(sessionless.headers.at("x-version") == "small-2");
    Wire::ConfigurationChange withdrawal;
    withdrawal.mutable_withdraw_version()->set_version("small-1");
    this->replica.change(withdrawal);
    const Answer &third = this->chat(false, {{"x-session-id", "s1"}});
    BOOST_REQUIRE(this->waitFor(third));
    BOOST_TEST(third.status == 409);
    BOOST_TEST(third.errorCode() == "session-version-withdrawn");
    BOOST_TEST(third.verdict() == "not-run");
}

BOOST_FIXTURE_TEST_CASE(admitsNothingOnAVersionWithdrawnBehindItsBack, World)
{
    this->replica.hidesConfiguration = true;
    Wire::ConfigurationChange withdrawal;
    withdrawal.mutable_withdraw_version()->set_version("small-1");
    this->replica.change(withdrawal);
    const Answer &answer = this->chat(false);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.verdict() == "not-run");
    BOOST_TEST(this->asked() == 0);
}

BOOST_FIXTURE_TEST_CASE(cancelsARunThatNobodyCanComeBackFor, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked);
        endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("half"));
    });
    for (const bool hasIdempotencyKey : {false, true}) {
        Answer &answer = this->chat(true, hasIdempotencyKey ? HttpHeaders{{"idempotency-key", "k1"}} : HttpHeaders{});
        BOOST_REQUIRE(this->wait([&] {
            return !answer.body.empty();
        }));
        const std::string id = answer.headers.at("x-request-id");
        answer.call.reset();
        FakeEndpoint &endpoint = this->endpointOf(this->replica.record("mulgrave", id));
        BOOST_REQUIRE(this->wait([this] {
            return this->entry->openRequests() == 0;
        }));
        endpoint.done(endpoint.asked.back(), 1, hasIdempotencyKey ? Wire::OUTCOME_WHOLE : Wire::OUTCOME_CANCELLED);
        BOOST_REQUIRE(this->wait([&] {
            return this->replica.record("mulgrave", id).state() == Wire::RECORD_STATE_SETTLED;
        }));
    }
    BOOST_TEST(this->one.cancels.size() + this->two.cancels.size() == 1);
    BOOST_TEST(this->replica.bills("mulgrave") == 2);
}

BOOST_FIXTURE_TEST_CASE(passesAnEnginesRefusalOn, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked, 400, "application/json");
        endpoint.chunk(asked, 0, R"({"error":{"message":"temperature is too high"}})");
        endpoint.done(asked, 1, Wire::OUTCOME_FAILED, 400);
    });
    for (const bool isStream : {false, true}) {
        const Answer &answer = this->chat(isStream);
        BOOST_REQUIRE(this->waitFor(answer));
        BOOST_TEST(answer.status == 400);
        BOOST_TEST(answer.json()["error"]["message"] == "temperature is too high");
    }
}

BOOST_FIXTURE_TEST_CASE(stopsGracefully, World)
{
    std::vector<AskedRun> asks;
    FakeEndpoint *serving = nullptr;
    this->onRun([&](FakeEndpoint &endpoint, const AskedRun &asked) {
        serving = &endpoint;
        asks.push_back(asked);
        endpoint.start(asked);
        endpoint.chunk(asked, 0, FakeEndpoint::chatEvent("a"));
    });
    const Answer &answer = this->chat(true);
    BOOST_REQUIRE(this->wait([&] {
        return !answer.body.empty();
    }));
    bool isStopped = false;
    this->entry->stop([&] {
        isStopped = true;
    });
    const Answer &late = this->chat(false);
    BOOST_REQUIRE(this->waitFor(late));
    BOOST_TEST(late.result.neverSent);
    BOOST_TEST(!isStopped);
    serving->chunk(asks[0], 1, FakeEndpoint::chatEvent("b"));
    serving->done(asks[0], 2);
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.result.whole);
    BOOST_REQUIRE(this->wait([&] {
        return isStopped;
    }));
    BOOST_TEST(this->replica.bills("mulgrave") == 1);
}

BOOST_FIXTURE_TEST_CASE(cutsAtTheShutdownBoundAndSaysSo, World)
{
    this->onRun([](FakeEndpoint &endpoint, const AskedRun &asked) {
        endpoint.start(asked);
    });
    const Answer &answer = this->chat(false);
    BOOST_REQUIRE(this->wait([this] {
        return this->asked() == 1;
    }));
    bool isStopped = false;
    this->entry->stop([&] {
        isStopped = true;
    });
    BOOST_REQUIRE(this->wait([&] {
        return isStopped;
    }));
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.verdict() == "may-have-run");
}

BOOST_FIXTURE_TEST_CASE(walksACascadeByItsRatings, World)
{
    FakeEndpoint large(this->loop, this->replica, "ep-large", "large", "large-1");
    large.onRun = [&](const AskedRun &asked) {
        large.answerChat(asked, {"dear"});
    };
    double rating = 0.9;
    HttpServer ratings(this->loop, HttpServerOptions{.address = "127.0.0.1:0", .onRequest = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
                                                         reply->send(200, {}, nlohmann::json{{"rating", rating}}.dump());
                                                     }});
    this->entry.reset();
    this->settings.entry->ratingUrl = "http://" + ratings.boundAddress() + "/rate";
    this->startEntry();
    BOOST_REQUIRE(this->wait([this] {
        return this->entry->replicas().endpoints().size() == 4;
    }));
    const Answer &good = this->chat(false, {{"idempotency-key", "k1"}}, "thrifty");
    BOOST_REQUIRE(this->waitFor(good));
    BOOST_TEST(good.headers.at("x-version") == "small-1");
    rating = 0.1;
    const Answer &low = this->chat(true, {{"idempotency-key", "k2"}}, "thrifty");
    BOOST_REQUIRE(this->waitFor(low));
    BOOST_TEST(low.headers.at("x-version") == "large-1");
    BOOST_TEST(low.body.find("Hel") == std::string::npos);
    BOOST_TEST(low.result.whole);
    BOOST_TEST(this->replica.record("mulgrave", "k2", 0).version() == "small-1");
    BOOST_TEST(this->replica.record("mulgrave", "k2", 1).version() == "large-1");
}

BOOST_FIXTURE_TEST_CASE(runsANotRepeatableRequestAtOneModelOfACascadeOnly, World)
{
    FakeEndpoint large(this->loop, this->replica, "ep-large", "large", "large-1");
    large.onRun = [&](const AskedRun &asked) {
        large.start(asked, 500);
        large.done(asked, 0, Wire::OUTCOME_FAILED, 500);
    };
    const Answer &answer = this->chat(false, {{"idempotency-key", "k1"}, {"x-not-repeatable", "true"}}, "thrifty");
    BOOST_REQUIRE(this->waitFor(answer));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(large.asked.size() + this->asked() == 1);
}
