#include "Administrator.h"

#include "Wait.h"

#include <Apricothead/Protocol>

namespace Apricothead::Test {
namespace {

constexpr std::chrono::milliseconds CallBound{10000};

} // namespace

Administrator::Administrator(std::vector<std::string> replicas) : seeds(std::move(replicas))
{ }

Administrator::~Administrator() = default;

ReplicaClientOptions Administrator::options() const
{
    ReplicaClientOptions options;
    options.process = "administrator";
    options.incarnation = 1;
    options.seeds = this->seeds;
    return options;
}

bool Administrator::addReplica(const std::string &address)
{
    EventLoop loop;
    ReplicaClient client(loop, this->options());
    Wire::ChangeMembers change;
    change.set_add_address(address);
    bool isOver = false;
    bool isDone = false;
    client.changeMembers(change, CallBound, [&](const Wire::ChangeMembersReply &reply) {
        isOver = true;
        isDone = reply.done();
    });
    runUntil(
        loop,
        [&] {
            return isOver;
        },
        CallBound * 2);
    return isDone;
}

std::string Administrator::change(const Wire::ConfigurationChange &change)
{
    const Wire::Configuration configuration = [&] {
        Wire::Query query;
        query.set_configuration(true);
        return this->query(query).configuration();
    }();
    EventLoop loop;
    ReplicaClient client(loop, this->options());
    Wire::Command command;
    *command.mutable_change() = change;
    command.set_command_id(randomHex(8));
    command.set_actor("test");
    command.set_expected_revision(configuration.revision());
    bool isOver = false;
    std::string error;
    client.propose(command, CallBound, [&](const ProposeOutcome &outcome) {
        isOver = true;
        error = outcome.status == Wire::PROPOSE_STATUS_APPLIED ? outcome.result.error().message() : "not applied";
    });
    runUntil(
        loop,
        [&] {
            return isOver;
        },
        CallBound * 2);
    return isOver ? error : "no answer";
}

Wire::ClusterStatus Administrator::status()
{
    Wire::Query query;
    query.mutable_status();
    return this->query(query).status();
}

Wire::LedgerDay Administrator::bills(const std::string &organisation)
{
    Wire::Query query;
    query.mutable_ledger()->set_organisation(organisation);
    Wire::LedgerDay sum;
    const Wire::QueryReply reply = this->query(query);
    for (const Wire::LedgerDay &day : reply.ledger()) {
        sum.set_bills(sum.bills() + day.bills());
        sum.set_cost_micros(sum.cost_micros() + day.cost_micros());
        sum.mutable_usage()->set_calls(sum.usage().calls() + day.usage().calls());
        sum.mutable_usage()->set_input_tokens(sum.usage().input_tokens() + day.usage().input_tokens());
        sum.mutable_usage()->set_output_tokens(sum.usage().output_tokens() + day.usage().output_tokens());
    }
    return sum;
}

Wire::RequestRecord Administrator::record(const std::string &organisation, const std::string &key)
{
    Wire::Query query;
    query.mutable_record()->mutable_key()->set_organisation(organisation);
    query.mutable_record()->mutable_key()->set_key(key);
    return this->query(query).record();
}

Wire::QueryReply Administrator::query(const Wire::Query &query)
{
    EventLoop loop;
    ReplicaClient client(loop, this->options());
    Wire::QueryReply answer;
    bool isOver = false;
    client.query(query, CallBound, [&](const Wire::QueryReply &reply) {
        answer = reply;
        isOver = true;
    });
    runUntil(
        loop,
        [&] {
            return isOver;
        },
        CallBound * 2);
    return answer;
}

} // namespace Apricothead::Test
