#include "AnsweredCommands.h"

#include "KeyEncoding.h"
#include "StateErrors.h"

#include <xxhash.h>

namespace Apricothead {
namespace {

/** \returns what the command asks for. An order that is proposed again may be based on a newer state. */
std::string requestBytes(const Wire::Command &command)
{
    if (command.has_start_service_rollout()) {
        Wire::StartServiceRollout order = command.start_service_rollout();
        order.clear_based_on();
        return order.SerializeAsString();
    }
    if (command.has_set_evacuation()) {
        Wire::SetEvacuation order = command.set_evacuation();
        order.clear_based_on();
        return order.SerializeAsString();
    }
    return command.change().SerializeAsString();
}

} // namespace

std::uint64_t commandFingerprint(const Wire::Command &command)
{
    if (command.request_fingerprint() != 0) {
        return command.request_fingerprint();
    }
    const std::string bytes = encodeParts({std::to_string(command.expected_revision()), requestBytes(command)});
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::optional<Wire::CommandResult> AnsweredCommands::findAnswer(const Wire::Command &command) const
{
    const auto found = this->answers.find(command.command_id());
    if (found == this->answers.end()) {
        return std::nullopt;
    }
    if (found->second.fingerprint() != commandFingerprint(command)) {
        return refusalResult(makeError(Wire::ERROR_CODE_KEY_REUSED, "command_id", "was used for another change", "repeat the change with a new command_id"));
    }
    return found->second.result();
}

void AnsweredCommands::record(const Wire::Command &command, const Wire::CommandResult &result, std::int64_t timeMs)
{
    Wire::AnsweredCommand &answer = this->answers[command.command_id()];
    answer.set_command_id(command.command_id());
    *answer.mutable_result() = result;
    answer.set_time_ms(timeMs);
    answer.set_fingerprint(commandFingerprint(command));
    this->expiries.add(timeMs, command.command_id());
}

void AnsweredCommands::expire(std::int64_t beforeMs)
{
    for (int i = 0; i < MaxExpiriesPerCommand; ++i) {
        const auto id = this->expiries.popOlderThan(beforeMs);
        if (!id) {
            return;
        }
        this->answers.erase(*id);
    }
}

void AnsweredCommands::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[id, answer] : this->answers) {
        *snapshot.add_answered() = answer;
    }
}

void AnsweredCommands::restore(const Wire::StateSnapshot &snapshot)
{
    this->answers.clear();
    this->expiries.clear();
    for (const Wire::AnsweredCommand &answer : snapshot.answered()) {
        this->answers[answer.command_id()] = answer;
        this->expiries.add(answer.time_ms(), answer.command_id());
    }
}

} // namespace Apricothead
