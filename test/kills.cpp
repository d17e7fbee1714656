#define BOOST_TEST_MODULE kills
#include "main.h"

#include "support/Load.h"

#include <csignal>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr unsigned Tokens = 60;

struct Fixture {
    Fixture() : cluster({.engineArguments = {"--token_delay_ms=20"}})
    { }

    Wire::RequestRecord record(const std::string &key)
    {
        return this->cluster.administrator().record("creek", key);
    }

    bool becomesSettled(const std::string &key)
    {
        return waitUntil(
            [&] {
                return this->record(key).state() == Wire::RECORD_STATE_SETTLED;
            },
            std::chrono::milliseconds(20000));
    }

    Cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(entryKilledInMidStreamAndResentElsewhere, Fixture)
{
    const std::uint64_t before = this->cluster.administrator().bills("creek").bills();
    HttpCallSpec spec = this->cluster.chatSpec(0, "long", "long", {{"max_tokens", Tokens}, {"stream", true}});
    bool isKilled = false;
    spec.onData = [&](const std::string &body) {
        if (!isKilled && body.find(" w5\"") != std::string::npos) {
            isKilled = true;
            this->cluster.process("entry-1").kill();
        }
        return true;
    };
    const HttpAnswer interrupted = call(spec);
    BOOST_TEST(isKilled);
    BOOST_TEST(!hasEndMark(interrupted));
    const HttpAnswer resent = this->cluster.chat(1, "long", "long", {{"max_tokens", Tokens}, {"stream", true}});
    BOOST_TEST(resent.status == 200);
    BOOST_TEST(chatText(resent) == expectedText("long", Tokens));
    BOOST_TEST(hasEndMark(resent));
    BOOST_TEST(this->cluster.runs("long") == 1U);
    BOOST_TEST(this->becomesSettled("long"));
    BOOST_TEST(this->cluster.administrator().bills("creek").bills() == before + 1);
    // A resend after the end of the answer returns the same answer.
    const HttpAnswer again = this->cluster.chat(2, "long", "long", {{"max_tokens", Tokens}, {"stream", true}});
    BOOST_TEST(chatText(again) == expectedText("long", Tokens));
    BOOST_TEST(this->cluster.runs("long") == 1U);
}

BOOST_FIXTURE_TEST_CASE(endpointKilledAndRepeatableRunsElsewhere, Fixture)
{
    const std::uint64_t before = this->cluster.administrator().bills("creek").bills();
    HttpAnswer answer;
    std::thread caller([&] {
        answer = this->cluster.chat(0, "moved", "moved", {{"max_tokens", Tokens}});
    });
    int engine = -1;
    BOOST_TEST(waitUntil([&] {
        engine = this->cluster.engineOf("moved");
        return engine >= 0;
    }));
    this->cluster.process("endpoint-" + std::to_string(engine + 1)).kill();
    caller.join();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(chatText(answer) == expectedText("moved", Tokens));
    BOOST_TEST(this->cluster.runs("moved") == 2U);
    BOOST_TEST(this->becomesSettled("moved"));
    BOOST_TEST(this->record("moved").outcome() == Wire::OUTCOME_WHOLE);
    // The lost attempt and its repetition belong to one request, which is billed once.
    BOOST_TEST(this->cluster.administrator().bills("creek").bills() - before == 1U);
}

BOOST_FIXTURE_TEST_CASE(endpointKilledAndNotRepeatableMayHaveRun, Fixture)
{
    const std::uint64_t before = this->cluster.administrator().bills("creek").bills();
    this->cluster.controlService({{"delayMs", 1500}});
    HttpAnswer answer;
    std::thread caller([&] {
        answer = this->cluster.order(0, "poles");
    });
    BOOST_TEST(waitUntil([&] {
        return this->cluster.orders("poles") == 1;
    }));
    this->cluster.process("yard").kill();
    this->cluster.restart("yard");
    caller.join();
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.header("x-verdict") == "may-have-run");
    const HttpAnswer resent = this->cluster.order(1, "poles");
    BOOST_TEST(resent.status >= 400);
    BOOST_TEST(resent.header("x-verdict") == "may-have-run");
    BOOST_TEST(this->cluster.orders("poles") == 1U);
    BOOST_TEST(this->becomesSettled("poles"));
    BOOST_TEST(this->cluster.administrator().bills("creek").bills() == before + 1);
    this->cluster.controlService({{"delayMs", 0}});
    BOOST_TEST(waitUntil([&] {
        return this->cluster.order(2, "next").status == 201;
    }));
}

BOOST_FIXTURE_TEST_CASE(unreachableServiceIsNotRun, Fixture)
{
    this->cluster.process("service").kill();
    const HttpAnswer answer = this->cluster.order(0, "closed");
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.header("x-verdict") == "not-run");
    this->cluster.restart("service");
    // The key can be reused, since the first attempt did not run.
    BOOST_TEST(waitUntil([&] {
        return this->cluster.order(1, "closed").status == 201;
    }));
    BOOST_TEST(this->cluster.orders("closed") == 1U);
}

BOOST_FIXTURE_TEST_CASE(frozenEndpointRunsNothingOldAndNothingTwice, Fixture)
{
    this->cluster.process("yard").signal(SIGSTOP);
    std::vector<HttpAnswer> answers(3);
    std::vector<std::thread> callers;
    for (unsigned entry = 0; entry < 3; ++entry) {
        callers.emplace_back([&, entry] {
            answers[entry] = this->cluster.order(entry, "frozen-" + std::to_string(entry));
        });
    }
    // Longer than an admission is valid.
    std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    this->cluster.process("yard").signal(SIGCONT);
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(waitUntil([&] {
        return this->cluster.order(0, "thawed").status == 201;
    }));
    for (unsigned entry = 0; entry < 3; ++entry) {
        const std::string id = "frozen-" + std::to_string(entry);
        const unsigned runs = this->cluster.orders(id);
        const HttpAnswer &answer = answers[entry];
        BOOST_TEST_MESSAGE(id << ": status " << answer.status << ", verdict " << answer.header("x-verdict") << ", runs " << runs);
        BOOST_TEST(answer.header("x-verdict") != "");
        BOOST_TEST(runs <= 1U);
        BOOST_TEST((answer.status == 201) == (answer.status < 400));
        BOOST_TEST((answer.header("x-verdict") != "not-run" || runs == 0));
        BOOST_TEST((answer.status != 201 || runs == 1));
    }
}

BOOST_FIXTURE_TEST_CASE(frozenEndpointRunsNothingWithdrawn, Fixture)
{
    this->cluster.process("yard").signal(SIGSTOP);
    HttpAnswer answer;
    std::thread caller([&] {
        answer = this->cluster.order(1, "late");
    });
    BOOST_TEST(waitUntil([&] {
        return this->record("late").state() == Wire::RECORD_STATE_ADMITTED;
    }));
    Wire::ConfigurationChange change;
    change.mutable_withdraw_version()->set_version("yard-1");
    change.mutable_withdraw_version()->set_reason("wrong prices");
    BOOST_TEST(this->cluster.administrator().change(change) == "");
    // Longer than an admission is valid.
    std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    this->cluster.process("yard").signal(SIGCONT);
    caller.join();
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.header("x-verdict") == "not-run");
    BOOST_TEST(this->cluster.orders("late") == 0U);
}

BOOST_FIXTURE_TEST_CASE(frozenEntryAdmitsNothingWithdrawn, Fixture)
{
    this->cluster.process("entry-1").signal(SIGSTOP);
    HttpAnswer answer;
    std::thread caller([&] {
        answer = this->cluster.chat(0, "too late", "too late");
    });
    Wire::ConfigurationChange change;
    change.mutable_withdraw_version()->set_version("small-1");
    change.mutable_withdraw_version()->set_reason("bad answers");
    std::string error = "not tried";
    BOOST_TEST(waitUntil([&] {
        error = this->cluster.administrator().change(change);
        return error.empty();
    }));
    BOOST_TEST(error == "");
    this->cluster.process("entry-1").signal(SIGCONT);
    caller.join();
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.header("x-verdict") == "not-run");
    BOOST_TEST(this->cluster.runs("too late") == 0U);
}
