#define BOOST_TEST_MODULE statemachineproperties
#include "statefixture.h"

#include <algorithm>
#include <functional>
#include <memory>

using namespace Apricothead;
using namespace Apricothead::Test;

namespace {

constexpr int CaseCount = 400;
constexpr int StepsPerCase = 200;
constexpr std::int64_t ZeroStepMs = 0;
/** Records are kept for ten steps of this length, so that some retire while a case runs. */
constexpr std::int64_t RetiringStepMs = 100;

StateMachineOptions retiringOptions()
{
    return {.recordRetentionMs = 10 * RetiringStepMs, .answerRetentionMs = 1000 * RetiringStepMs, .sessionRetentionMs = 1000 * RetiringStepMs};
}

using Observer = std::function<void(const Wire::Command &, const Wire::CommandResult &, std::uint64_t index)>;

/** Applies the decoded steps to a new machine and passes each result to \a observe. */
void run(StateMachine &machine, const Steps &steps, std::int64_t stepMs, const Observer &observe)
{
    std::uint64_t index = applyChanges(machine, initialChanges());
    CommandGenerator generator(stepMs);
    for (const Step &step : steps) {
        const Wire::Command command = generator.next(step, machine);
        const Wire::CommandResult result = machine.apply(command, ++index);
        observe(command, result, index);
    }
}

using KeyName = std::pair<std::string, std::string>;

KeyName nameOf(const Wire::RequestKey &key)
{
    return {key.organisation(), key.key()};
}

bool isNewAdmission(const Wire::CommandResult &result, std::uint64_t index)
{
    return result.has_admitted() && result.admitted().admitted_index() == index;
}

} // namespace

BOOST_AUTO_TEST_CASE(billsOnce)
{
    checkSteps("billsOnce", 4101, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(StateMachineOptions{});
        std::map<KeyName, std::string> settled;
        std::uint64_t cost = 0;
        run(machine, steps, ZeroStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t) {
            if (!command.has_settle() || result.known().state() != Wire::RECORD_STATE_SETTLED) {
                return;
            }
            const auto [entry, isNew] = settled.try_emplace(nameOf(command.settle().key()), result.known().SerializeAsString());
            cost += isNew ? result.known().cost_micros() : 0;
            RC_ASSERT(entry->second == result.known().SerializeAsString());
        });
        std::uint64_t bills = 0;
        std::uint64_t billed = 0;
        for (const Wire::LedgerDay &day : machine.ledger("", "")) {
            bills += day.bills();
            billed += day.cost_micros();
        }
        RC_ASSERT(bills == settled.size());
        RC_ASSERT(billed == cost);
    });
}

BOOST_AUTO_TEST_CASE(notRepeatableNeedsProof)
{
    checkSteps("notRepeatableNeedsProof", 4102, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(StateMachineOptions{});
        std::map<KeyName, Wire::RequestRecord> running;
        run(machine, steps, ZeroStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t index) {
            if (command.has_abandon() && command.abandon().proof() != Wire::NOT_RUN_PROOF_UNSPECIFIED) {
                const auto found = running.find(nameOf(command.abandon().key()));
                const Wire::Abandon &abandon = command.abandon();
                const bool isProof = found != running.end() && abandon.attempt() == found->second.attempt() && abandon.endpoint() == found->second.endpoint()
                    && abandon.incarnation() == found->second.incarnation();
                if (isProof && result.known().state() == Wire::RECORD_STATE_ABANDONED) {
                    running.erase(found);
                }
            }
            if (!isNewAdmission(result, index) || result.admitted().repeatable()) {
                return;
            }
            RC_ASSERT(running.try_emplace(nameOf(result.admitted().key()), result.admitted()).second);
        });
    });
}

BOOST_AUTO_TEST_CASE(admitsOnlyWhatIsAllowedNow)
{
    checkSteps("admitsOnlyWhatIsAllowedNow", 4103, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(StateMachineOptions{});
        std::set<std::string> withdrawn;
        std::map<std::string, std::uint64_t> newest;
        run(machine, steps, ZeroStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t) {
            if (command.change().has_withdraw_version() && result.has_revision()) {
                withdrawn.insert(command.change().withdraw_version().version());
            }
            if (command.has_endpoint_incarnation() && result.done()) {
                newest[command.endpoint_incarnation().endpoint()] = command.endpoint_incarnation().incarnation();
            }
            if (!result.has_admitted()) {
                return;
            }
            const Wire::RequestRecord &admitted = result.admitted();
            RC_ASSERT(withdrawn.count(admitted.version()) == 0U);
            RC_ASSERT(isAllowed(*findOrganisation(machine.configuration(), admitted.key().organisation()), admitted.model(), admitted.version()));
            RC_ASSERT(!isDrained(machine.configuration(), admitted.endpoint()));
            RC_ASSERT(admitted.incarnation() >= newest[admitted.endpoint()]);
            newest[admitted.endpoint()] = admitted.incarnation();
        });
    });
}

BOOST_AUTO_TEST_CASE(sessionKeepsItsVersion)
{
    checkSteps("sessionKeepsItsVersion", 4104, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(StateMachineOptions{});
        std::map<std::tuple<std::string, std::string, std::string>, std::string> versions;
        run(machine, steps, ZeroStepMs, [&](const Wire::Command &, const Wire::CommandResult &result, std::uint64_t) {
            const Wire::RequestRecord &admitted = result.admitted();
            if (!result.has_admitted() || admitted.session().empty()) {
                return;
            }
            const auto [entry, isNew] = versions.try_emplace({admitted.key().organisation(), admitted.session(), admitted.model()}, admitted.version());
            RC_ASSERT(entry->second == admitted.version());
        });
    });
}

BOOST_AUTO_TEST_CASE(restoredMachineGivesSameResults)
{
    checkSteps("restoredMachineGivesSameResults", 4105, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(retiringOptions());
        auto replica = std::make_unique<StateMachine>(retiringOptions());
        applyChanges(*replica, initialChanges());
        run(machine, steps, RetiringStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t index) {
            RC_ASSERT(replica->apply(command, index).SerializeAsString() == result.SerializeAsString());
            RC_ASSERT(replica->snapshot() == machine.snapshot());
            if (index % 7 == 0) {
                replica = std::make_unique<StateMachine>(retiringOptions());
                RC_ASSERT(replica->restore(machine.snapshot()));
            }
        });
    });
}

BOOST_AUTO_TEST_CASE(resentChangeGetsTheFirstAnswer)
{
    checkSteps("resentChangeGetsTheFirstAnswer", 4106, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(StateMachineOptions{});
        std::map<std::string, std::string> answers;
        std::uint64_t revision = 0;
        run(machine, steps, ZeroStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t index) {
            RC_ASSERT(machine.configuration().revision() >= revision);
            revision = machine.configuration().revision();
            if (!command.has_change()) {
                return;
            }
            const auto [entry, isNew] = answers.try_emplace(command.command_id(), result.SerializeAsString());
            RC_ASSERT(entry->second == result.SerializeAsString());
            if (index % 5 == 0) {
                RC_ASSERT(machine.restore(machine.snapshot()));
            }
        });
    });
}

BOOST_AUTO_TEST_CASE(retiredKeyNeverRunsAgain)
{
    checkSteps("retiredKeyNeverRunsAgain", 4107, CaseCount, StepsPerCase, [](const Steps &steps) {
        StateMachine machine(retiringOptions());
        std::set<KeyName> ended;
        run(machine, steps, RetiringStepMs, [&](const Wire::Command &command, const Wire::CommandResult &result, std::uint64_t index) {
            if (result.known().state() == Wire::RECORD_STATE_SETTLED) {
                ended.insert(nameOf(result.known().key()));
            }
            RC_ASSERT(!isNewAdmission(result, index) || ended.count(nameOf(command.admit().key())) == 0U);
        });
    });
}
