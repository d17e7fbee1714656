#include "StateMachine.h"

#include "AdmissionRules.h"
#include "AnsweredCommands.h"
#include "ConfigurationLookup.h"
#include "ConfigurationState.h"
#include "IncarnationTable.h"
#include "Ledger.h"
#include "RequestTable.h"
#include "ServingTable.h"
#include "SessionTable.h"
#include "StateErrors.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::size_t MaxCommandIdBytes = 128;
/** Limit on the key of a request. */
constexpr std::size_t MaxKeyBytes = 512;
/** Time after which an abandoned record whose earlier attempt may have run is settled as lost. */
constexpr std::int64_t AbandonedSettleDelayMs = 60'000;

Wire::CommandResult doneResult()
{
    Wire::CommandResult result;
    result.set_done(true);
    return result;
}

Wire::RequestRecord admittedRecord(const Wire::Admit &admit, std::uint64_t index, std::int64_t timeMs)
{
    Wire::RequestRecord record;
    *record.mutable_key() = admit.key();
    record.set_attempt(admit.attempt());
    record.set_state(Wire::RECORD_STATE_ADMITTED);
    record.set_model(admit.model());
    record.set_version(admit.version());
    record.set_endpoint(admit.endpoint());
    record.set_incarnation(admit.incarnation());
    record.set_session(admit.session());
    record.set_repeatable(admit.repeatable());
    record.set_fingerprint(admit.fingerprint());
    record.set_changed_at_ms(timeMs);
    record.set_admitted_index(index);
    record.set_gate_time_ms(admit.gate_time_ms());
    record.set_entry(admit.entry());
    return record;
}

/** Makes the record of a retired key, of which only the state is kept. */
Wire::RequestRecord retiredRecord(const Wire::RequestKey &key)
{
    Wire::RequestRecord record;
    *record.mutable_key() = key;
    record.set_state(Wire::RECORD_STATE_RETIRED);
    return record;
}

Wire::CommandResult refusalWithRecord(Wire::Error error, const Wire::RequestRecord &record)
{
    Wire::CommandResult result = refusalResult(std::move(error));
    *result.mutable_standing() = record;
    return result;
}

bool isCurrentAttempt(const Wire::RequestRecord &record, std::uint32_t attempt)
{
    return record.state() == Wire::RECORD_STATE_ADMITTED && record.attempt() == attempt;
}

/** An earlier attempt that may have run can still be billed when the later attempt is proven not to have run. */
bool isSettledBy(const Wire::RequestRecord &record, std::uint32_t attempt)
{
    const bool isEarlierRun = record.state() == Wire::RECORD_STATE_ABANDONED && record.may_have_run() && attempt <= record.attempt();
    return isCurrentAttempt(record, attempt) || isEarlierRun;
}

/** Copies the fields of the previous attempt that also apply to a further attempt of the same request. */
void inheritAttemptState(Wire::RequestRecord &record, const Wire::RequestRecord &previous)
{
    record.set_repeatable(previous.repeatable());
    record.set_may_have_run(previous.may_have_run() || previous.state() == Wire::RECORD_STATE_ADMITTED);
    *record.mutable_usage() = previous.usage();
}

} // namespace

struct StateMachine::Private {
    StateMachineOptions options;
    ConfigurationState configuration;
    SessionTable sessions;
    RequestTable requests;
    Ledger ledger;
    AnsweredCommands answered;
    IncarnationTable incarnations;
    ServingTable serving;
    std::int64_t timeMs = 0;
    std::uint64_t appliedIndex = 0;

    Wire::CommandResult dispatch(const Wire::Command &command);
    Wire::CommandResult admit(const Wire::Admit &admit);
    Wire::CommandResult admitAgain(const Wire::RequestRecord &record, const Wire::Admit &admit);
    Wire::CommandResult admitIfAllowed(const Wire::Admit &admit, const Wire::RequestRecord *previous);
    Wire::CommandResult settle(const Wire::Settle &settle);
    Wire::CommandResult abandon(const Wire::Abandon &abandon);
    Wire::CommandResult recordIncarnation(const Wire::EndpointIncarnation &incarnation);
    Wire::CommandResult issueFence(const Wire::TakeFence &fence);
    Wire::CommandResult reportUsage(const Wire::ReportUsage &report);
    Wire::CommandResult applyChange(const Wire::Command &command);
    Wire::CommandResult applyOrder(const Wire::Command &command);
    Wire::CommandResult applyOrderOnce(const Wire::Command &command);
    Wire::CommandResult missingRecordResult(const Wire::RequestKey &key) const;
    Check checkAdmit(const Wire::Admit &admit) const;
    void expire();
};

Wire::CommandResult StateMachine::Private::dispatch(const Wire::Command &command)
{
    switch (command.body_case()) {
    case Wire::Command::kAdmit:
        return this->admit(command.admit());
    case Wire::Command::kSettle:
        return this->settle(command.settle());
    case Wire::Command::kAbandon:
        return this->abandon(command.abandon());
    case Wire::Command::kEndpointIncarnation:
        return this->recordIncarnation(command.endpoint_incarnation());
    case Wire::Command::kTakeFence:
        return this->issueFence(command.take_fence());
    case Wire::Command::kReportUsage:
        return this->reportUsage(command.report_usage());
    case Wire::Command::kChange:
        return this->applyChange(command);
    case Wire::Command::kPutPlan:
        return this->serving.putPlan(command.put_plan(), this->appliedIndex);
    case Wire::Command::kStartServiceRollout:
    case Wire::Command::kSetEvacuation:
        return this->applyOrderOnce(command);
    case Wire::Command::kSetServiceRollout:
        return this->serving.setRollout(command.set_service_rollout(), this->appliedIndex);
    case Wire::Command::kUpdateSuspects:
        return this->serving.updateSuspects(command.update_suspects(), this->appliedIndex, this->timeMs);
    case Wire::Command::kStartPartTrial:
        return this->serving.startPartTrial(command.start_part_trial(), this->appliedIndex, this->timeMs);
    case Wire::Command::BODY_NOT_SET:
        break;
    }
    return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "body", "is missing or of a kind this version does not know", "upgrade this process"));
}

Wire::CommandResult StateMachine::Private::admit(const Wire::Admit &admit)
{
    if (admit.key().key().empty() || admit.key().key().size() > MaxKeyBytes) {
        return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "key.key", "is empty or too long", "give a key of at most 512 bytes"));
    }
    if (const Wire::RequestRecord *record = this->requests.find(admit.key())) {
        return this->admitAgain(*record, admit);
    }
    if (this->requests.isRetired(admit.key())) {
        return refusalResult(makeError(Wire::ERROR_CODE_RETIRED, "key", "belongs to a request that was retired", "use a new key"));
    }
    return this->admitIfAllowed(admit, nullptr);
}

Wire::CommandResult StateMachine::Private::admitAgain(const Wire::RequestRecord &record, const Wire::Admit &admit)
{
    switch (decideAttempt(record, admit)) {
    case AttemptDecision::Duplicate: {
        // When the configuration no longer allows the admission, a resent proposal starts no work and may only attach to the run.
        if (this->checkAdmit(admit).has_error()) {
            return knownResult(record);
        }
        Wire::CommandResult result;
        *result.mutable_admitted() = record;
        return result;
    }
    case AttemptDecision::Replace:
        return this->admitIfAllowed(admit, &record);
    case AttemptDecision::Known:
        return knownResult(record);
    case AttemptDecision::ProofMissing:
        return refusalWithRecord(makeError(Wire::ERROR_CODE_PROOF_MISSING,
                                           "attempt",
                                           "would rerun a request that may already have run and is not repeatable",
                                           "abandon the previous attempt with proof that it did not run"),
                                 record);
    case AttemptDecision::KeyReused:
        break;
    }
    return refusalWithRecord(makeError(Wire::ERROR_CODE_KEY_REUSED, "key", "was used for another request", "use a new key"), record);
}

Wire::CommandResult StateMachine::Private::admitIfAllowed(const Wire::Admit &admit, const Wire::RequestRecord *previous)
{
    const Check check = this->checkAdmit(admit);
    if (check.has_error()) {
        Wire::CommandResult result = refusalResult(check.error());
        const Wire::SessionBinding *binding = this->sessions.find(admit.key().organisation(), admit.session(), admit.model());
        if (binding != nullptr) {
            result.set_session_version(binding->version());
        }
        return result;
    }
    Wire::RequestRecord record = admittedRecord(admit, this->appliedIndex, this->timeMs);
    if (previous != nullptr) {
        inheritAttemptState(record, *previous);
    }
    this->requests.put(record);
    if (!admit.session().empty()) {
        this->sessions.recordUse(admit, this->timeMs);
    }
    Wire::EndpointIncarnation incarnation;
    incarnation.set_endpoint(admit.endpoint());
    incarnation.set_incarnation(admit.incarnation());
    this->incarnations.record(incarnation);
    Wire::CommandResult result;
    *result.mutable_admitted() = std::move(record);
    return result;
}

Wire::CommandResult StateMachine::Private::settle(const Wire::Settle &settle)
{
    const Wire::RequestRecord *found = this->requests.find(settle.key());
    if (found == nullptr) {
        return this->missingRecordResult(settle.key());
    }
    if (!isSettledBy(*found, settle.attempt())) {
        return knownResult(*found);
    }
    Wire::RequestRecord record = *found;
    record.set_state(Wire::RECORD_STATE_SETTLED);
    record.set_outcome(settle.outcome());
    // A lost endpoint process reports no final usage, so its last reported usage is billed.
    const Wire::Usage usage = settle.outcome() == Wire::OUTCOME_LOST ? largerUsage(record.usage(), settle.usage()) : settle.usage();
    *record.mutable_usage() = boundedUsage(usage);
    record.set_changed_at_ms(this->timeMs);
    const Wire::Version *version = findVersion(this->configuration.value(), record.version());
    record.set_cost_micros(version == nullptr ? 0 : costMicros(*version, record.usage(), record.outcome()));
    this->requests.put(record);
    this->ledger.add(record);
    return knownResult(record);
}

Wire::CommandResult StateMachine::Private::abandon(const Wire::Abandon &abandon)
{
    const Wire::RequestRecord *found = this->requests.find(abandon.key());
    if (found == nullptr) {
        return this->missingRecordResult(abandon.key());
    }
    if (!isCurrentAttempt(*found, abandon.attempt())) {
        return knownResult(*found);
    }
    const bool isProof = abandon.proof() == Wire::NOT_RUN_PROOF_REFUSED || abandon.proof() == Wire::NOT_RUN_PROOF_TOMBSTONE;
    if (!isProof || abandon.endpoint() != found->endpoint() || abandon.incarnation() != found->incarnation()) {
        return refusalWithRecord(makeError(Wire::ERROR_CODE_PROOF_MISSING,
                                           "proof",
                                           "is not from the endpoint process with the admitted incarnation",
                                           "ask that endpoint process to refuse the run"),
                                 *found);
    }
    Wire::RequestRecord record = *found;
    record.set_state(Wire::RECORD_STATE_ABANDONED);
    if (!record.may_have_run()) {
        record.clear_usage();
    }
    record.set_changed_at_ms(this->timeMs);
    this->requests.put(record);
    return knownResult(record);
}

Wire::CommandResult StateMachine::Private::recordIncarnation(const Wire::EndpointIncarnation &incarnation)
{
    if (!this->incarnations.record(incarnation)) {
        return refusalResult(makeError(Wire::ERROR_CODE_STALE_INCARNATION, "incarnation", "is older than the newest known one", "stop this process"));
    }
    return doneResult();
}

Wire::CommandResult StateMachine::Private::issueFence(const Wire::TakeFence &fence)
{
    Wire::EndpointIncarnation incarnation;
    incarnation.set_endpoint(fence.endpoint());
    incarnation.set_incarnation(fence.incarnation());
    if (!this->incarnations.record(incarnation)) {
        return refusalResult(
            makeError(Wire::ERROR_CODE_STALE_INCARNATION, "incarnation", "is older than the newest known one", "send no orders and stop this process"));
    }
    Wire::CommandResult result;
    result.set_fence(this->appliedIndex);
    return result;
}

Wire::CommandResult StateMachine::Private::reportUsage(const Wire::ReportUsage &report)
{
    const Wire::RequestRecord *found = this->requests.find(report.key());
    if (found == nullptr) {
        return this->missingRecordResult(report.key());
    }
    if (!isCurrentAttempt(*found, report.attempt())) {
        return knownResult(*found);
    }
    Wire::RequestRecord record = *found;
    *record.mutable_usage() = boundedUsage(largerUsage(record.usage(), report.usage()));
    this->requests.put(record);
    return doneResult();
}

Wire::CommandResult StateMachine::Private::applyChange(const Wire::Command &command)
{
    const std::string &id = command.command_id();
    if (id.empty() || id.size() > MaxCommandIdBytes) {
        return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "command_id", "is missing or longer than 128 bytes", "use a new id for each change"));
    }
    if (std::optional<Wire::CommandResult> answer = this->answered.findAnswer(command)) {
        return *std::move(answer);
    }
    Wire::CommandResult result = this->configuration.apply(command, this->timeMs);
    result.set_index(this->appliedIndex);
    this->answered.record(command, result, this->timeMs);
    return result;
}

Wire::CommandResult StateMachine::Private::applyOrder(const Wire::Command &command)
{
    if (command.has_set_evacuation()) {
        return this->serving.setEvacuation(command.set_evacuation(), this->appliedIndex);
    }
    return this->serving.startRollout(command.start_service_rollout(), this->appliedIndex, this->timeMs);
}

Wire::CommandResult StateMachine::Private::applyOrderOnce(const Wire::Command &command)
{
    const std::string &id = command.command_id();
    // Entries of earlier releases have none.
    if (id.empty()) {
        return this->applyOrder(command);
    }
    if (id.size() > MaxCommandIdBytes) {
        return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "command_id", "is longer than 128 bytes", "use a new id for each order"));
    }
    if (std::optional<Wire::CommandResult> answer = this->answered.findAnswer(command)) {
        return *std::move(answer);
    }
    Wire::CommandResult result = this->applyOrder(command);
    // A conflict applied nothing: its sender may propose the order again, based on the newer state.
    if (result.error().code() != Wire::ERROR_CODE_REVISION_CONFLICT) {
        result.set_index(this->appliedIndex);
        this->answered.record(command, result, this->timeMs);
    }
    return result;
}

Wire::CommandResult StateMachine::Private::missingRecordResult(const Wire::RequestKey &key) const
{
    if (this->requests.isRetired(key)) {
        return knownResult(retiredRecord(key));
    }
    return refusalResult(makeError(Wire::ERROR_CODE_NOT_FOUND, "key", "names no admitted request", "admit it first"));
}

Check StateMachine::Private::checkAdmit(const Wire::Admit &admit) const
{
    return checkAdmissible({this->configuration.value(), this->sessions, this->incarnations}, admit);
}

void StateMachine::Private::expire()
{
    this->requests.retire(this->timeMs - this->options.recordRetentionMs);
    this->answered.expire(this->timeMs - this->options.answerRetentionMs);
    this->sessions.expire(this->timeMs - this->options.sessionRetentionMs);
}

StateMachine::StateMachine(StateMachineOptions options) : d(std::make_unique<Private>())
{
    this->d->options = std::move(options);
}

StateMachine::~StateMachine() = default;

Wire::CommandResult StateMachine::apply(const Wire::Command &command, std::uint64_t index)
{
    this->d->timeMs = std::max(this->d->timeMs, command.time_ms());
    this->d->appliedIndex = index;
    this->d->expire();
    Wire::CommandResult result = this->d->dispatch(command);
    // A resent change returns the index of its first answer.
    if (result.index() == 0) {
        result.set_index(index);
    }
    return result;
}

std::string StateMachine::snapshot() const
{
    Wire::StateSnapshot snapshot;
    snapshot.set_group(this->d->options.group);
    *snapshot.mutable_configuration() = this->d->configuration.value();
    snapshot.set_time_ms(this->d->timeMs);
    snapshot.set_applied_index(this->d->appliedIndex);
    this->d->sessions.save(snapshot);
    this->d->requests.save(snapshot);
    this->d->ledger.save(snapshot);
    this->d->answered.save(snapshot);
    this->d->incarnations.save(snapshot);
    *snapshot.mutable_serving() = this->d->serving.value();
    return snapshot.SerializeAsString();
}

bool StateMachine::restore(std::string_view bytes)
{
    Wire::StateSnapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || snapshot.group() != this->d->options.group) {
        return false;
    }
    this->d->configuration.restore(snapshot.configuration());
    this->d->timeMs = snapshot.time_ms();
    this->d->appliedIndex = snapshot.applied_index();
    this->d->sessions.restore(snapshot);
    this->d->requests.restore(snapshot);
    this->d->ledger.restore(snapshot);
    this->d->answered.restore(snapshot);
    this->d->incarnations.restore(snapshot);
    this->d->serving.restore(snapshot.serving());
    return true;
}

const Wire::Configuration &StateMachine::configuration() const
{
    return this->d->configuration.value();
}

const Wire::ServingState &StateMachine::serving() const
{
    return this->d->serving.value();
}

std::vector<Wire::LedgerDay> StateMachine::ledger(std::string_view organisation, std::string_view day) const
{
    return this->d->ledger.days(organisation, day);
}

Wire::RequestRecord StateMachine::record(const Wire::RequestKey &key) const
{
    if (const Wire::RequestRecord *record = this->d->requests.find(key)) {
        return *record;
    }
    return this->d->requests.isRetired(key) ? retiredRecord(key) : Wire::RequestRecord();
}

std::size_t StateMachine::sessionCount() const
{
    return this->d->sessions.size();
}

std::size_t StateMachine::recordCount() const
{
    return this->d->requests.size();
}

std::size_t StateMachine::retiredKeyCount() const
{
    return this->d->requests.retiredCount();
}

std::uint64_t StateMachine::appliedIndex() const
{
    return this->d->appliedIndex;
}

std::vector<Wire::RequestRecord> StateMachine::orphans() const
{
    std::vector<Wire::RequestRecord> found;
    const std::int64_t abandonedBefore = this->d->timeMs - AbandonedSettleDelayMs;
    this->d->requests.forEachUnbilled([&](const Wire::RequestRecord &record) {
        const bool isGone = this->d->incarnations.isGone(record.endpoint(), record.incarnation());
        const bool isAbandoned = record.state() == Wire::RECORD_STATE_ABANDONED;
        if (isAbandoned ? record.changed_at_ms() < abandonedBefore : isGone) {
            found.push_back(record);
        }
    });
    return found;
}

std::vector<Wire::EndpointIncarnation> StateMachine::incarnations() const
{
    return this->d->incarnations.all();
}

} // namespace Apricothead
