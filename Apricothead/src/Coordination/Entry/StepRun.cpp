#include "StepRun.h"

#include "../../Decisions/VersionChoice.h"
#include "RunErrors.h"
#include "RunRegistry.h"

#include "../../Protocol/WireVerdict.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

/** How long a request waits for a usable endpoint, and how often it tries to choose one. */
constexpr std::uint64_t MaxEndpointWaitMs = 1500;
constexpr milliseconds ChooseInterval{50};
constexpr unsigned MaxRefusedAdmissions = 8;
/** Wait after a refusal that shows that this entry's configuration or directory is stale. */
constexpr milliseconds StaleViewDelay{50};
/** A missing chunk is requested again after this time. */
constexpr std::uint64_t ChunkGapTimeoutMs = 1000;
/** Settling and voiding are given up after this time: the endpoint process and the leader settle too. */
constexpr std::uint64_t CleanupTimeoutMs = 30000;
constexpr unsigned MaxSettleAttempts = 5;
constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;

} // namespace

StepRun::StepRun(EntryContext &entryContext, StepRunOptions runOptions)
    : context(entryContext), options(std::move(runOptions)), request(*options.request), chooseTimer(entryContext.loop, [this] {
        this->choose();
    })
{ }

void StepRun::start()
{
    const std::uint64_t now = this->nowMs();
    this->deadlineMs = now + static_cast<std::uint64_t>(this->context.settings.entry->requestDeadline.count());
    this->chooseDeadlineMs = now + MaxEndpointWaitMs;
    this->sessionVersion = this->context.sessionCache.version(this->request.organisation, this->request.session, this->options.model);
    this->choose();
}

void StepRun::choose()
{
    this->phase = Phase::Choosing;
    const VersionDecision version
        = chooseVersion(this->context.configuration(),
                        {.organisation = this->request.organisation,
                         .model = this->options.model,
                         .subject = this->request.session.empty() ? this->request.id : this->request.session,
                         .sessionVersion = this->sessionVersion,
                         .rolloutFull = this->context.rollouts.isRolloutFull(this->context.configuration(), this->options.model, this->context.wallClockMs())});
    if (version.version.empty()) {
        CallerError error = noVersionError(version.reason, this->options.model);
        error.verdict = this->verdictSoFar;
        this->failAndFinish(std::move(error));
        return;
    }
    this->chosenVersion = version.version;
    RoutingRequest routing;
    routing.model = this->options.model;
    routing.version = version.version;
    routing.promptTokens = this->request.promptTokens;
    routing.avoid = this->excludedEndpoints;
    routing.homeKey = this->homeKey();
    const RoutingDecision chosen = this->context.pool.choose(std::move(routing), this->options.prefixes, this->request.id);
    if (!chosen.endpoint.empty()) {
        this->admit(chosen);
        return;
    }
    if (this->nowMs() >= this->chooseDeadlineMs) {
        CallerError error = noEndpointError(chosen.reason);
        error.verdict = this->verdictSoFar;
        this->failAndFinish(std::move(error));
        return;
    }
    this->scheduleChoose(ChooseInterval);
}

void StepRun::scheduleChoose(milliseconds wait)
{
    this->phase = Phase::Choosing;
    this->chooseTimer.startOnce(wait);
}

void StepRun::admit(const RoutingDecision &chosen)
{
    this->phase = Phase::Admitting;
    this->routingDecision = chosen;
    this->admissionStartedMs = this->nowMs();
    Wire::Admit admit;
    *admit.mutable_key() = this->key();
    admit.set_attempt(this->nextAttempt);
    admit.set_model(this->options.model);
    admit.set_version(this->chosenVersion);
    admit.set_endpoint(chosen.endpoint);
    admit.set_incarnation(chosen.incarnation);
    admit.set_session(this->request.session);
    admit.set_repeatable(this->request.repeatable);
    admit.set_gate_time_ms(this->context.pool.gateTimeMs(chosen.endpoint));
    admit.set_fingerprint(this->request.fingerprint);
    admit.set_entry(this->context.settings.process);
    this->proposedAdmission = admit;
    Wire::Command command;
    *command.mutable_admit() = std::move(admit);
    this->context.propose(std::move(command), [weak = this->weak_from_this()](const ProposeOutcome &outcome) {
        if (const std::shared_ptr<StepRun> self = weak.lock()) {
            self->handleAdmissionOutcome(outcome);
        }
    });
}

void StepRun::handleAdmissionOutcome(const ProposeOutcome &outcome)
{
    this->totalAdmissionMs += this->nowMs() - this->admissionStartedMs;
    if (this->phase != Phase::Admitting) {
        return;
    }
    if (outcome.status == Wire::PROPOSE_STATUS_APPLIED && outcome.result.has_admitted()) {
        if (this->isEnded || this->isCallerGone) {
            this->startVoiding();
            return;
        }
        this->context.sessionCache.store(this->request.organisation, this->request.session, this->options.model, outcome.result.admitted().version());
        this->dispatch(outcome.result.admitted(), false);
        return;
    }
    if (this->isEnded || this->isCallerGone) {
        this->finish();
        return;
    }
    if (outcome.status == Wire::PROPOSE_STATUS_APPLIED) {
        this->handleAdmissionRefusal(outcome.result);
        return;
    }
    // Nothing was dispatched, so the request did not run; an admission that may still commit is voided.
    CallerError error = noQuorumError();
    error.verdict = this->verdictSoFar;
    this->fail(std::move(error));
    if (outcome.status == Wire::PROPOSE_STATUS_UNKNOWN) {
        this->startVoiding();
    } else {
        this->finish();
    }
}

void StepRun::handleAdmissionRefusal(const Wire::CommandResult &result)
{
    if (result.has_known()) {
        this->continueFromRecord(result.known());
        return;
    }
    if (result.error().code() == Wire::ERROR_CODE_PROOF_MISSING && result.has_standing()) {
        this->continueFromRecord(result.standing());
        return;
    }
    const Wire::Error &error = result.error();
    logLine(LogLevel::Info,
            "admission-refused",
            {{"request", this->request.id}, {"endpoint", this->routingDecision.endpoint}, {"version", this->chosenVersion}, {"error", error.message()}});
    const bool isSessionBound = error.code() == Wire::ERROR_CODE_SESSION_BOUND && !result.session_version().empty();
    const bool isEndpointStale = error.code() == Wire::ERROR_CODE_DRAINED || error.code() == Wire::ERROR_CODE_STALE_INCARNATION;
    const bool isVersionStale = error.code() == Wire::ERROR_CODE_WITHDRAWN;
    const bool canChooseAgain = (isSessionBound || isEndpointStale || isVersionStale) && ++this->refusedAdmissions < MaxRefusedAdmissions;
    if (!canChooseAgain) {
        CallerError callerError = admissionError(error);
        callerError.verdict = combined(this->verdictSoFar, callerError.verdict);
        this->failAndFinish(std::move(callerError));
        return;
    }
    if (isSessionBound) {
        this->sessionVersion = result.session_version();
        this->context.sessionCache.store(this->request.organisation, this->request.session, this->options.model, this->sessionVersion);
        this->choose();
        return;
    }
    if (isEndpointStale) {
        this->excludedEndpoints.push_back(this->routingDecision.endpoint);
    }
    this->scheduleChoose(StaleViewDelay);
}

void StepRun::continueFromRecord(const Wire::RequestRecord &knownRecord)
{
    switch (knownRecord.state()) {
    case Wire::RECORD_STATE_ADMITTED:
        // Several entries may dispatch the same attempt: the endpoint process runs it at most once.
        this->dispatch(knownRecord, false);
        return;
    case Wire::RECORD_STATE_SETTLED:
        this->dispatch(knownRecord, true);
        return;
    case Wire::RECORD_STATE_ABANDONED:
        this->recordEarlierAttempt(knownRecord);
        this->nextAttempt = knownRecord.attempt() + 1;
        if (++this->refusedAdmissions < MaxRefusedAdmissions) {
            this->choose();
            return;
        }
        this->failAndFinish(refusedRunError(Wire::REFUSAL_REASON_UNSPECIFIED, this->verdictSoFar));
        return;
    default:
        this->failAndFinish(answerGoneError(knownRecord));
        return;
    }
}

void StepRun::recordEarlierAttempt(const Wire::RequestRecord &abandoned)
{
    // The newest attempt did not run, but an earlier one was lost after its dispatch.
    if (abandoned.may_have_run()) {
        this->verdictSoFar = combined(this->verdictSoFar, Verdict::MayHaveRun);
    }
}

void StepRun::dispatch(const Wire::RequestRecord &admitted, bool attachOnly)
{
    this->phase = Phase::Running;
    this->phaseStartedMs = this->nowMs();
    this->record = admitted;
    this->chosenVersion = admitted.version();
    this->isAttachOnly = attachOnly;
    this->nextChunk = 0;
    this->gapDetectedMs = 0;
    ++this->attempts;
    if (!attachOnly && admitted.endpoint() == this->routingDecision.endpoint) {
        this->runHandle = this->context.pool.recordStarted(this->routingDecision, this->options.prefixes);
    }
    if (!attachOnly && !this->dispatchedMs) {
        this->dispatchedMs = this->nowMs();
        this->context.rollouts.recordStarted(this->chosenVersion, this->context.wallClockMs());
    }
    this->sendRun();
}

void StepRun::sendRun()
{
    Wire::Envelope message;
    Wire::Run &run = *message.mutable_run();
    Wire::Admission &admission = *run.mutable_admission();
    *admission.mutable_key() = this->record.key();
    admission.set_attempt(this->record.attempt());
    admission.set_model(this->record.model());
    admission.set_version(this->record.version());
    admission.set_endpoint(this->record.endpoint());
    admission.set_incarnation(this->record.incarnation());
    admission.set_revision(this->context.configuration().revision());
    admission.set_index(this->record.admitted_index());
    admission.set_gate_time_ms(this->record.gate_time_ms());
    admission.set_repeatable(this->record.repeatable());
    if (!this->isAttachOnly) {
        *run.mutable_payload() = this->request.payload;
    }
    run.set_from_chunk(this->nextChunk);
    run.set_attach_only(this->isAttachOnly);
    run.set_credit(this->creditWindow.start(this->nextChunk));
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::receive(const Wire::Envelope &message)
{
    switch (message.body_case()) {
    case Wire::Envelope::kRunStarted:
        this->handleRunStarted(message.run_started());
        return;
    case Wire::Envelope::kChunk:
        this->handleChunk(message.chunk());
        return;
    case Wire::Envelope::kRunDone:
        this->handleRunDone(message.run_done());
        return;
    case Wire::Envelope::kRunRefused:
        this->handleRunRefused(message.run_refused());
        return;
    default:
        return;
    }
}

void StepRun::handleRunStarted(const Wire::RunStarted &started)
{
    if (this->phase != Phase::Running || this->nextChunk > 0) {
        return;
    }
    this->verdictSoFar = combined(this->verdictSoFar, Verdict::MayHaveRun);
    if (!this->isEnded && !this->isCallerGone) {
        this->options.onHead(started.status(), started.content_type(), this->record.version());
    }
}

void StepRun::handleChunk(const Wire::Chunk &chunk)
{
    if (this->phase != Phase::Running || chunk.number() < this->nextChunk) {
        return;
    }
    if (chunk.number() > this->nextChunk) {
        this->gapDetectedMs = this->gapDetectedMs == 0 ? this->nowMs() : this->gapDetectedMs;
        return;
    }
    ++this->nextChunk;
    this->creditWindow.recordChunk(chunk.data().size());
    this->gapDetectedMs = 0;
    // The deadline limits the wait for the next chunk, not the duration of an answer.
    this->deadlineMs = this->nowMs() + static_cast<std::uint64_t>(this->context.settings.entry->requestDeadline.count());
    if (this->dispatchedMs && this->nextChunk == 1) {
        this->firstTokenMs = this->nowMs() - *this->dispatchedMs;
    }
    if (this->runHandle && this->nextChunk == 1) {
        this->context.pool.recordFirstToken(*this->runHandle);
    }
    if (!this->isEnded && !this->isCallerGone) {
        this->options.onChunk(chunk.data());
    }
    this->grantCredit();
}

void StepRun::grantCredit()
{
    const bool isReading = this->isEnded || this->isCallerGone || this->options.canAcceptChunks();
    if (!isReading || !this->creditWindow.isLow(this->nextChunk)) {
        return;
    }
    Wire::Envelope message;
    Wire::ChunkCredit &credit = *message.mutable_chunk_credit();
    *credit.mutable_key() = this->record.key();
    credit.set_attempt(this->record.attempt());
    credit.set_next_chunk(this->nextChunk);
    credit.set_credit(this->creditWindow.renew(this->nextChunk));
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::resume()
{
    if (this->phase == Phase::Running) {
        this->grantCredit();
    }
}

void StepRun::handleRunDone(const Wire::RunDone &done)
{
    const bool isExpected = this->phase == Phase::Running || this->phase == Phase::Voiding;
    if (!isExpected) {
        return;
    }
    if (this->phase == Phase::Running && done.chunks() > this->nextChunk && !this->isEnded && !this->isCallerGone) {
        this->gapDetectedMs = this->gapDetectedMs == 0 ? this->nowMs() : this->gapDetectedMs;
        return;
    }
    this->acknowledge(done);
    const bool isComplete = done.outcome() == Wire::OUTCOME_WHOLE;
    const bool isServiceAnswer = !this->request.payload.chat() && done.outcome() == Wire::OUTCOME_FAILED && done.status() > 0;
    this->verdictSoFar = combined(this->verdictSoFar, verdictOf(done.verdict()));
    // A client error is no evidence on the endpoint or its version.
    const bool isClientError = done.status() >= FirstErrorStatus && done.status() < FirstServerErrorStatus;
    const bool isNeutral = done.outcome() == Wire::OUTCOME_CANCELLED || isClientError;
    this->releaseRunHandle(isComplete ? RunOutcome::Complete : isNeutral ? RunOutcome::Neutral : RunOutcome::Failed);
    if (isComplete) {
        this->context.retryBudget.recordSuccess();
    }
    StepOutcome stepOutcome{
        .isComplete = isComplete || isServiceAnswer, .version = this->record.version(), .usage = done.usage(), .error = failedRunError(done)};
    stepOutcome.error.verdict = this->verdictSoFar;
    this->reportOutcome(stepOutcome);
    if (this->isAttachOnly) {
        this->finish();
        return;
    }
    this->settle(done.outcome(), done.usage());
}

void StepRun::acknowledge(const Wire::RunDone &done)
{
    // An endpoint process that is stopping waits until the answer has been acknowledged.
    Wire::Envelope message;
    Wire::ChunkCredit &credit = *message.mutable_chunk_credit();
    *credit.mutable_key() = done.key();
    credit.set_attempt(done.attempt());
    credit.set_next_chunk(done.chunks());
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

bool StepRun::isAboutThisAdmission(const Wire::RunRefused &refused) const
{
    const bool isVoiding = this->phase == Phase::Voiding;
    const std::uint64_t incarnation = isVoiding ? this->proposedAdmission.incarnation() : this->record.incarnation();
    // Only a process of another incarnation gives this reason for a run.
    if (refused.reason() == Wire::REFUSAL_REASON_OTHER_INCARNATION) {
        return refused.incarnation() != incarnation;
    }
    const std::uint64_t gateTimeMs = isVoiding ? this->proposedAdmission.gate_time_ms() : this->record.gate_time_ms();
    const bool isOlder = refused.gate_time_ms() > 0 && refused.gate_time_ms() < gateTimeMs;
    return refused.incarnation() == incarnation && !isOlder;
}

void StepRun::handleRunRefused(const Wire::RunRefused &refused)
{
    if (!this->isAboutThisAdmission(refused)) {
        return;
    }
    const bool isNotRun = refused.verdict() == Wire::VERDICT_NOT_RUN;
    if (this->phase == Phase::Voiding) {
        if (isNotRun) {
            this->abandon(refused);
        } else {
            this->finish();
        }
        return;
    }
    if (this->phase != Phase::Running) {
        return;
    }
    this->releaseRunHandle(RunOutcome::Neutral);
    logLine(LogLevel::Info,
            "run-refused",
            {{"request", this->request.id},
             {"endpoint", this->record.endpoint()},
             {"reason", Wire::RefusalReason_Name(refused.reason())},
             {"verdict", std::string(verdictName(verdictOf(refused.verdict())))}});
    if (this->isAttachOnly) {
        this->failAndFinish(answerGoneError(this->record));
        return;
    }
    if (isNotRun) {
        this->abandon(refused);
        return;
    }
    if (refused.reason() == Wire::REFUSAL_REASON_OTHER_INCARNATION) {
        this->handleRunLost();
        return;
    }
    CallerError error = answerGoneError(this->record);
    error.verdict = combined(this->verdictSoFar, verdictOf(refused.verdict()));
    this->failAndFinish(std::move(error));
}

void StepRun::abandon(const Wire::RunRefused &refused)
{
    this->phase = Phase::Abandoning;
    const bool isTombstone = refused.reason() == Wire::REFUSAL_REASON_TOMBSTONE || refused.reason() == Wire::REFUSAL_REASON_UNKNOWN_RUN;
    Wire::Command command;
    Wire::Abandon &abandon = *command.mutable_abandon();
    *abandon.mutable_key() = this->key();
    abandon.set_attempt(refused.attempt());
    abandon.set_proof(isTombstone ? Wire::NOT_RUN_PROOF_TOMBSTONE : Wire::NOT_RUN_PROOF_REFUSED);
    abandon.set_endpoint(this->proposedAdmission.endpoint());
    abandon.set_incarnation(refused.incarnation());
    if (this->record.attempt() == refused.attempt()) {
        abandon.set_endpoint(this->record.endpoint());
    }
    abandon.set_reason(Wire::RefusalReason_Name(refused.reason()));
    this->context.propose(std::move(command), [weak = this->weak_from_this(), reason = refused.reason()](const ProposeOutcome &outcome) {
        if (const std::shared_ptr<StepRun> self = weak.lock()) {
            self->handleAbandonOutcome(outcome, reason);
        }
    });
}

void StepRun::handleAbandonOutcome(const ProposeOutcome &outcome, Wire::RefusalReason reason)
{
    if (this->phase != Phase::Abandoning) {
        return;
    }
    if (this->isEnded || this->isCallerGone) {
        this->finish();
        return;
    }
    if (outcome.status != Wire::PROPOSE_STATUS_APPLIED || !outcome.result.has_known()) {
        CallerError error = noQuorumError();
        error.verdict = this->verdictSoFar;
        this->failAndFinish(std::move(error));
        return;
    }
    const Wire::RequestRecord &knownRecord = outcome.result.known();
    if (knownRecord.state() != Wire::RECORD_STATE_ABANDONED) {
        this->continueFromRecord(knownRecord);
        return;
    }
    this->recordEarlierAttempt(knownRecord);
    this->nextAttempt = knownRecord.attempt() + 1;
    this->excludedEndpoints.push_back(this->record.endpoint());
    this->retryOrFail(refusedRunError(reason, this->verdictSoFar));
}

void StepRun::retryOrFail(const CallerError &failure)
{
    const std::uint64_t now = this->nowMs();
    const double remainingMs = this->deadlineMs > now ? static_cast<double>(this->deadlineMs - now) : 0;
    const RetryDecision retry = this->context.retryBudget.decide({.verdict = this->verdictSoFar,
                                                                  .repeatable = this->record.repeatable(),
                                                                  .answerStarted = this->options.hasStarted(),
                                                                  .attemptsMade = this->attempts,
                                                                  .lostRuns = this->lostRuns,
                                                                  .deadlineLeftMs = remainingMs,
                                                                  .expectedMs = this->routingDecision.predictedMs},
                                                                 static_cast<double>(now));
    logLine(LogLevel::Info,
            "retry-decision",
            {{"request", this->request.id}, {"retry", retry.retry}, {"reason", retry.reason}, {"attempts", std::uint64_t{this->attempts}}});
    if (!retry.retry) {
        this->failAndFinish(failure);
        return;
    }
    this->chooseDeadlineMs = now + MaxEndpointWaitMs;
    this->scheduleChoose(milliseconds(static_cast<std::int64_t>(retry.delayMs)));
}

void StepRun::handleLinkConnected(const std::string &endpoint)
{
    if (this->phase == Phase::Running && this->record.endpoint() == endpoint) {
        this->sendRun();
    }
    if (this->phase == Phase::Voiding && this->proposedAdmission.endpoint() == endpoint) {
        this->sendVoid();
    }
}

void StepRun::tick()
{
    if (this->phase == Phase::Finished) {
        return;
    }
    const std::uint64_t now = this->nowMs();
    const bool isCleaningUp = this->phase == Phase::Voiding || this->phase == Phase::Settling || this->isEnded || this->isCallerGone;
    const bool isCleanupOverdue = isCleaningUp && this->phaseStartedMs > 0 && now - this->phaseStartedMs > CleanupTimeoutMs && this->phase != Phase::Running;
    if (isCleanupOverdue) {
        this->finish();
        return;
    }
    if (this->phase == Phase::Running) {
        this->checkLink();
    }
    if (this->phase != Phase::Finished && !this->isEnded && !this->isCallerGone) {
        this->checkDeadline();
    }
}

void StepRun::checkLink()
{
    const std::string &endpoint = this->record.endpoint();
    const std::uint64_t silentForMs = this->context.pool.silentForMs(endpoint);
    const std::uint64_t newestIncarnation = this->context.pool.incarnation(endpoint);
    const TimingSettings &timing = this->context.settings.timing;
    const bool isRestarted = newestIncarnation > this->record.incarnation();
    const bool canMove = this->record.repeatable() && !this->isAttachOnly && !this->options.hasStarted();
    const bool isEndpointLost = silentForMs > static_cast<std::uint64_t>((canMove ? timing.endpointSilence : timing.endpointLost).count());
    if (isRestarted || isEndpointLost) {
        this->handleRunLost();
        return;
    }
    const bool hasGap = this->gapDetectedMs > 0 && this->nowMs() - this->gapDetectedMs > ChunkGapTimeoutMs;
    if (hasGap && silentForMs == 0) {
        this->gapDetectedMs = 0;
        this->sendRun();
    }
}

void StepRun::checkDeadline()
{
    if (this->nowMs() < this->deadlineMs) {
        return;
    }
    const bool isDispatched = this->phase == Phase::Running;
    const Verdict verdict = isDispatched ? combined(this->verdictSoFar, Verdict::MayHaveRun) : this->verdictSoFar;
    if (isDispatched && this->request.repeatable) {
        this->sendCancel();
    }
    this->phaseStartedMs = this->nowMs();
    if (this->phase == Phase::Choosing) {
        this->failAndFinish(deadlineError(verdict));
        return;
    }
    this->fail(deadlineError(verdict));
}

void StepRun::handleRunLost()
{
    this->releaseRunHandle(RunOutcome::Failed);
    if (this->isAttachOnly) {
        this->failAndFinish(answerGoneError(this->record));
        return;
    }
    ++this->lostRuns;
    this->verdictSoFar = combined(this->verdictSoFar, Verdict::MayHaveRun);
    const CallerError error = lostRunError(this->verdictSoFar);
    if (this->isEnded || this->isCallerGone) {
        this->finish();
        return;
    }
    this->nextAttempt = this->record.attempt() + 1;
    this->excludedEndpoints.push_back(this->record.endpoint());
    this->retryOrFail(error);
}

void StepRun::startVoiding()
{
    this->phase = Phase::Voiding;
    this->phaseStartedMs = this->nowMs();
    this->sendVoid();
}

void StepRun::sendVoid()
{
    Wire::Envelope message;
    Wire::Void &voidRun = *message.mutable_void_run();
    *voidRun.mutable_key() = this->key();
    voidRun.set_attempt(this->proposedAdmission.attempt());
    voidRun.set_incarnation(this->proposedAdmission.incarnation());
    voidRun.set_gate_time_ms(this->proposedAdmission.gate_time_ms());
    this->context.pool.send(this->proposedAdmission.endpoint(), std::move(message));
}

void StepRun::settle(Wire::Outcome outcome, const Wire::Usage &usage)
{
    this->phase = Phase::Settling;
    this->phaseStartedMs = this->nowMs();
    Wire::Command command;
    Wire::Settle &settle = *command.mutable_settle();
    *settle.mutable_key() = this->record.key();
    settle.set_attempt(this->record.attempt());
    settle.set_outcome(outcome);
    *settle.mutable_usage() = usage;
    settle.set_settled_by(this->context.settings.process);
    this->context.propose(std::move(command), [weak = this->weak_from_this(), outcome, usage](const ProposeOutcome &proposal) {
        const std::shared_ptr<StepRun> self = weak.lock();
        if (!self || self->phase != Phase::Settling) {
            return;
        }
        if (proposal.status == Wire::PROPOSE_STATUS_APPLIED || ++self->settleAttempts >= MaxSettleAttempts) {
            self->finish();
            return;
        }
        self->settle(outcome, usage);
    });
}

void StepRun::detachCaller()
{
    if (std::exchange(this->isCallerGone, true) || this->isEnded) {
        return;
    }
    this->phaseStartedMs = this->nowMs();
    if (this->phase == Phase::Choosing) {
        this->finish();
        return;
    }
    if (this->phase != Phase::Running) {
        return;
    }
    if (this->isCancellable()) {
        this->sendCancel();
    }
    // Further chunks are read and discarded, so that the run ends and is settled.
    this->grantCredit();
}

bool StepRun::isCancellable() const
{
    return !this->request.hasIdempotencyKey && this->request.repeatable && !this->isAttachOnly;
}

void StepRun::sendCancel()
{
    Wire::Envelope message;
    *message.mutable_cancel()->mutable_key() = this->record.key();
    message.mutable_cancel()->set_attempt(this->record.attempt());
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::fail(CallerError error)
{
    StepOutcome stepOutcome;
    stepOutcome.version = this->chosenVersion;
    stepOutcome.error = std::move(error);
    this->reportOutcome(stepOutcome);
}

void StepRun::failAndFinish(CallerError error)
{
    this->fail(std::move(error));
    this->finish();
}

void StepRun::reportOutcome(const StepOutcome &stepOutcome)
{
    if (std::exchange(this->isEnded, true) || this->isCallerGone) {
        return;
    }
    this->options.onEnd(stepOutcome);
}

void StepRun::recordEvidence(RunOutcome runOutcome)
{
    if (!this->dispatchedMs) {
        return;
    }
    this->dispatchedMs.reset();
    const AnswerOutcome answerOutcome = runOutcome == RunOutcome::Complete ? AnswerOutcome::Complete
        : runOutcome == RunOutcome::Failed                                 ? AnswerOutcome::Failed
                                                                           : AnswerOutcome::Neutral;
    const bool isDelivered = runOutcome == RunOutcome::Complete && !this->isEnded && !this->isCallerGone;
    this->context.rollouts.recordEnded(this->options.model,
                                       this->record.version(),
                                       answerOutcome,
                                       static_cast<double>(this->firstTokenMs),
                                       isDelivered && this->options.awaitsRating(),
                                       this->context.wallClockMs());
}

void StepRun::releaseRunHandle(RunOutcome runOutcome)
{
    this->recordEvidence(runOutcome);
    if (this->runHandle) {
        this->context.pool.recordFinished(*this->runHandle, runOutcome);
        this->runHandle.reset();
    }
}

void StepRun::finish()
{
    this->releaseRunHandle(RunOutcome::Neutral);
    this->chooseTimer.stop();
    this->phase = Phase::Finished;
}

bool StepRun::isFinished() const
{
    return this->phase == Phase::Finished;
}

const std::string &StepRun::version() const
{
    return this->chosenVersion;
}

bool StepRun::matchesRun(const std::string &endpoint, const Wire::RequestKey &runKey, unsigned attempt) const
{
    const bool isVoiding = this->phase == Phase::Voiding;
    const unsigned currentAttempt = isVoiding ? this->proposedAdmission.attempt() : this->record.attempt();
    // An attempt that was proposed for one endpoint may have been admitted to another.
    const std::string &currentEndpoint = isVoiding ? this->proposedAdmission.endpoint() : this->record.endpoint();
    return attempt == currentAttempt && endpoint == currentEndpoint && runKey.key() == this->request.id && runKey.organisation() == this->request.organisation
        && runKey.step() == this->options.step;
}

Verdict StepRun::verdict() const
{
    return this->verdictSoFar;
}

std::uint64_t StepRun::admissionMs() const
{
    return this->totalAdmissionMs;
}

std::uint64_t StepRun::homeKey() const
{
    const std::string &subject = this->request.session.empty() && !this->request.messages.empty() ? this->request.messages.front() : this->request.session;
    return subject.empty() ? 0 : XXH3_64bits(subject.data(), subject.size());
}

Wire::RequestKey StepRun::key() const
{
    Wire::RequestKey runKey;
    runKey.set_organisation(this->request.organisation);
    runKey.set_key(this->request.id);
    runKey.set_step(this->options.step);
    return runKey;
}

std::uint64_t StepRun::nowMs() const
{
    return this->context.loop.nowMs();
}

} // namespace Apricothead
