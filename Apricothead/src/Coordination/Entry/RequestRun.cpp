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
/** Above it the endpoint process is given no further credit until the caller has taken bytes. */
constexpr std::size_t QueuedBytesLimit = 256 * 1024;
/** A held answer beyond this size is passed on without a rating. */
constexpr std::size_t HeldBytesLimit = 4 * 1024 * 1024;
constexpr std::size_t ErrorBodyLimit = 64 * 1024;

std::vector<PrefixBlock> prefixesOf(const CallerRequest &request)
{
    const std::vector<std::string_view> messages(request.messages.begin(), request.messages.end());
    return messages.empty() ? std::vector<PrefixBlock>() : prefixChain(messages);
}

} // namespace

RequestRun::RequestRun(EntryContext &entryContext,
                       CallerRequest callerRequest,
                       std::unique_ptr<CallerAnswer> callerAnswer,
                       std::function<void(const RequestEnd &)> hook)
    : context(entryContext)
    , request(std::make_shared<const CallerRequest>(std::move(callerRequest)))
    , answer(std::move(callerAnswer))
    , endedHook(std::move(hook))
    , keepAlive(entryContext.loop,
                [this] {
                    this->answer->keepAlive(this->current ? this->current->version() : std::string());
                })
    , prefixes(prefixesOf(*request))
{ }

void RequestRun::wait()
{
    this->startedMs = this->context.loop.nowMs();
    const std::weak_ptr<RequestRun> weak = this->weak_from_this();
    this->answer->onDisconnect([weak] {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->leave();
        }
    });
    this->answer->onDrained([weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        if (self && self->current) {
            self->current->resume();
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
    const Wire::Cascade *known = findCascade(configuration, this->request->model);
    if (known == nullptr || !this->request->payload.chat() || known->models().empty()) {
        this->models = {this->request->model};
        return;
    }
    if (!this->request->repeatable) {
        // A run at a second model would be a second run: the best model alone is asked.
        this->models = {*known->models().rbegin()};
        return;
    }
    this->models.assign(known->models().begin(), known->models().end());
    this->cascade = cascadeViewOf(configuration, *known, *this->request, [this](const std::string &model, const std::string &version) {
        return this->context.pool.usableCount(model, version) > 0;
    });
    this->ratingTimeout = milliseconds(static_cast<std::int64_t>(this->cascade.ratingTimeoutMs));
    // A caller with a key of its own may come back at another entry: its walk starts where any entry starts it.
    if (!this->request->isKeyGiven) {
        this->step = this->decideCascade().tier;
    }
}

CascadeDecision RequestRun::decideCascade()
{
    CascadeDecision decision = decideCascadeStep(this->cascade, this->context.cascades, this->context.draw());
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
    options.step = static_cast<unsigned>(this->step);
    options.model = this->models[this->step];
    options.prefixes = this->prefixes;
    options.onHead = [weak](unsigned status, const std::string &contentType, const std::string &version) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->takeHead(status, contentType, version);
        }
    };
    options.onChunk = [weak](std::string_view data) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->takeChunk(data);
        }
    };
    options.onEnd = [weak](const StepEnd &stepEnd) {
        if (const std::shared_ptr<RequestRun> self = weak.lock()) {
            self->takeEnd(stepEnd);
        }
    };
    options.hasStarted = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return self && self->answer->hasStarted();
    };
    options.isTaking = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return !self || self->answer->queuedBytes() < QueuedBytesLimit;
    };
    options.awaitsRating = [weak] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        return self && self->willRate();
    };
    this->current = std::make_shared<StepRun>(this->context, std::move(options));
    Wire::RequestKey key;
    key.set_organisation(this->request->organisation);
    key.set_key(this->request->id);
    key.set_step(static_cast<std::uint32_t>(this->step));
    this->context.runs.add(this->current, key);
    // Kept by the registry too: start() may end this request.
    const std::shared_ptr<StepRun> started = this->current;
    started->start();
}

bool RequestRun::isLastStep() const
{
    return this->step + 1 >= this->models.size();
}

bool RequestRun::isErrorAnswer() const
{
    return this->request->payload.chat() && this->head.status >= FirstErrorStatus;
}

void RequestRun::takeHead(unsigned status, const std::string &contentType, const std::string &version)
{
    this->head
        = {.status = status, .contentType = contentType, .version = version, .verdict = status >= FirstServerErrorStatus ? Verdict::MayHaveRun : Verdict::Ran};
    this->errorBody.clear();
    this->held = {.head = this->head};
    this->ratesDirect = this->isLastStep() && this->mayRate() && RolloutDriver::wantsRating(this->context.configuration(), version);
    this->answered.emplace();
    this->answeredBytes = 0;
    if (this->isLastStep() && !this->isErrorAnswer()) {
        this->answer->begin(this->head);
    }
}

void RequestRun::takeChunk(std::string_view data)
{
    if (this->firstByteMs == 0) {
        this->firstByteMs = this->context.loop.nowMs();
        const auto tookMs = static_cast<double>(this->firstByteMs - this->startedMs);
        this->context.metrics.observe("first_chunk_ms", this->head.version, tookMs);
        this->context.metrics.observe("organisation_first_chunk_ms", this->request->organisation, tookMs);
    }
    if (this->isErrorAnswer()) {
        this->errorBody.append(data.substr(0, ErrorBodyLimit - std::min(ErrorBodyLimit, this->errorBody.size())));
        return;
    }
    if (this->isLastStep()) {
        this->keepForRating(data);
        this->answer->chunk(data);
        return;
    }
    this->held.chunks.emplace_back(data);
    this->held.bytes += data.size();
}

void RequestRun::takeEnd(const StepEnd &stepEnd)
{
    this->tokens += static_cast<double>(stepEnd.usage.input_tokens() + stepEnd.usage.output_tokens());
    const Wire::Version *version = findVersion(this->context.configuration(), stepEnd.version);
    if (stepEnd.isWhole && version != nullptr) {
        this->cost += static_cast<double>(costMicros(*version, stepEnd.usage, Wire::OUTCOME_WHOLE));
    }
    if (this->isLastStep()) {
        this->endDirect(stepEnd);
    } else {
        this->endHeld(stepEnd);
    }
}

void RequestRun::endDirect(const StepEnd &stepEnd)
{
    if (stepEnd.isWhole) {
        this->rateInBackground();
        this->finishAnswer(stepEnd.version);
        return;
    }
    const bool mayFallBack = this->best.isWhole && !this->answer->hasStarted();
    if (mayFallBack) {
        this->held = std::move(this->best);
        this->deliverHeld();
        return;
    }
    this->failAnswer(this->engineError(stepEnd));
}

void RequestRun::endHeld(const StepEnd &stepEnd)
{
    this->former = combined(this->former, stepEnd.isWhole ? Verdict::Ran : stepEnd.error.verdict);
    if (!stepEnd.isWhole) {
        // A caller's own mistake fails at every model.
        const bool isCallersMistake = stepEnd.error.status >= FirstErrorStatus && stepEnd.error.status < FirstServerErrorStatus;
        if (isCallersMistake && stepEnd.error.code != "answer-gone") {
            this->failAnswer(this->engineError(stepEnd));
            return;
        }
        this->nextStep();
        return;
    }
    this->held.isWhole = true;
    if (this->held.bytes > HeldBytesLimit) {
        this->context.rollouts.noteRated(this->held.head.version, std::nullopt, this->context.wallClockMs());
        this->deliverHeld();
        return;
    }
    ChatAssembler assembler;
    for (const std::string &chunk : this->held.chunks) {
        assembler.take(chunk);
    }
    RolloutDriver &rollouts = this->context.rollouts;
    this->context.rate(
        this->ratingRequest(assembler.text()),
        this->ratingTimeout,
        [weak = this->weak_from_this(), &rollouts, now = this->context.wallClockMs, version = this->held.head.version](std::optional<double> rating) {
            rollouts.noteRated(version, rating, now());
            if (const std::shared_ptr<RequestRun> self = weak.lock()) {
                self->decideOn(rating);
            }
        });
}

bool RequestRun::mayRate() const
{
    return this->request->payload.chat() && !this->context.settings.entry->ratingUrl.empty();
}

bool RequestRun::willRate() const
{
    return this->isLastStep() ? this->ratesDirect : this->mayRate();
}

void RequestRun::keepForRating(std::string_view data)
{
    this->answeredBytes += data.size();
    if (this->ratesDirect && this->answeredBytes <= HeldBytesLimit) {
        this->answered->take(data);
    }
}

void RequestRun::rateInBackground()
{
    if (!this->ratesDirect) {
        return;
    }
    RolloutDriver &rollouts = this->context.rollouts;
    const auto note = [&rollouts, now = this->context.wallClockMs, version = this->head.version](std::optional<double> rating) {
        rollouts.noteRated(version, rating, now());
    };
    if (this->answeredBytes > HeldBytesLimit) {
        note(std::nullopt);
        return;
    }
    this->context.rate(this->ratingRequest(this->answered->text()), this->ratingTimeout, note);
}

void RequestRun::decideOn(std::optional<double> rating)
{
    if (this->isEnded) {
        return;
    }
    CascadeHistory &memory = this->context.cascades;
    const std::string &model = this->models[this->step];
    if (rating) {
        memory.recordRating(this->cascade.organisation, this->cascade.kind, model, *rating, this->cascade.ratingThreshold);
    } else {
        memory.recordAbsentRating(this->cascade.organisation, this->cascade.kind, model);
    }
    this->cascade.answered = this->step;
    this->cascade.ratingState = rating ? RatingState::Arrived : RatingState::Absent;
    this->cascade.rating = rating.value_or(0);
    const CascadeDecision decision = this->decideCascade();
    if (decision.action != CascadeAction::Run) {
        this->deliverHeld();
        return;
    }
    this->best = std::move(this->held);
    this->step = decision.tier;
    this->startStep();
}

void RequestRun::deliverHeld()
{
    this->answer->begin(this->held.head);
    for (const std::string &chunk : this->held.chunks) {
        this->answer->chunk(chunk);
    }
    this->finishAnswer(this->held.head.version);
}

void RequestRun::nextStep()
{
    ++this->step;
    this->startStep();
}

CallerError RequestRun::engineError(const StepEnd &stepEnd) const
{
    CallerError error = stepEnd.error;
    error.verdict = combined(this->former, error.verdict);
    if (!this->isErrorAnswer()) {
        return error;
    }
    // The engine's own refusal of the request is the caller's to mend; its failures are not.
    error.status = this->head.status < FirstServerErrorStatus ? this->head.status : BadGateway;
    error.code = "engine-error";
    const nlohmann::json body = nlohmann::json::parse(this->errorBody, nullptr, false);
    const auto engine = body.is_object() ? body.find("error") : body.end();
    if (body.is_object() && engine != body.end() && engine->is_object() && engine->contains("message") && (*engine)["message"].is_string()) {
        error.message = (*engine)["message"].get<std::string>();
    }
    return error;
}

std::string RequestRun::ratingRequest(const std::string &text) const
{
    const nlohmann::json asked = nlohmann::json::parse(this->request->payload.body(), nullptr, false);
    const nlohmann::json rating{{"model", this->models[this->step]}, {"version", this->head.version}, {"request", asked}, {"answer", text}};
    return rating.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void RequestRun::finishAnswer(const std::string &version)
{
    this->answer->finish();
    this->ended(version, Verdict::Ran, this->head.status);
}

void RequestRun::failAnswer(const CallerError &error)
{
    this->answer->fail(error);
    this->ended(error.code, error.verdict, error.status);
}

void RequestRun::cut(const CallerError &error)
{
    if (this->isEnded) {
        return;
    }
    CallerError told = error;
    told.verdict = this->current ? combined(this->former, combined(this->current->verdict(), error.verdict)) : error.verdict;
    if (this->current) {
        this->current->leave();
    }
    this->failAnswer(told);
}

void RequestRun::leave()
{
    if (this->isEnded) {
        return;
    }
    if (this->current) {
        this->current->leave();
    }
    constexpr unsigned ClientClosedRequest = 499;
    this->ended("caller-left", this->current ? this->current->verdict() : Verdict::NotRun, ClientClosedRequest);
}

void RequestRun::ended(std::string_view how, Verdict verdict, unsigned status)
{
    if (std::exchange(this->isEnded, true)) {
        return;
    }
    this->keepAlive.stop();
    const std::uint64_t now = this->context.loop.nowMs();
    logLine(LogLevel::Info,
            "request-ended",
            {{"request", this->request->id},
             {"organisation", this->request->organisation},
             {"model", this->request->model},
             {"how", std::string(how)},
             {"verdict", std::string(verdictName(verdict))},
             {"status", std::uint64_t{status}},
             {"steps", std::uint64_t{this->step + 1}},
             {"admissionMs", this->current ? this->current->admissionMs() : std::uint64_t{0}},
             {"firstByteMs", this->firstByteMs == 0 ? std::uint64_t{0} : this->firstByteMs - this->startedMs},
             {"tookMs", now - this->startedMs}});
    this->context.metrics.count("requests", verdictName(verdict));
    if (this->cost > 0) {
        this->context.metrics.observe("organisation_cost_micros", this->request->organisation, this->cost);
    }
    this->endedHook({.tokens = this->tokens, .mayHaveRun = verdict != Verdict::NotRun});
}

const CallerRequest &RequestRun::asked() const
{
    return *this->request;
}

const std::string &RequestRun::id() const
{
    return this->request->id;
}

} // namespace Apricothead
