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

/** Chunks that an endpoint process may send ahead. */
constexpr std::uint32_t CreditWindow = 256;
/** How long a request waits for an endpoint to turn up, and how often it looks. */
constexpr std::uint64_t EndpointWaitMs = 1500;
constexpr milliseconds ChooseInterval{50};
constexpr unsigned RefusedAdmissionsLimit = 8;
/** Wait after a refusal that shows that this entry's view is outdated. */
constexpr milliseconds OutdatedViewDelay{50};
/** A missing chunk is asked for again after this long. */
constexpr std::uint64_t GapMs = 1000;
/** What is left to settle or void is given up after this long: the endpoint process and the leader settle too. */
constexpr std::uint64_t AftermathMs = 30000;
constexpr unsigned SettleTries = 5;
constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;

} // namespace

StepRun::StepRun(EntryContext &entryContext, StepRunOptions runOptions)
    : context(entryContext), options(std::move(runOptions)), request(*options.request), delay(entryContext.loop, [this] {
        this->choose();
    })
{ }

void StepRun::start()
{
    const std::uint64_t now = this->nowMs();
    this->deadlineMs = now + static_cast<std::uint64_t>(this->context.settings.entry->requestDeadline.count());
    this->chooseUntilMs = now + EndpointWaitMs;
    this->sessionVersion = this->context.sessions.version(this->request.organisation, this->request.session, this->options.model);
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
                         .rolloutFull = this->context.rollouts.isFull(this->context.configuration(), this->options.model, this->context.wallClockMs())});
    if (version.version.empty()) {
        CallerError error = noVersionError(version.reason, this->options.model);
        error.verdict = this->soFar;
        this->endAndFinish(std::move(error));
        return;
    }
    this->chosenVersion = version.version;
    RoutingRequest routing;
    routing.model = this->options.model;
    routing.version = version.version;
    routing.promptTokens = this->request.promptTokens;
    routing.avoid = this->avoid;
    routing.homeKey = this->homeKey();
    const RoutingDecision chosen = this->context.pool.choose(std::move(routing), this->options.prefixes, this->request.id);
    if (!chosen.endpoint.empty()) {
        this->admit(chosen);
        return;
    }
    if (this->nowMs() >= this->chooseUntilMs) {
        CallerError error = noEndpointError(chosen.reason);
        error.verdict = this->soFar;
        this->endAndFinish(std::move(error));
        return;
    }
    this->chooseLater(ChooseInterval);
}

void StepRun::chooseLater(milliseconds wait)
{
    this->phase = Phase::Choosing;
    this->delay.startOnce(wait);
}

void StepRun::admit(const RoutingDecision &chosen)
{
    this->phase = Phase::Admitting;
    this->decision = chosen;
    this->admitSinceMs = this->nowMs();
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
    this->proposed = admit;
    Wire::Command command;
    *command.mutable_admit() = std::move(admit);
    this->context.propose(std::move(command), [weak = this->weak_from_this()](const ProposeOutcome &outcome) {
        if (const std::shared_ptr<StepRun> self = weak.lock()) {
            self->admissionDecided(outcome);
        }
    });
}

void StepRun::admissionDecided(const ProposeOutcome &outcome)
{
    this->admittingMs += this->nowMs() - this->admitSinceMs;
    if (this->phase != Phase::Admitting) {
        return;
    }
    if (outcome.status == Wire::PROPOSE_STATUS_APPLIED && outcome.result.has_admitted()) {
        if (this->isEnded || this->hasLeft) {
            this->startVoiding();
            return;
        }
        this->context.sessions.remember(this->request.organisation, this->request.session, this->options.model, outcome.result.admitted().version());
        this->dispatch(outcome.result.admitted(), false);
        return;
    }
    if (this->isEnded || this->hasLeft) {
        this->finish();
        return;
    }
    if (outcome.status == Wire::PROPOSE_STATUS_APPLIED) {
        this->admissionRefused(outcome.result);
        return;
    }
    // Nothing was dispatched, so the request did not run; an admission that may yet commit is made void.
    CallerError error = noQuorumError();
    error.verdict = this->soFar;
    this->end(std::move(error));
    if (outcome.status == Wire::PROPOSE_STATUS_UNKNOWN) {
        this->startVoiding();
    } else {
        this->finish();
    }
}

void StepRun::admissionRefused(const Wire::CommandResult &result)
{
    if (result.has_known()) {
        this->takeKnown(result.known());
        return;
    }
    if (result.error().code() == Wire::ERROR_CODE_PROOF_MISSING && result.has_standing()) {
        this->takeKnown(result.standing());
        return;
    }
    const Wire::Error &error = result.error();
    logLine(LogLevel::Info,
            "admission-refused",
            {{"request", this->request.id}, {"endpoint", this->decision.endpoint}, {"version", this->chosenVersion}, {"error", error.message()}});
    const bool isSessionBound = error.code() == Wire::ERROR_CODE_SESSION_BOUND && !result.session_version().empty();
    const bool isEndpointOutdated = error.code() == Wire::ERROR_CODE_DRAINED || error.code() == Wire::ERROR_CODE_STALE_INCARNATION;
    const bool isVersionOutdated = error.code() == Wire::ERROR_CODE_WITHDRAWN;
    const bool mayChooseAgain = (isSessionBound || isEndpointOutdated || isVersionOutdated) && ++this->refusedAdmissions < RefusedAdmissionsLimit;
    if (!mayChooseAgain) {
        CallerError callerError = admissionError(error);
        callerError.verdict = combined(this->soFar, callerError.verdict);
        this->endAndFinish(std::move(callerError));
        return;
    }
    if (isSessionBound) {
        this->sessionVersion = result.session_version();
        this->context.sessions.remember(this->request.organisation, this->request.session, this->options.model, this->sessionVersion);
        this->choose();
        return;
    }
    if (isEndpointOutdated) {
        this->avoid.push_back(this->decision.endpoint);
    }
    this->chooseLater(OutdatedViewDelay);
}

void StepRun::takeKnown(const Wire::RequestRecord &known)
{
    switch (known.state()) {
    case Wire::RECORD_STATE_ADMITTED:
        // Whoever comes first starts it: the endpoint process runs an attempt at most once.
        this->dispatch(known, false);
        return;
    case Wire::RECORD_STATE_SETTLED:
        this->dispatch(known, true);
        return;
    case Wire::RECORD_STATE_ABANDONED:
        this->noteEarlierAttempt(known);
        this->nextAttempt = known.attempt() + 1;
        if (++this->refusedAdmissions < RefusedAdmissionsLimit) {
            this->choose();
            return;
        }
        this->endAndFinish(refusedRunError(Wire::REFUSAL_REASON_UNSPECIFIED, this->soFar));
        return;
    default:
        this->endAndFinish(answerGoneError(known));
        return;
    }
}

void StepRun::noteEarlierAttempt(const Wire::RequestRecord &abandoned)
{
    // The newest attempt did not run, but an earlier one was lost under way.
    if (abandoned.may_have_run()) {
        this->soFar = combined(this->soFar, Verdict::MayHaveRun);
    }
}

void StepRun::dispatch(const Wire::RequestRecord &admitted, bool attachOnly)
{
    this->phase = Phase::Running;
    this->phaseSinceMs = this->nowMs();
    this->record = admitted;
    this->chosenVersion = admitted.version();
    this->isAttachOnly = attachOnly;
    this->nextChunk = 0;
    this->gapSinceMs = 0;
    ++this->attempts;
    if (!attachOnly && admitted.endpoint() == this->decision.endpoint) {
        this->ticket = this->context.pool.started(this->decision, this->options.prefixes);
    }
    if (!attachOnly && !this->dispatchedMs) {
        this->dispatchedMs = this->nowMs();
        this->context.rollouts.noteStarted(this->chosenVersion, this->context.wallClockMs());
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
    run.set_credit(CreditWindow);
    this->grantedUpTo = this->nextChunk + CreditWindow;
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::receive(const Wire::Envelope &message)
{
    switch (message.body_case()) {
    case Wire::Envelope::kRunStarted:
        this->takeStarted(message.run_started());
        return;
    case Wire::Envelope::kChunk:
        this->takeChunk(message.chunk());
        return;
    case Wire::Envelope::kRunDone:
        this->takeDone(message.run_done());
        return;
    case Wire::Envelope::kRunRefused:
        this->takeRefused(message.run_refused());
        return;
    default:
        return;
    }
}

void StepRun::takeStarted(const Wire::RunStarted &started)
{
    if (this->phase != Phase::Running || this->nextChunk > 0) {
        return;
    }
    this->soFar = combined(this->soFar, Verdict::MayHaveRun);
    if (!this->isEnded && !this->hasLeft) {
        this->options.onHead(started.status(), started.content_type(), this->record.version());
    }
}

void StepRun::takeChunk(const Wire::Chunk &chunk)
{
    if (this->phase != Phase::Running || chunk.number() < this->nextChunk) {
        return;
    }
    if (chunk.number() > this->nextChunk) {
        this->gapSinceMs = this->gapSinceMs == 0 ? this->nowMs() : this->gapSinceMs;
        return;
    }
    ++this->nextChunk;
    this->gapSinceMs = 0;
    // The deadline bounds the wait for the next piece, not the length of an answer.
    this->deadlineMs = this->nowMs() + static_cast<std::uint64_t>(this->context.settings.entry->requestDeadline.count());
    if (this->dispatchedMs && this->nextChunk == 1) {
        this->firstTokenMs = this->nowMs() - *this->dispatchedMs;
    }
    if (this->ticket && this->nextChunk == 1) {
        this->context.pool.firstToken(*this->ticket);
    }
    if (!this->isEnded && !this->hasLeft) {
        this->options.onChunk(chunk.data());
    }
    this->grantCredit();
}

void StepRun::grantCredit()
{
    const bool isLow = this->grantedUpTo < this->nextChunk + CreditWindow / 2;
    const bool isTaking = this->isEnded || this->hasLeft || this->options.isTaking();
    if (!isLow || !isTaking) {
        return;
    }
    Wire::Envelope message;
    Wire::ChunkCredit &credit = *message.mutable_chunk_credit();
    *credit.mutable_key() = this->record.key();
    credit.set_attempt(this->record.attempt());
    credit.set_next_chunk(this->nextChunk);
    credit.set_credit(CreditWindow);
    this->grantedUpTo = this->nextChunk + CreditWindow;
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::resume()
{
    if (this->phase == Phase::Running) {
        this->grantCredit();
    }
}

void StepRun::takeDone(const Wire::RunDone &done)
{
    const bool isExpected = this->phase == Phase::Running || this->phase == Phase::Voiding;
    if (!isExpected) {
        return;
    }
    if (this->phase == Phase::Running && done.chunks() > this->nextChunk && !this->isEnded && !this->hasLeft) {
        this->gapSinceMs = this->gapSinceMs == 0 ? this->nowMs() : this->gapSinceMs;
        return;
    }
    this->acknowledge(done);
    const bool isWhole = done.outcome() == Wire::OUTCOME_WHOLE;
    const bool isServiceAnswer = !this->request.payload.chat() && done.outcome() == Wire::OUTCOME_FAILED && done.status() > 0;
    this->soFar = combined(this->soFar, verdictOf(done.verdict()));
    // A refusal of the caller's own mistake says nothing of the endpoint and its version.
    const bool isCallersMistake = done.status() >= FirstErrorStatus && done.status() < FirstServerErrorStatus;
    const bool isNeutral = done.outcome() == Wire::OUTCOME_CANCELLED || isCallersMistake;
    this->endTicket(isWhole ? RunOutcome::Complete : isNeutral ? RunOutcome::Neutral : RunOutcome::Failed);
    if (isWhole) {
        this->context.retries.recordSuccess();
    }
    StepEnd stepEnd{.isWhole = isWhole || isServiceAnswer, .version = this->record.version(), .usage = done.usage(), .error = brokenRunError(done)};
    stepEnd.error.verdict = this->soFar;
    this->endStep(stepEnd);
    if (this->isAttachOnly) {
        this->finish();
        return;
    }
    this->settle(done.outcome(), done.usage());
}

void StepRun::acknowledge(const Wire::RunDone &done)
{
    // An endpoint process that stops waits until the answer has been fetched.
    Wire::Envelope message;
    Wire::ChunkCredit &credit = *message.mutable_chunk_credit();
    *credit.mutable_key() = done.key();
    credit.set_attempt(done.attempt());
    credit.set_next_chunk(done.chunks());
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::takeRefused(const Wire::RunRefused &refused)
{
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
    this->endTicket(RunOutcome::Neutral);
    logLine(LogLevel::Info,
            "run-refused",
            {{"request", this->request.id},
             {"endpoint", this->record.endpoint()},
             {"reason", Wire::RefusalReason_Name(refused.reason())},
             {"verdict", std::string(verdictName(verdictOf(refused.verdict())))}});
    if (this->isAttachOnly) {
        this->endAndFinish(answerGoneError(this->record));
        return;
    }
    if (isNotRun) {
        this->abandon(refused);
        return;
    }
    if (refused.reason() == Wire::REFUSAL_REASON_OTHER_INCARNATION) {
        this->lose();
        return;
    }
    CallerError error = answerGoneError(this->record);
    error.verdict = combined(this->soFar, verdictOf(refused.verdict()));
    this->endAndFinish(std::move(error));
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
    abandon.set_endpoint(this->proposed.endpoint());
    abandon.set_incarnation(refused.incarnation());
    if (this->record.attempt() == refused.attempt()) {
        abandon.set_endpoint(this->record.endpoint());
    }
    abandon.set_reason(Wire::RefusalReason_Name(refused.reason()));
    this->context.propose(std::move(command), [weak = this->weak_from_this(), reason = refused.reason()](const ProposeOutcome &outcome) {
        if (const std::shared_ptr<StepRun> self = weak.lock()) {
            self->abandonDecided(outcome, reason);
        }
    });
}

void StepRun::abandonDecided(const ProposeOutcome &outcome, Wire::RefusalReason reason)
{
    if (this->phase != Phase::Abandoning) {
        return;
    }
    if (this->isEnded || this->hasLeft) {
        this->finish();
        return;
    }
    if (outcome.status != Wire::PROPOSE_STATUS_APPLIED || !outcome.result.has_known()) {
        CallerError error = noQuorumError();
        error.verdict = this->soFar;
        this->endAndFinish(std::move(error));
        return;
    }
    const Wire::RequestRecord &known = outcome.result.known();
    if (known.state() != Wire::RECORD_STATE_ABANDONED) {
        this->takeKnown(known);
        return;
    }
    this->noteEarlierAttempt(known);
    this->nextAttempt = known.attempt() + 1;
    this->avoid.push_back(this->record.endpoint());
    this->tryAgain(refusedRunError(reason, this->soFar));
}

void StepRun::tryAgain(const CallerError &otherwise)
{
    const std::uint64_t now = this->nowMs();
    const double left = this->deadlineMs > now ? static_cast<double>(this->deadlineMs - now) : 0;
    const RetryDecision retry = this->context.retries.decide({.verdict = this->soFar,
                                                              .repeatable = this->record.repeatable(),
                                                              .answerStarted = this->options.hasStarted(),
                                                              .attemptsMade = this->attempts,
                                                              .deadlineLeftMs = left,
                                                              .expectedMs = this->decision.predictedMs},
                                                             static_cast<double>(now));
    logLine(LogLevel::Info,
            "retry-decision",
            {{"request", this->request.id}, {"retry", retry.retry}, {"reason", retry.reason}, {"attempts", std::uint64_t{this->attempts}}});
    if (!retry.retry) {
        this->endAndFinish(otherwise);
        return;
    }
    this->chooseUntilMs = now + EndpointWaitMs;
    this->chooseLater(milliseconds(static_cast<std::int64_t>(retry.delayMs)));
}

void StepRun::linkConnected(const std::string &endpoint)
{
    if (this->phase == Phase::Running && this->record.endpoint() == endpoint) {
        this->sendRun();
    }
    if (this->phase == Phase::Voiding && this->proposed.endpoint() == endpoint) {
        this->sendVoid();
    }
}

void StepRun::tick()
{
    if (this->phase == Phase::Finished) {
        return;
    }
    const std::uint64_t now = this->nowMs();
    const bool isAftermath = this->phase == Phase::Voiding || this->phase == Phase::Settling || this->isEnded || this->hasLeft;
    const bool isGivenUp = isAftermath && this->phaseSinceMs > 0 && now - this->phaseSinceMs > AftermathMs && this->phase != Phase::Running;
    if (isGivenUp) {
        this->finish();
        return;
    }
    if (this->phase == Phase::Running) {
        this->checkLink();
    }
    if (this->phase != Phase::Finished && !this->isEnded && !this->hasLeft) {
        this->checkDeadline();
    }
}

void StepRun::checkLink()
{
    const std::string &endpoint = this->record.endpoint();
    const std::uint64_t silentMs = this->context.pool.silentMs(endpoint);
    const std::uint64_t newest = this->context.pool.incarnation(endpoint);
    const TimingSettings &timing = this->context.settings.timing;
    const bool isRestarted = newest > this->record.incarnation();
    const bool mayMove = this->record.repeatable() && !this->isAttachOnly && !this->options.hasStarted();
    const bool isGone = silentMs > static_cast<std::uint64_t>((mayMove ? timing.endpointSilence : timing.endpointLost).count());
    if (isRestarted || isGone) {
        this->lose();
        return;
    }
    const bool hasGap = this->gapSinceMs > 0 && this->nowMs() - this->gapSinceMs > GapMs;
    if (hasGap && silentMs == 0) {
        this->gapSinceMs = 0;
        this->sendRun();
    }
}

void StepRun::checkDeadline()
{
    if (this->nowMs() < this->deadlineMs) {
        return;
    }
    const bool isDispatched = this->phase == Phase::Running;
    const Verdict verdict = isDispatched ? combined(this->soFar, Verdict::MayHaveRun) : this->soFar;
    if (isDispatched && this->request.repeatable) {
        this->sendCancel();
    }
    this->phaseSinceMs = this->nowMs();
    if (this->phase == Phase::Choosing) {
        this->endAndFinish(deadlineError(verdict));
        return;
    }
    this->end(deadlineError(verdict));
}

void StepRun::lose()
{
    this->endTicket(RunOutcome::Failed);
    if (this->isAttachOnly) {
        this->endAndFinish(answerGoneError(this->record));
        return;
    }
    this->soFar = combined(this->soFar, Verdict::MayHaveRun);
    const CallerError error = lostRunError(this->soFar);
    if (this->isEnded || this->hasLeft) {
        this->finish();
        return;
    }
    this->nextAttempt = this->record.attempt() + 1;
    this->avoid.push_back(this->record.endpoint());
    this->tryAgain(error);
}

void StepRun::startVoiding()
{
    this->phase = Phase::Voiding;
    this->phaseSinceMs = this->nowMs();
    this->sendVoid();
}

void StepRun::sendVoid()
{
    Wire::Envelope message;
    Wire::Void &neverRun = *message.mutable_void_run();
    *neverRun.mutable_key() = this->key();
    neverRun.set_attempt(this->proposed.attempt());
    neverRun.set_incarnation(this->proposed.incarnation());
    neverRun.set_gate_time_ms(this->proposed.gate_time_ms());
    this->context.pool.send(this->proposed.endpoint(), std::move(message));
}

void StepRun::settle(Wire::Outcome outcome, const Wire::Usage &usage)
{
    this->phase = Phase::Settling;
    this->phaseSinceMs = this->nowMs();
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
        if (proposal.status == Wire::PROPOSE_STATUS_APPLIED || ++self->settleTries >= SettleTries) {
            self->finish();
            return;
        }
        self->settle(outcome, usage);
    });
}

void StepRun::leave()
{
    if (std::exchange(this->hasLeft, true) || this->isEnded) {
        return;
    }
    this->phaseSinceMs = this->nowMs();
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
    // What comes still is read and dropped, so that the run ends and is settled.
    this->grantCredit();
}

bool StepRun::isCancellable() const
{
    return !this->request.isKeyGiven && this->request.repeatable && !this->isAttachOnly;
}

void StepRun::sendCancel()
{
    Wire::Envelope message;
    *message.mutable_cancel()->mutable_key() = this->record.key();
    message.mutable_cancel()->set_attempt(this->record.attempt());
    this->context.pool.send(this->record.endpoint(), std::move(message));
}

void StepRun::end(CallerError error)
{
    StepEnd stepEnd;
    stepEnd.version = this->chosenVersion;
    stepEnd.error = std::move(error);
    this->endStep(stepEnd);
}

void StepRun::endAndFinish(CallerError error)
{
    this->end(std::move(error));
    this->finish();
}

void StepRun::endStep(const StepEnd &stepEnd)
{
    if (std::exchange(this->isEnded, true) || this->hasLeft) {
        return;
    }
    this->options.onEnd(stepEnd);
}

void StepRun::endEvidence(RunOutcome runEnd)
{
    if (!this->dispatchedMs) {
        return;
    }
    this->dispatchedMs.reset();
    const AnswerEnd answerEnd = runEnd == RunOutcome::Complete ? AnswerEnd::Whole : runEnd == RunOutcome::Failed ? AnswerEnd::Bad : AnswerEnd::Dropped;
    const bool isDelivered = runEnd == RunOutcome::Complete && !this->isEnded && !this->hasLeft;
    this->context.rollouts.noteEnded(this->options.model,
                                     this->record.version(),
                                     answerEnd,
                                     static_cast<double>(this->firstTokenMs),
                                     isDelivered && this->options.awaitsRating(),
                                     this->context.wallClockMs());
}

void StepRun::endTicket(RunOutcome runEnd)
{
    this->endEvidence(runEnd);
    if (this->ticket) {
        this->context.pool.finished(*this->ticket, runEnd);
        this->ticket.reset();
    }
}

void StepRun::finish()
{
    this->endTicket(RunOutcome::Neutral);
    this->delay.stop();
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

bool StepRun::isRun(const Wire::RequestKey &runKey, unsigned attempt) const
{
    const unsigned current = this->phase == Phase::Voiding ? this->proposed.attempt() : this->record.attempt();
    return attempt == current && runKey.key() == this->request.id && runKey.organisation() == this->request.organisation && runKey.step() == this->options.step;
}

Verdict StepRun::verdict() const
{
    return this->soFar;
}

std::uint64_t StepRun::admissionMs() const
{
    return this->admittingMs;
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
