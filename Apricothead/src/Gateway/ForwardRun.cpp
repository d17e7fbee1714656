#include "ForwardRun.h"

#include "RequestParts.h"

#include "../Transport/ByteBudget.h"
#include "../Transport/Log.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;

/** Connecting takes a few ms within a region and 1 ms at the endpoint; a lost packet is retransmitted after 200 ms. */
constexpr milliseconds ConnectTimeout{450};
/** Closes a connection whose state a middlebox has dropped: sent bytes remain unacknowledged. */
constexpr milliseconds UnacknowledgedTimeout{1200};
/** A repeatable request is retried at another endpoint after this many latency objectives without a response. */
constexpr unsigned MaxSilentObjectives = 3;
/** A stream overtaken by later requests is retried elsewhere after the latency objective divided by this without a first event. */
constexpr unsigned OvertakenObjectiveDivisor = 2;
/** A stream that pauses for longer resumes elsewhere. Exceeds the pauses that preemption in an engine causes. */
constexpr std::uint64_t MaxStreamPauseMs = 2500;
/** Bounds attempts that did not run as well: they cost the endpoint nothing, but delay the caller. */
constexpr unsigned MaxSends = 5;
/** With less time left, another attempt can't complete. */
constexpr std::uint64_t MinRemainingMs = 30;
/** Retry-After as a fraction of the caller's remaining time. */
constexpr double RetryAfterFraction = 0.15;
constexpr std::uint64_t MaxRetryAfterMs = 1500;
/** A request that waits for an endpoint's limit is refused this long before its deadline, so that its caller hears that it has not run. */
constexpr std::uint64_t LimitRefusalMs = 250;
constexpr std::uint64_t MinLimitRetryAfterMs = 100;
/** An endpoint that crashes under a request does so within this time after it began to answer. */
constexpr std::uint64_t AnswerSettlingMs = 150;
/** Bytes of a stream that wait for a caller before its endpoint is slowed, and while the memory of the process is scarce. */
constexpr std::size_t MaxUnsentBytes = 256 * 1024;
constexpr std::size_t MaxScarceUnsentBytes = 16 * 1024;
/** Retry-After of a request that is withheld until an operator clears it. */
constexpr std::uint64_t WithheldRetryAfterMs = 60'000;

std::optional<std::uint64_t> parseEventNumber(const std::string &id)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
}

/** \returns whether \a status promises to callers that the request has not run and will not run */
bool isRefusal(unsigned status)
{
    return status == StatusRequestTimeout || status == StatusMisdirected || status == StatusTooManyRequests || status == StatusUnavailable;
}

} // namespace

ForwardRun::ForwardRun(GatewayContext &givenContext,
                       ForwardRequest givenRequest,
                       std::shared_ptr<HttpReply> givenReply,
                       std::shared_ptr<const PlanIndex> givenPlan,
                       const Wire::PlanRoute *givenRoute,
                       const Wire::PlanOrganisation *givenOrganisation)
    : context(givenContext)
    , request(std::move(givenRequest))
    , reply(std::move(givenReply))
    , plan(std::move(givenPlan))
    , route(*givenRoute)
    , organisation(givenOrganisation)
    , deadlineTimer(context.loop, [this] {
        this->timeOut("deadline");
    })
{
    mergeExcessParts(this->request.prompt);
}

ForwardRun::~ForwardRun()
{
    *this->alive = false;
    this->context.progressChecks.remove(this);
    this->context.limitQueue.remove(this);
}

std::uint64_t ForwardRun::now() const
{
    return this->context.loop.nowMs();
}

std::uint64_t ForwardRun::remainingMs() const
{
    const std::uint64_t nowMs = this->now();
    return this->deadlineMs > nowMs ? this->deadlineMs - nowMs : 0;
}

std::int64_t ForwardRun::sinceAnswerMs() const
{
    return this->attempt->answeredMs == 0 ? -1 : static_cast<std::int64_t>(this->now() - this->attempt->answeredMs);
}

bool ForwardRun::isStreaming() const
{
    return this->route.repeat() == Wire::REPEAT_RULE_STREAM;
}

void ForwardRun::start()
{
    const std::uint64_t nowMs = this->now();
    this->arrivedMs = nowMs - this->request.heldMs;
    this->deadlineMs = std::max(nowMs, this->arrivedMs + this->route.timeout_ms());
    if (this->request.callerTimeoutMs) {
        this->deadlineMs = std::min(this->deadlineMs, nowMs + *this->request.callerTimeoutMs);
    }
    this->lastEventId = this->request.lastEventId;
    this->model = this->request.anyModel ? ModelEscalation::first(this->route) : this->request.model;
    this->suspect = suspectRequest(this->request);
    this->sharedBody = std::make_shared<const std::string>(std::move(this->request.body));
    const std::string &drawKey = this->request.session.empty() ? this->request.id : this->request.session;
    this->draw = uniformHash(drawKey);
    this->service = PlanIndex::serviceFor(this->route, XXH3_64bits_withSeed(this->request.id.data(), this->request.id.size(), 1));
    this->context.retries.recordRequest(this->service, nowMs);
    this->context.endpoints.limits().recordDemand(this->service, nowMs);
    this->reply->onDisconnect([this, token = this->alive] {
        if (*token) {
            this->handleDisconnect();
        }
    });
    this->reply->onDrained([this, token = this->alive] {
        if (*token) {
            this->resumeForCaller();
        }
    });
    this->deadlineTimer.startOnce(milliseconds(this->deadlineMs - nowMs));
    this->context.progressChecks.add(this, [this] {
        this->checkProgress();
    });
    this->dispatch();
}

// ---- Sending ----

EndpointQuery ForwardRun::endpointQuery()
{
    return {
        .service = this->service,
        .versions = this->context.versionSplit.rule(this->service, this->request.session, this->draw, this->now()),
        .avoid = this->triedEndpoints,
        .prompt = this->request.prompt,
        .model = this->model,
    };
}

unsigned ForwardRun::priority() const
{
    constexpr unsigned LowestPriority = 9;
    const unsigned configured = this->organisation != nullptr ? this->organisation->priority() : this->route.priority();
    return std::min(LowestPriority, configured);
}

void ForwardRun::dispatch()
{
    if (this->remainingMs() < MinRemainingMs) {
        this->timeOut("deadline");
        return;
    }
    // What may have run is better repeated than failed.
    if (this->verdict == Verdict::NotRun && !this->isStreamStarted && !this->canEndBeforeStop()) {
        this->sendError(StatusUnavailable, "stopping", StoppingRetryAfterMs);
        return;
    }
    if (const std::optional<WithheldParts> withheld = this->withheldParts()) {
        this->handleWithheld(*withheld);
        return;
    }
    const EndpointQuery query = this->endpointQuery();
    const std::optional<EndpointChoice> choice = this->context.endpoints.choose(query, this->now());
    if (!choice) {
        this->waitForLimit(query);
        return;
    }
    this->send(query, *choice);
}

void ForwardRun::waitForLimit(const EndpointQuery &query)
{
    const std::size_t ahead = this->context.limitQueue.ahead(this->service, this->priority());
    const std::optional<std::uint64_t> waitMs = this->context.endpoints.limitWaitMs(query, ahead, this->now());
    if (!waitMs) {
        this->failRequest(this->lastFailure.empty() ? "no-endpoint" : this->lastFailure);
        return;
    }
    const std::uint64_t neededMs = *waitMs + this->context.durations.expectedMs(this->route.name()).value_or(0) + LimitRefusalMs;
    if (neededMs > this->remainingMs()) {
        this->refuseForLimit(neededMs - this->remainingMs());
        return;
    }
    logLine(LogLevel::Info,
            "request-awaits-limit",
            {{"request", this->request.id}, {"ahead", static_cast<std::uint64_t>(ahead)}, {"expectedMs", *waitMs}, {"leftMs", this->remainingMs()}});
    this->context.metrics.count("requests_awaiting_limit_total", this->route.name());
    this->context.limitQueue.add(this, this->service, this->priority(), [this] {
        this->sendWithinLimit();
    });
}

void ForwardRun::sendWithinLimit()
{
    const bool isLate = this->remainingMs() < LimitRefusalMs;
    const EndpointQuery query = this->endpointQuery();
    if (!isLate && !this->context.endpoints.choose(query, this->now())) {
        return;
    }
    this->context.limitQueue.remove(this);
    if (isLate) {
        this->refuseForLimit(this->context.endpoints.limitWaitMs(query, 0, this->now()).value_or(0));
        return;
    }
    this->dispatch();
}

void ForwardRun::refuseForLimit(std::uint64_t retryAfterMs)
{
    this->context.metrics.count("requests_over_limit_total", this->route.name());
    if (this->isStreamStarted || this->verdict != Verdict::NotRun) {
        this->failRequest(this->lastFailure.empty() ? "endpoint-limits" : this->lastFailure);
        return;
    }
    this->sendError(StatusUnavailable, "endpoint-limits", std::max(MinLimitRetryAfterMs, retryAfterMs));
}

bool ForwardRun::canEndBeforeStop() const
{
    if (!this->context.stopsAtMs) {
        return true;
    }
    const std::uint64_t nowMs = this->now();
    const std::uint64_t leftMs = *this->context.stopsAtMs - std::min(nowMs, *this->context.stopsAtMs);
    const std::uint64_t remaining = this->remainingMs();
    return std::min(remaining, this->context.durations.expectedMs(this->route.name()).value_or(remaining)) < leftMs;
}

std::optional<WithheldParts> ForwardRun::withheldParts() const
{
    return this->isTrial ? std::nullopt : this->context.quarantine.withheldParts(this->suspect, this->now());
}

void ForwardRun::handleWithheld(const WithheldParts &withheld)
{
    const bool isNew = this->sends == 0 && this->context.startTrial;
    if (!isNew || !this->context.quarantine.shouldRequestTrial(withheld, this->now())) {
        this->refuseWithheld(withheld);
        return;
    }
    this->context.startTrial(withheld.parts, [this, withheld, token = this->alive](bool granted) {
        if (!*token || this->isEnded) {
            return;
        }
        logLine(LogLevel::Info, "part-trial", {{"request", this->request.id}, {"parts", partsText(withheld.parts)}, {"granted", granted}});
        if (!granted) {
            this->refuseWithheld(withheld);
            return;
        }
        this->isTrial = true;
        this->dispatch();
    });
}

void ForwardRun::refuseWithheld(const WithheldParts &withheld)
{
    logLine(LogLevel::Warning,
            "request-withheld",
            {{"request", this->request.id},
             {"parts", partsText(withheld.parts)},
             {"crashes", static_cast<std::uint64_t>(withheld.crashes)},
             {"trialMs", withheld.trialMs ? static_cast<std::int64_t>(*withheld.trialMs) : -1}});
    this->context.metrics.count("requests_withheld_total", this->route.name());
    if (this->isStreamStarted || this->verdict != Verdict::NotRun) {
        this->failRequest("part-withheld");
        return;
    }
    this->sendError(StatusUnavailable, "part-withheld", std::max(MaxRetryAfterMs, withheld.trialMs.value_or(WithheldRetryAfterMs)));
}

void ForwardRun::withdrawIfWithheld()
{
    if (this->isEnded || !this->attempt || this->attempt->wasAnswered) {
        return;
    }
    const std::optional<WithheldParts> withheld = this->withheldParts();
    if (!withheld) {
        return;
    }
    this->closeAttempt(AttemptOutcome::Cancelled);
    this->verdict = combined(this->verdict, Verdict::MayHaveRun);
    this->refuseWithheld(*withheld);
}

VersionRoute ForwardRun::versionRoute(const EndpointChoice &choice) const
{
    return {.service = this->service, .version = choice.version, .route = this->route.name()};
}

HttpCallOptions ForwardRun::callOptions(const EndpointChoice &choice)
{
    const DispatchParameters parameters{
        .endpoint = choice.endpoint,
        .organisation = this->organisation == nullptr ? std::string() : this->organisation->name(),
        .remainingMs = this->remainingMs(),
        .priority = this->priority(),
        .model = this->request.anyModel ? this->model : std::string(),
        .lastEventId = this->lastEventId,
    };
    return {
        .method = this->request.method,
        .url = "http://" + choice.address + this->request.target,
        .headers = this->context.dialect.encode(this->request, parameters),
        .sharedBody = this->sharedBody,
        .connectTimeout = std::min(ConnectTimeout, milliseconds(std::max<std::uint64_t>(1, this->remainingMs()))),
        .keepConnection = true,
        .requestId = this->request.id,
        .unacknowledged = UnacknowledgedTimeout,
        .onHead =
            [this](unsigned status, const HttpHeaders &headers) {
                this->handleHead(status, headers);
            },
        .onData =
            [this](std::string_view bytes) {
                this->handleData(bytes);
            },
        .onDone =
            [this](const HttpResult &result) {
                this->handleDone(result);
            },
    };
}

void ForwardRun::send(const EndpointQuery &query, const EndpointChoice &choice)
{
    ++this->sends;
    this->triedEndpoints.push_back(choice.endpoint);
    this->attempt = std::make_unique<Attempt>();
    this->attempt->query = query;
    this->attempt->choice = choice;
    this->attempt->startedMs = this->now();
    this->attempt->lastReceivedMs = this->attempt->startedMs;
    this->attempt->held = std::make_unique<HeldAnswer>(this->context.answers, this->attempt->startedMs, [this] {
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "memory-scarce");
    });
    this->context.endpoints.recordStart(query, choice);
    this->context.endpoints.recordSent(choice.endpoint, this->now());
    this->context.versionSplit.recordStart(this->service, this->request.session, choice.version, this->now());
    this->context.versionCounts.recordStart(this->versionRoute(choice), this->attempt->startedMs);
    logLine(LogLevel::Info,
            "request-sent",
            {{"request", this->request.id},
             {"route", this->route.name()},
             {"endpoint", choice.endpoint},
             {"address", choice.address},
             {"version", choice.version},
             {"model", query.model},
             {"reason", choice.reason},
             {"expectedMs", choice.expectedMs},
             {"uncachedTokens", choice.uncachedTokens},
             {"attempt", static_cast<std::uint64_t>(this->sends)},
             {"leftMs", this->remainingMs()},
             {"revision", this->plan->revision()},
             {"leaseAgeMs", this->context.view->reportedLeaseAgeMs()}});
    this->attempt->call = this->context.client.start(this->callOptions(choice));
}

// ---- Receiving ----

void ForwardRun::handleHead(unsigned status, const HttpHeaders &headers)
{
    Attempt &current = *this->attempt;
    current.head = this->context.dialect.readHead(status, headers);
    current.hasHead = true;
    current.isFramed = headers.contains("content-length") || headers.contains("transfer-encoding");
    current.lastReceivedMs = this->now();
    this->recordEndpointState(current.head);
    // Without an id, only the first answer of a connection can be told from a late one to an earlier request.
    const bool isUnnamed = current.head.requestId.empty() && current.call->connection().earlierRequests > 0;
    const bool isOtherRequest = !current.head.requestId.empty() && current.head.requestId != this->request.id;
    const bool isUnproven = ForwardRun::isSuccess(current.head) && (!current.head.isSigned || current.head.requestId.empty());
    if (isUnnamed || isOtherRequest || isUnproven || current.head.isEncoded) {
        // The response belongs to another request or was not sent by the endpoint: discard all of it, and the connection on which that of this
        // request may still come.
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "answer-spoiled");
        return;
    }
    // An endpoint that crashes under the request does so after the head. The evidence would be lost with the attempt, and the harm carried on.
    current.isEscalationDeferred = !this->context.quarantine.unclearedParts(this->suspect, this->now()).empty();
    if (!current.isEscalationDeferred && this->shouldEscalate()) {
        this->escalate();
    }
}

void ForwardRun::recordEndpointState(const EndpointResponseHead &head)
{
    const std::string &endpoint = this->attempt->choice.endpoint;
    if (head.isLeaving && this->context.endpoints.isReady(endpoint)) {
        logLine(LogLevel::Info, "endpoint-leaving", {{"endpoint", endpoint}, {"request", this->request.id}});
        this->context.endpoints.recordLeaving(endpoint);
    }
    this->context.endpoints.recordCold(endpoint, head.coldMs, this->now());
    this->recordLimit(head);
    if (head.status == StatusUnavailable && head.retryAfterMs) {
        logLine(LogLevel::Info, "endpoint-paused", {{"endpoint", endpoint}, {"request", this->request.id}, {"pauseMs", *head.retryAfterMs}});
        this->context.metrics.count("endpoint_pauses_total", this->service);
        this->context.endpoints.recordPause(endpoint, *head.retryAfterMs, this->now());
    }
}

void ForwardRun::recordLimit(const EndpointResponseHead &head)
{
    const bool isOwn = head.requestId == this->request.id;
    // A limit that can't be read says neither that there is none nor which; and only its own answer shows when an endpoint named none.
    const bool isStatement = head.hasLimit ? head.limitPerSecond.has_value() : isOwn;
    if (!isStatement) {
        return;
    }
    const EndpointChoice &choice = this->attempt->choice;
    EndpointLimits &limits = this->context.endpoints.limits();
    const bool isChanged = limits.recordAnswer(
        {
            .endpoint = choice.endpoint,
            .bornMs = choice.bornMs,
            .service = this->service,
            .perSecond = head.limitPerSecond,
            .sentMs = isOwn ? this->attempt->startedMs : 0,
        },
        this->now());
    if (isChanged) {
        logLine(LogLevel::Info,
                "endpoint-limit",
                {{"endpoint", choice.endpoint},
                 {"request", this->request.id},
                 {"perSecond", head.limitPerSecond.value_or(-1)},
                 {"sentAgoMs", this->now() - this->attempt->startedMs}});
    }
    if (head.hasLimit) {
        this->context.metrics.count("answers_with_limit_total", this->service);
    }
}

bool ForwardRun::shouldEscalate()
{
    const std::string next = this->request.anyModel ? ModelEscalation::next(this->route, this->model) : std::string();
    const EndpointResponseHead &head = this->attempt->head;
    const bool isPossible = !next.empty() && !this->isStreamStarted && this->isStreaming() && ForwardRun::isSuccess(head) && head.confidence
        && this->runs + 1 < this->route.max_attempts();
    if (!isPossible) {
        return false;
    }
    EndpointQuery query = this->endpointQuery();
    query.model = next;
    query.avoid = this->refusingEndpoints;
    const std::optional<EndpointChoice> choice = this->context.endpoints.choose(query, this->now());
    const std::uint64_t elapsedMs = this->now() - this->arrivedMs;
    const bool isWorthwhile = choice
        && this->context.escalation.shouldEscalate({
            .confidence = head.confidence,
            .objectiveLeftMs = static_cast<double>(this->route.objective_ms()) - static_cast<double>(elapsedMs),
            .expectedMs = choice->expectedMs,
        });
    return isWorthwhile && this->context.retries.tryAcquire(this->service, this->now());
}

void ForwardRun::escalate()
{
    const std::optional<int> confidence = this->attempt->head.confidence;
    this->recordAnswer(false);
    this->closeAttempt(AttemptOutcome::Complete);
    ++this->runs;
    this->verdict = combined(this->verdict, Verdict::Ran);
    this->model = ModelEscalation::next(this->route, this->model);
    // An endpoint that refused the request could repeat that refusal under the same id.
    this->triedEndpoints = this->refusingEndpoints;
    logLine(LogLevel::Info, "model-escalated", {{"request", this->request.id}, {"confidence", static_cast<std::int64_t>(*confidence)}, {"model", this->model}});
    this->context.metrics.count("models_escalated_total", this->route.name());
    this->dispatch();
}

bool ForwardRun::isSuccess(const EndpointResponseHead &head)
{
    return head.status >= StatusOk && head.status < StatusRedirect;
}

void ForwardRun::handleData(std::string_view bytes)
{
    Attempt &current = *this->attempt;
    const bool isPlain = !this->isStreaming() || !ForwardRun::isSuccess(current.head);
    if (isPlain) {
        current.lastReceivedMs = this->now();
        current.body.append(bytes);
    } else {
        current.events.append(bytes);
        this->forwardEvents();
    }
    // forwardEvents() may have ended the attempt.
    if (this->attempt.get() == &current) {
        this->checkHeldBytes();
    }
}

void ForwardRun::checkHeldBytes()
{
    Attempt &current = *this->attempt;
    if (std::max(current.body.size(), current.events.size()) > this->context.settings.maxAnswerBytes) {
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "answer-too-long");
        return;
    }
    if (!current.held->resize(current.body.capacity() + current.events.capacity(), this->now())) {
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "memory-scarce");
    }
}

void ForwardRun::forwardEvents()
{
    Attempt &current = *this->attempt;
    while (const std::optional<StreamEvent> event = current.events.next()) {
        if (std::exchange(current.isEscalationDeferred, false) && this->shouldEscalate()) {
            this->escalate();
            return;
        }
        if (!this->forwardEvent(*event)) {
            this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "event-out-of-order");
            return;
        }
    }
}

bool ForwardRun::forwardEvent(const StreamEvent &event)
{
    const std::optional<std::uint64_t> number = parseEventNumber(event.id);
    const std::optional<std::uint64_t> last = parseEventNumber(this->lastEventId);
    // What a further endpoint sends must go on where the stream broke off.
    const bool isUnnumbered = !number && last && !this->attempt->wasAnswered;
    if (isUnnumbered || (number && last && *number != *last + 1)) {
        logLine(LogLevel::Warning, "event-out-of-order", {{"request", this->request.id}, {"id", event.id}, {"last", this->lastEventId}});
        return false;
    }
    this->recordAnswer(false);
    this->recordEvent();
    // Only whole events are progress: single bytes would keep a stalled stream alive.
    this->attempt->lastReceivedMs = this->now();
    if (!this->isStreamStarted) {
        this->isStreamStarted = true;
        this->firstEventMs = this->now();
        this->reply->startStream(this->attempt->head.status, this->attempt->head.headers);
    }
    if (!event.id.empty()) {
        this->lastEventId = event.id;
    }
    this->reply->write(event.bytes);
    this->pauseForCaller();
    if (!this->isAwaitingAnswer()) {
        this->settleAnswer();
    }
    return true;
}

void ForwardRun::pauseForCaller()
{
    const std::size_t bound = ByteBudget::process().isScarce() ? MaxScarceUnsentBytes : MaxUnsentBytes;
    if (this->attempt->isPaused || this->reply->queuedBytes() <= bound) {
        return;
    }
    this->attempt->isPaused = true;
    this->attempt->call->pause();
    this->context.metrics.count("streams_paused_total", this->route.name());
}

void ForwardRun::resumeForCaller()
{
    if (this->isEnded || !this->attempt || !std::exchange(this->attempt->isPaused, false)) {
        return;
    }
    this->attempt->lastReceivedMs = this->now();
    this->attempt->pace.recordInterruption();
    this->attempt->call->resume();
}

void ForwardRun::recordEvent()
{
    StreamPace &pace = this->attempt->pace;
    if (pace.isComplete()) {
        return;
    }
    pace.recordEvent(this->now());
    if (pace.isComplete()) {
        this->recordPace();
    }
}

void ForwardRun::recordPace()
{
    const Attempt &current = *this->attempt;
    if (const std::optional<double> gapMs = current.pace.gapMs()) {
        this->context.versionCounts.recordPace(this->versionRoute(current.choice), current.query.model, *gapMs);
    }
}

bool ForwardRun::isAwaitingAnswer() const
{
    const Attempt &current = *this->attempt;
    return !current.isSettled && (!current.wasAnswered || this->now() - current.answeredMs < AnswerSettlingMs);
}

void ForwardRun::settleAnswer()
{
    Attempt &current = *this->attempt;
    if (!std::exchange(current.isSettled, true)) {
        this->context.quarantine.recordAnswered(this->suspect.parts, current.choice.endpoint, current.answeredMs);
    }
}

void ForwardRun::recordLoss()
{
    if (!this->isAwaitingAnswer()) {
        return;
    }
    // Its first loss may have had another cause, so a request that nothing speaks against is repeated once.
    this->isHarmful = this->isTrial || this->context.quarantine.isSuspect(this->suspect, this->now());
    this->context.crashes.recordLoss(this->attempt->choice, this->suspect);
}

void ForwardRun::failLost(const std::string &reason)
{
    this->recordLoss();
    this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, reason);
}

void ForwardRun::recordAnswer(bool failed)
{
    Attempt &current = *this->attempt;
    if (std::exchange(current.wasAnswered, true)) {
        return;
    }
    current.answeredMs = this->now();
    const std::uint64_t tookMs = this->now() - current.startedMs;
    this->context.endpoints.recordAnswer(current.choice, tookMs, this->now());
    this->context.versionCounts.recordAnswer(this->versionRoute(current.choice), failed, current.startedMs, this->now());
}

void ForwardRun::handleDone(const HttpResult &result)
{
    Attempt &current = *this->attempt;
    current.transportError = result.error;
    if (result.neverSent) {
        this->failAttempt(AttemptOutcome::Unreachable, Verdict::NotRun, "unreachable");
        return;
    }
    if (current.hasHead && current.head.isNotRun && result.whole && !result.quotesStatusLine) {
        this->refusingEndpoints.push_back(current.choice.endpoint);
        this->failAttempt(AttemptOutcome::Refused, Verdict::NotRun, "endpoint-refused");
        return;
    }
    if (!result.whole || !current.hasHead) {
        this->failLost(current.hasHead ? "answer-cut" : "no-answer");
        return;
    }
    if (current.head.status >= StatusServerError) {
        this->recordAnswer(true);
        this->failAttempt(AttemptOutcome::Failed, Verdict::Ran, "endpoint-failed");
        return;
    }
    if (this->isStreaming() && ForwardRun::isSuccess(current.head)) {
        // Without a length and an event, nothing tells an answer that has ended from one that was broken off.
        const bool isEmpty = !current.wasAnswered && (!this->isStreamStarted || !current.isFramed);
        if (current.events.hasPartialEvent() || isEmpty) {
            this->failLost("stream-cut");
            return;
        }
        const unsigned status = current.head.status;
        this->settleAnswer();
        this->closeAttempt(AttemptOutcome::Complete);
        this->reply->finish();
        this->finish(status, "whole");
        return;
    }
    this->recordAnswer(false);
    this->settleAnswer();
    const EndpointResponseHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(AttemptOutcome::Complete);
    this->forwardResponse(head, std::move(body));
}

void ForwardRun::forwardResponse(const EndpointResponseHead &head, std::string body)
{
    if (isRefusal(head.status)) {
        // The endpoint did not state that the request has not run, so no answer may promise it.
        this->verdict = combined(this->verdict, Verdict::MayHaveRun);
        this->failRequest("refusal-unproven");
        return;
    }
    if (this->isStreamStarted) {
        this->reply->abort();
    } else {
        this->reply->send(head.status, head.headers, std::move(body));
    }
    this->finish(head.status, "endpoint");
}

// ---- Ending attempts and the request ----

bool ForwardRun::canRetry(Verdict last) const
{
    if (this->sends >= MaxSends || this->remainingMs() < MinRemainingMs) {
        return false;
    }
    if (last == Verdict::NotRun) {
        return true;
    }
    if (this->isHarmful) {
        return false;
    }
    const bool isRepeatable = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    return isRepeatable && this->runs < this->route.max_attempts();
}

void ForwardRun::closeAttempt(AttemptOutcome outcome)
{
    const EndpointChoice &choice = this->attempt->choice;
    if (!this->attempt->pace.isComplete()) {
        this->recordPace();
    }
    this->attempt->call.reset();
    this->attempt->held.reset();
    std::string().swap(this->attempt->body);
    EventSplitter unread;
    std::swap(this->attempt->events, unread);
    this->context.endpoints.recordEnd(choice, outcome, this->attempt->wasAnswered, this->now());
    if (this->attempt->wasAnswered) {
        this->context.versionCounts.recordEnd(this->versionRoute(choice));
    } else {
        const bool wasGivenUp = outcome == AttemptOutcome::Overdue || outcome == AttemptOutcome::Cancelled;
        this->context.versionCounts.recordUnanswered(this->versionRoute(choice), wasGivenUp, this->attempt->startedMs, this->now());
    }
    this->context.versionSplit.recordEnd(this->service, this->request.session, this->now());
    // Kept until the run is destroyed: this function may be called from a callback of the attempt's own call.
    this->endedAttempts.push_back(std::move(this->attempt));
}

void ForwardRun::failAttempt(AttemptOutcome outcome, Verdict last, const std::string &reason)
{
    Attempt &current = *this->attempt;
    this->lastFailure = reason;
    this->runs += last == Verdict::NotRun ? 0 : 1;
    this->verdict = combined(this->verdict, last);
    const HttpConnection connection = current.call ? current.call->connection() : HttpConnection();
    logLine(LogLevel::Warning,
            "attempt-ended",
            {{"request", this->request.id},
             {"endpoint", current.choice.endpoint},
             {"address", current.choice.address},
             {"connection", connection.number},
             {"earlierRequests", connection.earlierRequests},
             {"why", reason},
             {"verdict", std::string(verdictName(last))},
             {"status", static_cast<std::uint64_t>(current.head.status)},
             {"tookMs", this->now() - current.startedMs},
             {"answeredForMs", this->sinceAnswerMs()},
             {"error", current.transportError},
             {"parts", promptText(this->request.prompt)}});
    this->context.metrics.count("attempts_ended_total", reason);
    const bool canRetry = this->canRetry(last);
    const bool shouldRetry = canRetry && this->acquireRetry(outcome);
    const bool hasErrorResponse = outcome == AttemptOutcome::Failed && !this->isStreamStarted;
    const EndpointResponseHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(outcome);
    if (shouldRetry) {
        this->dispatch();
        return;
    }
    if (canRetry && this->isStreamStarted && this->request.anyModel) {
        // Requests of others make room in the budget within a fraction of a second, and a caller can't repeat a part of a stream.
        this->isAwaitingBudget = true;
        this->context.metrics.count("streams_awaiting_budget_total", this->route.name());
        logLine(LogLevel::Info, "stream-awaits-budget", {{"request", this->request.id}, {"leftMs", this->remainingMs()}});
        return;
    }
    if (hasErrorResponse) {
        this->forwardResponse(head, std::move(body));
        return;
    }
    this->failRequest(reason);
}

bool ForwardRun::acquireRetry(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Unreachable) {
        // The endpoint has received nothing, so the retry takes nothing from the budget.
        return true;
    }
    const bool isLost = this->request.anyModel && (this->isStreamStarted || outcome == AttemptOutcome::Incomplete);
    return this->context.retries.tryAcquire(this->service, this->now(), isLost ? RepeatCause::LostAnswer : RepeatCause::Ordinary);
}

void ForwardRun::resumeWithinBudget()
{
    if (this->acquireRetry(AttemptOutcome::Incomplete)) {
        this->isAwaitingBudget = false;
        this->dispatch();
    }
}

void ForwardRun::checkProgress()
{
    if (this->isAwaitingBudget) {
        this->resumeWithinBudget();
        return;
    }
    const bool isRepeatable = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    // A paused endpoint waits for the caller.
    if (!this->attempt || !isRepeatable || this->attempt->isPaused) {
        return;
    }
    const std::uint64_t nowMs = this->now();
    const std::uint64_t silentMs = nowMs - this->attempt->lastReceivedMs;
    const std::uint64_t objectiveMs = this->route.objective_ms();
    bool isOverdue = false;
    if (!this->isStreaming()) {
        isOverdue = silentMs > MaxSilentObjectives * objectiveMs;
    } else if (!this->attempt->wasAnswered) {
        const bool isOvertaken = this->context.endpoints.isOvertaken(this->attempt->choice, this->attempt->startedMs);
        isOverdue = isOvertaken && silentMs > objectiveMs / OvertakenObjectiveDivisor;
    } else {
        isOverdue = silentMs > MaxStreamPauseMs;
    }
    if (isOverdue && this->canRetry(Verdict::MayHaveRun)) {
        this->failAttempt(AttemptOutcome::Overdue, Verdict::MayHaveRun, "overdue");
    }
}

void ForwardRun::failRequest(const std::string &reason)
{
    if (this->isStreamStarted) {
        this->reply->abort();
        this->finish(StatusBadGateway, reason);
        return;
    }
    if (this->verdict != Verdict::NotRun) {
        this->sendError(StatusBadGateway, reason, std::nullopt);
        return;
    }
    const auto waitMs = static_cast<std::uint64_t>(RetryAfterFraction * static_cast<double>(this->remainingMs()));
    // Before the first endpoint takes requests again, coming back is in vain.
    this->sendError(StatusUnavailable, reason, std::max(std::min(waitMs, MaxRetryAfterMs), this->context.endpoints.pauseLeftMs(this->service, this->now())));
}

void ForwardRun::timeOut(const std::string &reason)
{
    if (this->isEnded) {
        return;
    }
    if (this->attempt) {
        this->closeAttempt(AttemptOutcome::Cancelled);
        this->verdict = combined(this->verdict, Verdict::MayHaveRun);
    }
    if (this->isStreamStarted) {
        this->reply->abort();
        this->finish(StatusTimeout, reason);
        return;
    }
    this->sendError(StatusTimeout, reason, std::nullopt);
}

void ForwardRun::endForStop()
{
    if (this->isEnded) {
        return;
    }
    if (this->attempt) {
        this->closeAttempt(AttemptOutcome::Cancelled);
        this->verdict = combined(this->verdict, Verdict::MayHaveRun);
    }
    this->failRequest("stopping");
}

void ForwardRun::sendError(unsigned status, const std::string &reason, std::optional<std::uint64_t> retryAfterMs)
{
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (retryAfterMs) {
        constexpr double MsPerSecond = 1000;
        headers["Retry-After"] = std::to_string(static_cast<double>(*retryAfterMs) / MsPerSecond);
    }
    this->reply->send(status, headers, "{\"error\":\"" + reason + "\"}");
    this->finish(status, reason);
}

void ForwardRun::handleDisconnect()
{
    if (this->isEnded) {
        return;
    }
    if (this->attempt) {
        this->closeAttempt(AttemptOutcome::Cancelled);
    }
    this->finish(0, "caller-left");
}

void ForwardRun::finish(unsigned status, const std::string &reason)
{
    if (std::exchange(this->isEnded, true)) {
        return;
    }
    this->deadlineTimer.stop();
    this->context.progressChecks.remove(this);
    this->context.limitQueue.remove(this);
    const bool isServed = status >= StatusOk && status < StatusRedirect && (reason == "whole" || reason == "endpoint");
    const std::uint64_t tookMs = this->now() - this->arrivedMs;
    logLine(isServed ? LogLevel::Info : LogLevel::Warning,
            "request-ended",
            {{"request", this->request.id},
             {"route", this->route.name()},
             {"status", static_cast<std::uint64_t>(status)},
             {"why", reason},
             {"verdict", std::string(verdictName(this->verdict))},
             {"sends", static_cast<std::uint64_t>(this->sends)},
             {"model", this->model},
             {"promptTokens", this->request.promptTokens},
             {"firstMs", this->firstEventMs == 0 ? 0 : this->firstEventMs - this->arrivedMs},
             {"heldMs", this->request.heldMs},
             {"tookMs", tookMs},
             {"timeoutMs", this->route.timeout_ms()}});
    this->context.metrics.count("requests_ended_total", this->route.name() + "," + std::to_string(status) + "," + reason);
    if (isServed || reason == "deadline") {
        this->context.durations.record(this->route.name(), tookMs);
    }
    this->context.metrics.observe("request_ms", this->route.name(), static_cast<double>(tookMs));
    if (tookMs >= this->route.timeout_ms()) {
        this->context.metrics.observe("timeout_overrun_ms", this->route.name(), static_cast<double>(tookMs - this->route.timeout_ms()));
    }
    // Deferred: this function may be called from a callback of a call that the run owns.
    this->context.loop.post([this, token = this->alive] {
        if (*token) {
            this->context.onEnded(this);
        }
    });
}

} // namespace Apricothead
