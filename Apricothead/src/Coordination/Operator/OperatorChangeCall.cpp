#include "OperatorChangeCall.h"

#include "../../State/KeyEncoding.h"
#include "../../Transport/Log.h"

#include <xxhash.h>

#include <utility>

namespace Apricothead {
namespace {

Wire::Error missingRevision(std::uint64_t current)
{
    const std::string currentText = std::to_string(current);
    Wire::Error error = makeError(Wire::ERROR_CODE_INVALID,
                                  "expected_revision",
                                  "is missing; the current revision is " + currentText,
                                  "read it with GetConfiguration, then repeat the call with \"expectedRevision\": " + currentText);
    error.set_current_revision(current);
    return error;
}

Wire::Error revisionAhead(std::uint64_t expected, std::uint64_t current)
{
    const std::string currentText = std::to_string(current);
    Wire::Error error = makeError(Wire::ERROR_CODE_REVISION_CONFLICT,
                                  "expected_revision",
                                  "is " + std::to_string(expected) + ", but the current revision is " + currentText,
                                  "repeat the call with \"expectedRevision\": " + currentText + " and a new commandId");
    error.set_current_revision(current);
    return error;
}

Wire::Error proposalError(const ProposeOutcome &outcome)
{
    if (outcome.status == Wire::PROPOSE_STATUS_NOT_APPENDED) {
        return makeError(Wire::ERROR_CODE_UNAVAILABLE, "", "no leader accepted the change: it was not made", "repeat the call with the same commandId");
    }
    return makeError(Wire::ERROR_CODE_UNAVAILABLE, "", "the answer was lost: the change may have been made", "repeat the call with the same commandId");
}

void finish(const OperatorChangeCall &call, const ProposeOutcome &outcome)
{
    if (outcome.status != Wire::PROPOSE_STATUS_APPLIED) {
        call.done(proposalError(outcome));
        return;
    }
    if (outcome.result.has_error()) {
        call.done(outcome.result.error());
        return;
    }
    logLine(LogLevel::Info,
            "operator-change",
            {{"operator", call.operatorName}, {"commandId", call.commandId}, {"revision", std::uint64_t(outcome.result.revision())}});
    call.done(outcome.result.revision());
}

void proposeChange(const std::shared_ptr<OperatorBackend> &backend, OperatorChangeCall call, Wire::ConfigurationChange change)
{
    Wire::Command command;
    command.set_command_id(call.commandId);
    command.set_expected_revision(*call.expectedRevision);
    command.set_actor(call.operatorName);
    command.set_request_fingerprint(call.fingerprint);
    *command.mutable_change() = std::move(change);
    backend->propose(std::move(command), [call = std::move(call)](const ProposeOutcome &outcome) {
        finish(call, outcome);
    });
}

void buildChange(const std::shared_ptr<OperatorBackend> &backend, OperatorChangeCall call, const Wire::Configuration &configuration)
{
    const std::uint64_t current = configuration.revision();
    if (!call.expectedRevision) {
        call.done(missingRevision(current));
        return;
    }
    // A change built from an older configuration could revert what the expected revision changed.
    if (*call.expectedRevision > current) {
        call.done(revisionAhead(*call.expectedRevision, current));
        return;
    }
    const ChangeResult built = call.build(configuration);
    if (built.has_value()) {
        proposeChange(backend, std::move(call), built.value());
        return;
    }
    if (*call.expectedRevision == current) {
        Wire::Error error = built.error();
        error.set_current_revision(current);
        call.done(error);
        return;
    }
    // This may be a resent command whose change has been applied in the meantime. Proposing an empty change returns the result of the
    // first command, or the error that the revision is outdated.
    proposeChange(backend, std::move(call), Wire::ConfigurationChange());
}

} // namespace

void submitChange(const std::shared_ptr<OperatorBackend> &backend, OperatorChangeCall call)
{
    if (call.commandId.empty()) {
        call.done(makeError(Wire::ERROR_CODE_INVALID, "command_id", "is missing", "generate an id for each change and repeat it when resending"));
        return;
    }
    Wire::Query query;
    query.set_configuration(true);
    backend->query(std::move(query), [backend, call = std::move(call)](const Wire::QueryReply &reply) {
        if (reply.has_error()) {
            call.done(reply.error());
            return;
        }
        buildChange(backend, call, reply.configuration());
    });
}

std::uint64_t requestFingerprint(std::string_view method, const google::protobuf::Message &request)
{
    const std::string bytes = encodeParts({method, request.SerializeAsString()});
    const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
    return hash == 0 ? 1 : hash;
}

} // namespace Apricothead
