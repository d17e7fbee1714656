#pragma once

#include "properties.h"

#include <Apricothead/State>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace Apricothead::Test {

/** \returns changes that make a configuration of two organisations and two chat models with three versions each */
inline std::vector<Wire::ConfigurationChange> initialChanges()
{
    std::vector<Wire::ConfigurationChange> changes;
    const auto add = [&]() -> Wire::ConfigurationChange & {
        return changes.emplace_back();
    };
    for (const std::string model : {"small", "large"}) {
        Wire::Model *put = add().mutable_put_model();
        put->set_id(model);
        put->set_kind(Wire::MODEL_KIND_CHAT);
        for (const std::string number : {"-1", "-2", "-3"}) {
            Wire::Version *version = add().mutable_put_version();
            version->set_id(model);
            version->mutable_id()->append(number);
            version->set_model(model);
            version->set_input_price_micros(1000);
            version->set_output_price_micros(3000);
        }
        Wire::Model *stable = add().mutable_put_model();
        *stable = changes[changes.size() - 5].put_model();
        stable->set_stable_version(model + "-1");
    }
    for (const std::string id : {"mulgrave", "vrtula"}) {
        Wire::Organisation *organisation = add().mutable_put_organisation();
        organisation->set_id(id);
        organisation->add_allowances()->set_model("small");
        Wire::Allowance *large = organisation->add_allowances();
        large->set_model("large");
        large->add_versions("large-1");
        large->add_versions("large-2");
    }
    return changes;
}

/** Applies \a changes to \a machine, starting after log position \a index. \returns the index of the last one */
inline std::uint64_t applyChanges(StateMachine &machine, const std::vector<Wire::ConfigurationChange> &changes, std::uint64_t index = 0)
{
    for (const Wire::ConfigurationChange &change : changes) {
        Wire::Command command;
        command.set_time_ms(1000);
        command.set_command_id("start-" + std::to_string(index));
        command.set_expected_revision(machine.configuration().revision());
        *command.mutable_change() = change;
        const Wire::CommandResult result = machine.apply(command, ++index);
        BOOST_REQUIRE_MESSAGE(result.has_revision(), result.ShortDebugString());
    }
    return index;
}

/** Decodes random steps into commands of which most are valid in the current state. */
class CommandGenerator
{
public:
    explicit CommandGenerator(std::int64_t timeStepMs) : stepMs(timeStepMs)
    { }

    Wire::Command next(const Step &step, const StateMachine &machine)
    {
        Wire::Command command;
        this->timeMs += this->stepMs * (step[7] % 4);
        command.set_time_ms(this->timeMs);
        const int kind = step[0] % 16;
        if (kind < 6) {
            this->fillAdmit(*command.mutable_admit(), step, machine);
        } else if (kind < 9) {
            this->fillSettle(*command.mutable_settle(), step, machine);
        } else if (kind < 11) {
            this->fillAbandon(*command.mutable_abandon(), step, machine);
        } else if (kind == 11) {
            this->fillIncarnation(*command.mutable_endpoint_incarnation(), step);
        } else if (kind == 12) {
            this->fillReport(*command.mutable_report_usage(), step, machine);
        } else {
            this->fillChange(command, step, machine);
        }
        return command;
    }

private:
    static Wire::RequestKey key(const Step &step)
    {
        Wire::RequestKey key;
        key.set_organisation(step[1] % 8 < 5 ? "mulgrave" : "vrtula");
        key.set_key("key-" + std::to_string(step[2] % 4));
        return key;
    }

    static std::string endpoint(int number)
    {
        return "endpoint-" + std::to_string(number % 2);
    }

    static std::string version(int number)
    {
        return std::string(number % 2 == 0 ? "small-" : "large-") + std::to_string(1 + number / 2 % 3);
    }

    std::uint64_t incarnation(const std::string &name, int choice)
    {
        const std::uint64_t known = this->newest[name];
        return choice % 8 == 0 ? known + 1 : choice % 8 == 1 && known > 0 ? known - 1 : known;
    }

    void fillAdmit(Wire::Admit &admit, const Step &step, const StateMachine &machine)
    {
        *admit.mutable_key() = key(step);
        const Wire::RequestRecord record = machine.record(admit.key());
        admit.set_attempt(record.attempt() + (step[3] % 4 == 0 ? 0 : 1));
        admit.set_version(version(step[4]));
        admit.set_model(step[4] % 2 == 0 ? "small" : "large");
        admit.set_endpoint(endpoint(step[5]));
        admit.set_incarnation(this->incarnation(admit.endpoint(), step[5] / 2));
        this->newest[admit.endpoint()] = std::max(this->newest[admit.endpoint()], admit.incarnation());
        admit.set_session(step[6] % 3 == 0 ? "" : "session-" + std::to_string(step[6] % 3));
        admit.set_repeatable(step[2] % 2 == 0);
        admit.set_fingerprint(step[3] == 255 ? 9 : step[2] % 4);
        admit.set_entry("entry-" + std::to_string(step[6] / 3 % 2));
        if (step[3] % 8 == 0 && record.state() == Wire::RECORD_STATE_ADMITTED) {
            admit.set_endpoint(record.endpoint());
            admit.set_incarnation(record.incarnation());
            admit.set_version(record.version());
            admit.set_model(record.model());
            admit.set_session(record.session());
            admit.set_entry(record.entry());
        }
    }

    static void fillUsage(Wire::Usage &usage, const Step &step)
    {
        usage.set_input_tokens(step[4] * 17);
        usage.set_output_tokens(step[5] * 13);
    }

    static void fillSettle(Wire::Settle &settle, const Step &step, const StateMachine &machine)
    {
        *settle.mutable_key() = key(step);
        settle.set_attempt(machine.record(settle.key()).attempt() - (step[3] % 8 == 0 ? 1 : 0));
        settle.set_outcome(static_cast<Wire::Outcome>(1 + step[6] % 5));
        fillUsage(*settle.mutable_usage(), step);
    }

    static void fillAbandon(Wire::Abandon &abandon, const Step &step, const StateMachine &machine)
    {
        *abandon.mutable_key() = key(step);
        const Wire::RequestRecord record = machine.record(abandon.key());
        abandon.set_attempt(record.attempt() - (step[3] % 8 == 0 ? 1 : 0));
        abandon.set_proof(static_cast<Wire::NotRunProof>(step[4] % 3));
        abandon.set_endpoint(step[5] % 4 == 0 ? endpoint(step[5]) : record.endpoint());
        abandon.set_incarnation(record.incarnation() + (step[6] % 4 == 0 ? 1 : 0));
    }

    void fillIncarnation(Wire::EndpointIncarnation &incarnation, const Step &step)
    {
        incarnation.set_endpoint(endpoint(step[1]));
        incarnation.set_incarnation(this->incarnation(incarnation.endpoint(), step[2]));
        incarnation.set_lost(step[3] % 2 == 0);
        this->newest[incarnation.endpoint()] = std::max(this->newest[incarnation.endpoint()], incarnation.incarnation());
    }

    static void fillReport(Wire::ReportUsage &report, const Step &step, const StateMachine &machine)
    {
        *report.mutable_key() = key(step);
        report.set_attempt(machine.record(report.key()).attempt());
        fillUsage(*report.mutable_usage(), step);
    }

    void fillChange(Wire::Command &command, const Step &step, const StateMachine &machine)
    {
        if (step[1] % 4 == 0 && !this->changes.empty()) {
            command = this->changes[step[2] % this->changes.size()];
            command.set_time_ms(this->timeMs);
            return;
        }
        command.set_command_id("command-" + std::to_string(this->changes.size()));
        command.set_expected_revision(machine.configuration().revision() - (step[3] % 4 == 0 ? 1 : 0));
        this->fillChangeBody(*command.mutable_change(), step);
        this->changes.push_back(command);
    }

    static void fillChangeBody(Wire::ConfigurationChange &change, const Step &step)
    {
        switch (step[4] % 6) {
        case 0:
            change.mutable_withdraw_version()->set_version(version(step[5]));
            return;
        case 1:
            change.mutable_start_rollout()->set_model("small");
            change.mutable_start_rollout()->set_to_version(version(step[5]));
            return;
        case 2:
            change.mutable_set_rollout()->set_model("small");
            change.mutable_set_rollout()->set_state(static_cast<Wire::RolloutState>(step[5] % 5));
            return;
        case 3:
            change.set_drain_endpoint(endpoint(step[5]));
            return;
        case 4:
            change.set_undrain_endpoint(endpoint(step[5]));
            return;
        default:
            change.mutable_put_version()->set_id(version(step[5]));
            change.mutable_put_version()->set_model(step[5] % 2 == 0 ? "small" : "large");
            return;
        }
    }

    std::int64_t stepMs;
    std::int64_t timeMs = 2000;
    std::map<std::string, std::uint64_t> newest;
    std::vector<Wire::Command> changes;
};

} // namespace Apricothead::Test
