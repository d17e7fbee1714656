#include "RequestRun.h"

#include "CascadePlan.h"
#include "RunErrors.h"
#include "RunRegistry.h"

#include "../../Protocol/ChatAssembler.h"
#include "../../State/ConfigurationLookup.h"
#include "../../State/Ledger.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds DefaultRatingTimeout{2000};
constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;
constexpr unsigned BadGateway = 502;
/** Above this size the endpoint process gets no further credit until the caller has read some of the answer. */
constexpr std::size_t MaxQueuedBytes = 256 * 1024;
/** A larger answer is delivered without a rating, as it comes. */
constexpr std::size_t MaxBufferedBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxErrorBodyBytes = 64 * 1024;

std::vector<PrefixBlock> prefixesOf(const CallerRequest &request)
{
    const std::vector<std::string_view> messages(request.messages.begin(), request.messages.end());
    return messages.empty() ? std::vector<PrefixBlock>() : prefixChain(messages);
}

} // namespace

RequestRun::RequestRun(EntryContext &entryContext,
                       CallerRequest callerRequest,
                       std::unique_ptr<CallerAnswer> callerAnswer,
                       std::function<void(const RequestOutcome &)> endedHook)
    : context(entryContext)
    , request(std::make_shared<const CallerRequest>(std::move(callerRequest)))
    , answer(std::move(callerAnswer))
    , onEnded(std::move(endedHook))
    , keepAlive(entryContext.loop,
                [this] {
                    this->answer->sendKeepAlive(this->currentStep ? this->currentStep->version() : std::string());
                })
    , prefixes(prefixesOf(*request))
{ }

void RequestRun::attachCaller()
{
    this->startedMs = this->context.loop.nowMs();
    const std::weak_ptr<RequestRun> weak = this->weak_from_this();
    this->answer->onDisconnect([weak] {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->handleCallerDisconnect();
        }
    });
    this->answer->onDrained([weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        if (self && self->currentStep) {
            self->currentStep->resume();
        }
    });
    this->keepAlive.startRepeating(this->context.settings.entry->keepAlive);
}

void RequestRun::start()
{
    this->planSteps();
    this->startStep();
}

void RequestRun::planSteps()
{
    this->ratingTimeout = DefaultRatingTimeout;
    const Wire::Configuration &configuration = this->context.configuration();
    const Wire::Cascade *cascadeSettings = findCascade(configuration, this->request->model);
    if (cascadeSettings == nullptr || !this->request->payload.chat() || cascadeSettings->models().empty()) {
        this->models = {this->request->model};
        return;
    }
    if (!this->request->repeatable) {
        // A second model would run the request a second time, so only the last and best model is used.
        this->models = {*cascadeSettings->models().rbegin()};
        return;
    }
    this->models.assign(cascadeSettings->models().begin(), cascadeSettings->models().end());
    this->cascade = makeCascadeView(configuration, *cascadeSettings, *this->request, [this](const std::string &model, const std::string &version) {
        return this->context.pool.usableCount(model, version) > 0;
    });
    this->ratingTimeout = milliseconds(static_cast<std::int64_t>(this->cascade.ratingTimeoutMs));
    // A caller with an idempotency key may retry at another entry, so every entry starts the cascade at the same model.
    if (!this->request->hasIdempotencyKey) {
        this->stepIndex = this->decideCascade().tier;
    }
}

CascadeDecision RequestRun::decideCascade()
{
    CascadeDecision decision = decideCascadeStep(this->cascade, this->context.cascadeHistory, this->context.random());
    constexpr double NotRated = -1;
    const bool isRated = this->cascade.answered && this->cascade.ratingState == RatingState::Arrived;
    logLine(LogLevel::Info,
            "cascade-decision",
            {{"request", this->request->id},
             {"deliver", decision.action == CascadeAction::Deliver},
             {"model", this->models[decision.tier]},
             {"reason", decision.reason},
             {"rating", isRated ? this->cascade.rating : NotRated},
             {"threshold", this->cascade.ratingThreshold},
             {"goodShare", decision.goodShare}});
    return decision;
}

void RequestRun::startStep()
{
    const std::weak_ptr<RequestRun> weak = this->weak_from_this();
    StepRunOptions options;
    options.request = this->request;
    options.step = static_cast<unsigned>(this->stepIndex);
    options.model = this->models[this->stepIndex];
    options.prefixes = this->prefixes;
    options.onHead = [weak](unsigned status, const std::string &contentType, const std::string &version) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->handleHead(status, contentType, version);
        }
    };
    options.onChunk = [weak](std::string_view data) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->handleChunk(data);
        }
    };
    options.onEnd = [weak](const StepOutcome &stepOutcome) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->handleStepOutcome(stepOutcome);
        }
    };
    options.hasStarted = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return self && self->answer->hasStarted();
    };
    options.canAcceptChunks = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return !self || self->answer->queuedBytes() < MaxQueuedBytes;
    };
    options.awaitsRating = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return self && self->willRate();
    };
    this->currentStep = std::make_shared<StepRun>(this->context, std::move(options));
    Wire::RequestKey key;
    key.set_organisation(this->request->organisation);
    key.set_key(this->request->id);
    key.set_step(static_cast<std::uint32_t>(this->stepIndex));
    this->context.runs.add(this->currentStep, key);
    // start() may end this request or replace currentStep; the registry keeps a reference too.
    const std::shared_ptr<StepRun> started = this->currentStep;
    started->start();
}

bool RequestRun::isLastStep() const
{
    return this->stepIndex + 1 >= this->models.size();
}

bool RequestRun::isErrorAnswer() const
{
    return this->request->payload.chat() && this->head.status >= FirstErrorStatus;
}

void RequestRun::handleHead(unsigned status, const std::string &contentType, const std::string &version)
{
    this->head
        = {.status = status, .contentType = contentType, .version = version, .verdict = status >= FirstServerErrorStatus ? Verdict::MayHaveRun : Verdict::Ran};
    this->errorBody.clear();
    this->buffered = {.head = this->head};
    this->ratesStreamedAnswer = this->isLastStep() && this->canRate() && RolloutDriver::needsRating(this->context.configuration(), version);
    this->streamedAnswer.emplace();
    this->streamedBytes = 0;
    if (this->isLastStep() && !this->isErrorAnswer()) {
        this->answer->begin(this->head);
    }
}

void RequestRun::handleChunk(std::string_view data)
{
    if (this->firstByteMs == 0) {
        this->firstByteMs = this->context.loop.nowMs();
        const auto tookMs = static_cast<double>(this->firstByteMs - this->startedMs);
        this->context.metrics.observe("first_chunk_ms", this->head.version, tookMs);
        this->context.metrics.observe("organisation_first_chunk_ms", this->request->organisation, tookMs);
    }
    if (this->isErrorAnswer()) {
        this->errorBody.append(data.substr(0, MaxErrorBodyBytes - std::min(MaxErrorBodyBytes, this->errorBody.size())));
        return;
    }
    if (this->isLastStep()) {
        this->collectForRating(data);
        this->answer->writeChunk(data);
        if (!this->holdAnswer(this->answer->heldBytes())) {
            this->abort(answerTooLargeError());
        }
        return;
    }
    this->buffered.chunks.emplace_back(data);
    this->buffered.bytes += data.size() + sizeof(std::string);
    const bool isHeld = this->holdAnswer(this->fallback.bytes + this->buffered.bytes);
    if (!isHeld || this->buffered.bytes > MaxBufferedBytes) {
        this->deliverUnrated();
    }
}

/** An answer that is too large to be rated is delivered as it comes: no other model runs after it, and its caller slows it down. */
void RequestRun::deliverUnrated()
{
    this->models.resize(this->stepIndex + 1);
    this->writeBuffered();
    this->buffered = {};
    this->heldAnswer.set(0);
    if (!this->holdAnswer(this->answer->heldBytes())) {
        this->abort(answerTooLargeError());
    }
}

bool RequestRun::holdAnswer(std::size_t bytes)
{
    if (bytes <= this->heldAnswer.bytes()) {
        return true;
    }
    return bytes <= this->context.settings.entry->maxAnswerBytes && this->heldAnswer.tryGrow(bytes);
}

void RequestRun::handleStepOutcome(const StepOutcome &stepOutcome)
{
    this->tokens += static_cast<double>(stepOutcome.usage.input_tokens() + stepOutcome.usage.output_tokens());
    const Wire::Version *version = findVersion(this->context.configuration(), stepOutcome.version);
    if (stepOutcome.isComplete && version != nullptr) {
        this->totalCostMicros += static_cast<double>(costMicros(*version, stepOutcome.usage, Wire::OUTCOME_WHOLE));
    }
    if (this->isLastStep()) {
        this->finishLastStep(stepOutcome);
    } else {
        this->finishBufferedStep(stepOutcome);
    }
}

void RequestRun::finishLastStep(const StepOutcome &stepOutcome)
{
    if (stepOutcome.isComplete) {
        this->rateInBackground();
        this->finishAnswer(stepOutcome.version);
        return;
    }
    const bool canFallBack = this->fallback.isComplete && !this->answer->hasStarted();
    if (canFallBack) {
        this->buffered = std::move(this->fallback);
        this->deliverBuffered();
        return;
    }
    this->failAnswer(this->engineError(stepOutcome));
}

void RequestRun::finishBufferedStep(const StepOutcome &stepOutcome)
{
    this->earlierVerdict = combined(this->earlierVerdict, stepOutcome.isComplete ? Verdict::Ran : stepOutcome.error.verdict);
    if (!stepOutcome.isComplete) {
        // A client error would occur at every model.
        const bool isClientError = stepOutcome.error.status >= FirstErrorStatus && stepOutcome.error.status < FirstServerErrorStatus;
        if (isClientError && stepOutcome.error.code != "answer-gone") {
            this->failAnswer(this->engineError(stepOutcome));
            return;
        }
        this->startNextStep();
        return;
    }
    this->buffered.isComplete = true;
    ChatAssembler assembler;
    for (const std::string &chunk : this->buffered.chunks) {
        assembler.take(chunk);
    }
    RolloutDriver &rollouts = this->context.rollouts;
    this->context.rate(
        this->ratingRequestBody(assembler.text()),
        this->ratingTimeout,
        [weak = this->weak_from_this(), &rollouts, now = this->context.wallClockMs, version = this->buffered.head.version](std::optional<double> rating) {
            rollouts.recordRating(version, rating, now());
            if (const std::shared_ptr<RequestRun> self = weak.lock()) {
                self->applyRating(rating);
            }
        });
}

bool RequestRun::canRate() const
{
    return this->request->payload.chat() && !this->context.settings.entry->ratingUrl.empty();
}

bool RequestRun::willRate() const
{
    return this->isLastStep() ? this->ratesStreamedAnswer : this->canRate();
}

void RequestRun::collectForRating(std::string_view data)
{
    this->streamedBytes += data.size();
    if (this->ratesStreamedAnswer && this->streamedBytes <= MaxBufferedBytes) {
        this->streamedAnswer->take(data);
    }
}

void RequestRun::rateInBackground()
{
    if (!this->ratesStreamedAnswer) {
        return;
    }
    RolloutDriver &rollouts = this->context.rollouts;
    const auto recordRating = [&rollouts, now = this->context.wallClockMs, version = this->head.version](std::optional<double> rating) {
        rollouts.recordRating(version, rating, now());
    };
    if (this->streamedBytes > MaxBufferedBytes) {
        recordRating(std::nullopt);
        return;
    }
    this->context.rate(this->ratingRequestBody(this->streamedAnswer->text()), this->ratingTimeout, recordRating);
}

void RequestRun::applyRating(std::optional<double> rating)
{
    if (this->isEnded) {
        return;
    }
    CascadeHistory &history = this->context.cascadeHistory;
    const std::string &model = this->models[this->stepIndex];
    if (rating) {
        history.recordRating(this->cascade.organisation, this->cascade.kind, model, *rating, this->cascade.ratingThreshold);
    } else {
        history.recordAbsentRating(this->cascade.organisation, this->cascade.kind, model);
    }
    this->cascade.answered = this->stepIndex;
    this->cascade.ratingState = rating ? RatingState::Arrived : RatingState::Absent;
    this->cascade.rating = rating.value_or(0);
    const CascadeDecision decision = this->decideCascade();
    if (decision.action != CascadeAction::Run) {
        this->deliverBuffered();
        return;
    }
    this->fallback = std::move(this->buffered);
    this->stepIndex = decision.tier;
    this->startStep();
}

void RequestRun::writeBuffered()
{
    this->answer->begin(this->buffered.head);
    for (const std::string &chunk : this->buffered.chunks) {
        this->answer->writeChunk(chunk);
    }
}

void RequestRun::deliverBuffered()
{
    this->writeBuffered();
    this->finishAnswer(this->buffered.head.version);
}

void RequestRun::startNextStep()
{
    ++this->stepIndex;
    this->startStep();
}

CallerError RequestRun::engineError(const StepOutcome &stepOutcome) const
{
    CallerError error = stepOutcome.error;
    error.verdict = combined(this->earlierVerdict, error.verdict);
    if (!this->isErrorAnswer()) {
        return error;
    }
    // A client error of the engine keeps its status, since the caller can correct it; a server error becomes 502.
    error.status = this->head.status < FirstServerErrorStatus ? this->head.status : BadGateway;
    error.code = "engine-error";
    const nlohmann::json body = nlohmann::json::parse(this->errorBody, nullptr, false);
    const auto engine = body.is_object() ? body.find("error") : body.end();
    if (body.is_object() && engine != body.end() && engine->is_object() && engine->contains("message") && (*engine)["message"].is_string()) {
        error.message = (*engine)["message"].get<std::string>();
    }
    return error;
}

std::string RequestRun::ratingRequestBody(const std::string &text) const
{
    const nlohmann::json originalRequest = nlohmann::json::parse(this->request->payload.body(), nullptr, false);
    const nlohmann::json rating{{"model", this->models[this->stepIndex]}, {"version", this->head.version}, {"request", originalRequest}, {"answer", text}};
    return rating.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void RequestRun::finishAnswer(const std::string &version)
{
    this->answer->finish();
    this->endRequest(version, Verdict::Ran, this->head.status);
}

void RequestRun::failAnswer(const CallerError &error)
{
    this->answer->fail(error);
    this->endRequest(error.code, error.verdict, error.status);
}

void RequestRun::abort(const CallerError &error)
{
    if (this->isEnded) {
        return;
    }
    CallerError reportedError = error;
    reportedError.verdict = this->currentStep ? combined(this->earlierVerdict, combined(this->currentStep->verdict(), error.verdict)) : error.verdict;
    if (this->currentStep) {
        this->currentStep->detachCaller();
    }
    this->failAnswer(reportedError);
}

void RequestRun::handleCallerDisconnect()
{
    if (this->isEnded) {
        return;
    }
    if (this->currentStep) {
        this->currentStep->detachCaller();
    }
    constexpr unsigned ClientClosedRequest = 499;
    this->endRequest("caller-left", this->currentStep ? this->currentStep->verdict() : Verdict::NotRun, ClientClosedRequest);
}

void RequestRun::endRequest(std::string_view how, Verdict verdict, unsigned status)
{
    if (std::exchange(this->isEnded, true)) {
        return;
    }
    this->keepAlive.stop();
    this->heldAnswer.set(0);
    const std::uint64_t now = this->context.loop.nowMs();
    logLine(LogLevel::Info,
            "request-ended",
            {{"request", this->request->id},
             {"organisation", this->request->organisation},
             {"model", this->request->model},
             {"how", std::string(how)},
             {"verdict", std::string(verdictName(verdict))},
             {"status", std::uint64_t{status}},
             {"steps", std::uint64_t{this->stepIndex + 1}},
             {"admissionMs", this->currentStep ? this->currentStep->admissionMs() : std::uint64_t{0}},
             {"firstByteMs", this->firstByteMs == 0 ? std::uint64_t{0} : this->firstByteMs - this->startedMs},
             {"tookMs", now - this->startedMs}});
    this->context.metrics.count("requests", verdictName(verdict));
    if (this->totalCostMicros > 0) {
        this->context.metrics.observe("organisation_cost_micros", this->request->organisation, this->totalCostMicros);
    }
    this->onEnded({.tokens = this->tokens, .mayHaveRun = verdict != Verdict::NotRun});
}

const CallerRequest &RequestRun::callerRequest() const
{
    return *this->request;
}

const std::string &RequestRun::id() const
{
    return this->request->id;
}

} // namespace Apricothead
