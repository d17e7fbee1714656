#define BOOST_TEST_MODULE statemachine
#include "statefixture.h"

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr std::int64_t DayMs = 24LL * 3600 * 1000;

struct StateMachineFixture {
    StateMachine machine{StateMachineOptions{}};
    std::uint64_t index = applyChanges(this->machine, initialChanges());
    std::int64_t timeMs = 2000;

    Wire::CommandResult apply(Wire::Command command)
    {
        command.set_time_ms(this->timeMs);
        return this->machine.apply(command, ++this->index);
    }

    Wire::CommandResult change(const Wire::ConfigurationChange &change)
    {
        Wire::Command command;
        command.set_command_id("command-" + std::to_string(this->index));
        command.set_expected_revision(this->machine.configuration().revision());
        *command.mutable_change() = change;
        return this->apply(command);
    }

    Wire::CommandResult admit(const Wire::Admit &admit)
    {
        Wire::Command command;
        *command.mutable_admit() = admit;
        return this->apply(command);
    }

    Wire::CommandResult settle(const std::string &key, std::uint32_t attempt, Wire::Outcome outcome, std::uint64_t tokens)
    {
        Wire::Command command;
        Wire::Settle *settle = command.mutable_settle();
        settle->mutable_key()->set_organisation("mulgrave");
        settle->mutable_key()->set_key(key);
        settle->set_attempt(attempt);
        settle->set_outcome(outcome);
        settle->mutable_usage()->set_input_tokens(tokens);
        return this->apply(command);
    }

    Wire::CommandResult abandon(const std::string &key, std::uint32_t attempt)
    {
        Wire::Command command;
        Wire::Abandon *abandon = command.mutable_abandon();
        abandon->mutable_key()->set_organisation("mulgrave");
        abandon->mutable_key()->set_key(key);
        abandon->set_attempt(attempt);
        abandon->set_proof(Wire::NOT_RUN_PROOF_TOMBSTONE);
        abandon->set_endpoint("endpoint-0");
        abandon->set_incarnation(5);
        return this->apply(command);
    }

    Wire::CommandResult withdraw(const std::string &version, const std::string &replacement = {})
    {
        Wire::ConfigurationChange change;
        change.mutable_withdraw_version()->set_version(version);
        change.mutable_withdraw_version()->set_reason("empty answers");
        change.mutable_withdraw_version()->set_replacement(replacement);
        return this->change(change);
    }

    Wire::CommandResult startRollout(const std::string &version)
    {
        Wire::ConfigurationChange change;
        change.mutable_start_rollout()->set_model("small");
        change.mutable_start_rollout()->set_to_version(version);
        change.mutable_start_rollout()->set_share_permille(10);
        return this->change(change);
    }
};

Wire::Admit exampleAdmit(const std::string &key)
{
    Wire::Admit admit;
    admit.mutable_key()->set_organisation("mulgrave");
    admit.mutable_key()->set_key(key);
    admit.set_attempt(1);
    admit.set_model("small");
    admit.set_version("small-1");
    admit.set_endpoint("endpoint-0");
    admit.set_incarnation(5);
    admit.set_entry("entry-0");
    return admit;
}

Wire::ErrorCode codeOf(const Wire::CommandResult &result)
{
    return result.error().code();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(resentProposalIsAdmittedOnce, StateMachineFixture)
{
    const Wire::CommandResult first = this->admit(exampleAdmit("a"));
    BOOST_TEST(first.has_admitted());
    const Wire::CommandResult again = this->admit(exampleAdmit("a"));
    BOOST_TEST(again.admitted().admitted_index() == first.index());
    Wire::Admit other = exampleAdmit("a");
    other.set_entry("entry-1");
    BOOST_TEST(this->admit(other).known().entry() == "entry-0");
}

BOOST_FIXTURE_TEST_CASE(resentProposalAfterWithdrawalOnlyAttaches, StateMachineFixture)
{
    this->admit(exampleAdmit("a"));
    BOOST_TEST(this->withdraw("small-1", "small-2").has_revision());
    BOOST_TEST(this->admit(exampleAdmit("a")).has_known());
    BOOST_TEST(codeOf(this->admit(exampleAdmit("b"))) == Wire::ERROR_CODE_WITHDRAWN);
}

BOOST_FIXTURE_TEST_CASE(secondAttemptNeedsProof, StateMachineFixture)
{
    this->admit(exampleAdmit("a"));
    Wire::Admit second = exampleAdmit("a");
    second.set_attempt(2);
    second.set_endpoint("endpoint-1");
    const Wire::CommandResult refused = this->admit(second);
    BOOST_TEST(codeOf(refused) == Wire::ERROR_CODE_PROOF_MISSING);
    BOOST_TEST(refused.standing().endpoint() == "endpoint-0");

    Wire::Command abandon;
    *abandon.mutable_abandon()->mutable_key() = second.key();
    abandon.mutable_abandon()->set_attempt(1);
    abandon.mutable_abandon()->set_proof(Wire::NOT_RUN_PROOF_TOMBSTONE);
    abandon.mutable_abandon()->set_endpoint("endpoint-0");
    abandon.mutable_abandon()->set_incarnation(6);
    BOOST_TEST(codeOf(this->apply(abandon)) == Wire::ERROR_CODE_PROOF_MISSING);
    abandon.mutable_abandon()->set_incarnation(5);
    BOOST_TEST(this->apply(abandon).known().state() == Wire::RECORD_STATE_ABANDONED);
    BOOST_TEST(this->admit(second).has_admitted());
}

BOOST_FIXTURE_TEST_CASE(supersededAttemptIsNotBilled, StateMachineFixture)
{
    Wire::Admit first = exampleAdmit("a");
    first.set_repeatable(true);
    this->admit(first);
    Wire::Admit second = first;
    second.set_attempt(2);
    BOOST_TEST(this->admit(second).has_admitted());
    BOOST_TEST(this->settle("a", 1, Wire::OUTCOME_WHOLE, 1000).known().state() == Wire::RECORD_STATE_ADMITTED);
    BOOST_TEST(this->settle("a", 2, Wire::OUTCOME_WHOLE, 2000).known().cost_micros() == 2000U);
    BOOST_TEST(this->settle("a", 2, Wire::OUTCOME_CUT, 9000).known().cost_micros() == 2000U);
    BOOST_TEST(this->machine.ledger("mulgrave", "1970-01-01").at(0).bills() == 1U);
}

// Guards against a run that is never billed: the first attempt has run, the second one is abandoned. Found by model checking spec/admission.pml.
BOOST_FIXTURE_TEST_CASE(abandonedSecondAttemptLeavesTheFirstToBeBilled, StateMachineFixture)
{
    Wire::Admit admit = exampleAdmit("a");
    admit.set_repeatable(true);
    this->admit(admit);
    admit.set_attempt(2);
    this->admit(admit);
    const Wire::CommandResult abandoned = this->abandon("a", 2);
    BOOST_TEST(abandoned.known().state() == Wire::RECORD_STATE_ABANDONED);
    BOOST_TEST(abandoned.known().may_have_run());
    BOOST_TEST(this->machine.orphans().empty());
    this->timeMs += DayMs + 1;
    this->admit(exampleAdmit("b"));
    BOOST_TEST(this->machine.orphans().size() == 1U);
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    BOOST_TEST(this->settle("a", 1, Wire::OUTCOME_WHOLE, 1000).known().cost_micros() == 1000U);
    BOOST_TEST(this->settle("a", 2, Wire::OUTCOME_LOST, 9000).known().cost_micros() == 1000U);
    BOOST_TEST(this->machine.orphans().empty());
    admit.set_attempt(3);
    BOOST_TEST(this->admit(admit).has_known());
}

BOOST_FIXTURE_TEST_CASE(lostEndpointIsBilledWhatItReported, StateMachineFixture)
{
    this->admit(exampleAdmit("a"));
    Wire::Command report;
    *report.mutable_report_usage()->mutable_key() = exampleAdmit("a").key();
    report.mutable_report_usage()->set_attempt(1);
    report.mutable_report_usage()->mutable_usage()->set_input_tokens(500);
    BOOST_TEST(this->apply(report).done());
    BOOST_TEST(this->machine.orphans().empty());
    Wire::Command lost;
    lost.mutable_endpoint_incarnation()->set_endpoint("endpoint-0");
    lost.mutable_endpoint_incarnation()->set_incarnation(5);
    lost.mutable_endpoint_incarnation()->set_lost(true);
    this->apply(lost);
    BOOST_TEST(this->machine.orphans().size() == 1U);
    BOOST_TEST(codeOf(this->admit(exampleAdmit("b"))) == Wire::ERROR_CODE_STALE_INCARNATION);
    BOOST_TEST(this->settle("a", 1, Wire::OUTCOME_LOST, 0).known().cost_micros() == 500U);
    BOOST_TEST(this->machine.orphans().empty());
    lost.mutable_endpoint_incarnation()->set_lost(false);
    this->apply(lost);
    BOOST_TEST(this->admit(exampleAdmit("b")).has_admitted());
}

BOOST_FIXTURE_TEST_CASE(sessionStaysBoundToAWithdrawnVersion, StateMachineFixture)
{
    Wire::Admit admit = exampleAdmit("a");
    admit.set_session("crew-7");
    this->admit(admit);
    admit.mutable_key()->set_key("b");
    admit.set_version("small-2");
    const Wire::CommandResult bound = this->admit(admit);
    BOOST_TEST(codeOf(bound) == Wire::ERROR_CODE_SESSION_BOUND);
    BOOST_TEST(bound.session_version() == "small-1");
    this->withdraw("small-1", "small-2");
    const Wire::CommandResult withdrawn = this->admit(admit);
    BOOST_TEST(codeOf(withdrawn) == Wire::ERROR_CODE_SESSION_VERSION_WITHDRAWN);
    BOOST_TEST(withdrawn.session_version() == "small-1");
}

BOOST_FIXTURE_TEST_CASE(fenceIsForTheNewestIncarnationOnly, StateMachineFixture)
{
    Wire::Command take;
    take.mutable_take_fence()->set_endpoint("endpoint-0");
    take.mutable_take_fence()->set_incarnation(7);
    const Wire::CommandResult granted = this->apply(take);
    BOOST_TEST(granted.fence() == granted.index());
    take.mutable_take_fence()->set_incarnation(6);
    BOOST_TEST(codeOf(this->apply(take)) == Wire::ERROR_CODE_STALE_INCARNATION);
}

BOOST_FIXTURE_TEST_CASE(racingChangesHaveOneWinner, StateMachineFixture)
{
    Wire::Command left;
    left.set_command_id("left");
    left.set_expected_revision(this->machine.configuration().revision());
    left.mutable_change()->set_drain_endpoint("endpoint-0");
    Wire::Command right = left;
    right.set_command_id("right");
    right.mutable_change()->set_drain_endpoint("endpoint-1");
    const std::uint64_t revision = this->apply(left).revision();
    const Wire::CommandResult lost = this->apply(right);
    BOOST_TEST(codeOf(lost) == Wire::ERROR_CODE_REVISION_CONFLICT);
    BOOST_TEST(lost.error().current_revision() == revision);
    BOOST_TEST(this->apply(left).revision() == revision);
    right.set_expected_revision(0);
    right.set_command_id("zero");
    BOOST_TEST(codeOf(this->apply(right)) == Wire::ERROR_CODE_REVISION_CONFLICT);
    right.set_command_id("left");
    BOOST_TEST(codeOf(this->apply(right)) == Wire::ERROR_CODE_KEY_REUSED);
    right.set_command_id("");
    BOOST_TEST(this->apply(right).error().field() == "command_id");
}

BOOST_FIXTURE_TEST_CASE(withdrawalHaltsItsRolloutForGood, StateMachineFixture)
{
    BOOST_TEST(this->startRollout("small-2").has_revision());
    BOOST_TEST(codeOf(this->startRollout("small-3")) == Wire::ERROR_CODE_INVALID);
    BOOST_TEST(this->withdraw("small-2").has_revision());
    BOOST_TEST(findRollout(this->machine.configuration(), "small")->state() == Wire::ROLLOUT_STATE_HALTED);
    Wire::ConfigurationChange put;
    put.mutable_put_version()->set_id("small-2");
    put.mutable_put_version()->set_model("small");
    BOOST_TEST(codeOf(this->change(put)) == Wire::ERROR_CODE_WITHDRAWN);
    BOOST_TEST(codeOf(this->startRollout("small-2")) == Wire::ERROR_CODE_WITHDRAWN);
}

BOOST_FIXTURE_TEST_CASE(changesAreCheckedByField, StateMachineFixture)
{
    Wire::ConfigurationChange change;
    Wire::Organisation *organisation = change.mutable_put_organisation();
    organisation->set_id("nursery");
    organisation->add_allowances()->set_model("small");
    organisation->add_allowances()->set_model("huge");
    BOOST_TEST(this->change(change).error().field() == "change.put_organisation.allowances[1].model");
    organisation->mutable_allowances(1)->set_model("large");
    organisation->mutable_allowances(1)->add_versions("small-1");
    BOOST_TEST(this->change(change).error().field() == "change.put_organisation.allowances[1].versions[0]");
    organisation->mutable_allowances(1)->clear_versions();
    organisation->add_key_hashes(std::string(64, 'a'));
    BOOST_TEST(this->change(change).has_revision());
    organisation->set_id("depot");
    BOOST_TEST(this->change(change).error().field() == "change.put_organisation.key_hashes[0]");
    organisation->set_id("a depot");
    BOOST_TEST(this->change(change).error().field() == "change.put_organisation.id");

    Wire::ConfigurationChange cascade;
    cascade.mutable_put_cascade()->set_id("drafts");
    cascade.mutable_put_cascade()->add_models("small");
    cascade.mutable_put_cascade()->add_models("missing");
    BOOST_TEST(this->change(cascade).error().field() == "change.put_cascade.models[1]");
    Wire::ConfigurationChange model;
    model.mutable_put_model()->set_id("small");
    model.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
    model.mutable_put_model()->set_stable_version("large-1");
    BOOST_TEST(this->change(model).error().field() == "change.put_model.stable_version");
    BOOST_TEST(this->change(Wire::ConfigurationChange()).error().field() == "change");
}

BOOST_FIXTURE_TEST_CASE(retiredKeyIsRefused, StateMachineFixture)
{
    this->admit(exampleAdmit("a"));
    this->settle("a", 1, Wire::OUTCOME_WHOLE, 1);
    this->timeMs += DayMs + 1;
    this->admit(exampleAdmit("b"));
    BOOST_TEST(this->machine.recordCount() == 1U);
    BOOST_TEST(this->machine.retiredKeyCount() == 1U);
    BOOST_TEST(codeOf(this->admit(exampleAdmit("a"))) == Wire::ERROR_CODE_RETIRED);
    BOOST_TEST(this->settle("a", 1, Wire::OUTCOME_WHOLE, 1).known().state() == Wire::RECORD_STATE_RETIRED);
    BOOST_TEST(!this->machine.restore("no snapshot"));
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    BOOST_TEST(codeOf(this->admit(exampleAdmit("a"))) == Wire::ERROR_CODE_RETIRED);
}

BOOST_FIXTURE_TEST_CASE(evidenceOnSuspectPartsOutlastsASnapshot, StateMachineFixture)
{
    Wire::Command command;
    Wire::EndpointCrash &crash = *command.mutable_update_suspects()->add_crashes();
    crash.set_endpoint("e-1");
    crash.add_requests()->set_fingerprint(7);
    crash.mutable_requests(0)->add_parts(8);
    BOOST_TEST(this->apply(command).done());
    const std::uint64_t number = this->machine.serving().number();
    BOOST_TEST(number == this->index);
    // Gateways are told only of what changed.
    this->apply(command);
    BOOST_TEST(this->machine.serving().number() == number);
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    BOOST_REQUIRE(this->machine.serving().suspects_size() == 1);
    BOOST_TEST(this->machine.serving().suspects(0).crash_count() == 1U);
}

BOOST_FIXTURE_TEST_CASE(evacuationOutlastsASnapshot, StateMachineFixture)
{
    Wire::Command command;
    command.mutable_set_evacuation()->set_availability_zone("a");
    BOOST_TEST(!this->apply(command).has_error());
    const std::uint64_t number = this->machine.serving().number();
    this->apply(command);
    BOOST_TEST(this->machine.serving().number() == number);
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    BOOST_REQUIRE(this->machine.serving().evacuations_size() == 1);
    BOOST_TEST(this->machine.serving().evacuations(0).availability_zone() == "a");
}

namespace {

Wire::Command orderRollout(const std::string &target)
{
    Wire::Command command;
    Wire::StartServiceRollout &order = *command.mutable_start_service_rollout();
    order.set_service("pool");
    order.set_target(target);
    order.set_duration_ms(20000);
    return command;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(targetsOfEarlierRolloutsOutlastASnapshot, StateMachineFixture)
{
    Wire::Command plan;
    plan.mutable_put_plan()->set_revision(1);
    plan.mutable_put_plan()->add_services()->set_name("pool");
    this->apply(plan);
    this->apply(orderRollout("v2"));
    Wire::Command end;
    end.mutable_set_service_rollout()->set_service("pool");
    end.mutable_set_service_rollout()->set_order(this->index);
    end.mutable_set_service_rollout()->set_state(Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK);
    this->apply(end);
    // What a snapshot of a former release holds: the latest roll-out alone.
    BOOST_TEST(this->machine.serving().versions_size() == 0);
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    this->apply(orderRollout("v3"));
    this->apply(orderRollout("v4"));
    BOOST_TEST(this->machine.restore(this->machine.snapshot()));
    const auto &versions = this->machine.serving().versions();
    BOOST_REQUIRE(versions.size() == 2);
    BOOST_TEST(versions[0].version() == "v2");
    BOOST_TEST(versions[0].verdict() == Wire::VERSION_VERDICT_WITHDRAWN);
    BOOST_TEST(versions[1].version() == "v3");
    BOOST_TEST(versions[1].verdict() == Wire::VERSION_VERDICT_OVERTAKEN);
    this->apply(orderRollout("v2"));
    BOOST_REQUIRE(this->machine.serving().versions_size() == 2);
    BOOST_TEST(this->machine.serving().versions(0).version() == "v3");
    BOOST_TEST(this->machine.serving().versions(1).version() == "v4");
    for (unsigned number = 5; number < 60; ++number) {
        this->apply(orderRollout("v" + std::to_string(number)));
    }
    BOOST_REQUIRE(this->machine.serving().versions_size() == 16);
    BOOST_TEST(this->machine.serving().versions(15).version() == "v58");
}
