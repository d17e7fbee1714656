#include "ForwardRun.h"

#include "../Transport/Log.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
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

std::optional<std::uint64_t> parseEventNumber(const std::string &id)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
}

/** \returns the ids of the parts in hexadecimal, separated by commas */
std::string promptPartsText(const std::vector<PromptPart> &prompt)
{
    std::ostringstream text;
    text << std::hex;
    for (const PromptPart &part : prompt) {
        text << (text.tellp() > 0 ? "," : "") << part.id;
    }
    return text.str();
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
{ }

ForwardRun::~ForwardRun()
{
    *this->alive = false;
    this->context.progressChecks.remove(this);
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
    const std::string &drawKey = this->request.session.empty() ? this->request.id : this->request.session;
    this->draw = uniformHash(drawKey);
    this->service = PlanIndex::serviceFor(this->route, XXH3_64bits_withSeed(this->request.id.data(), this->request.id.size(), 1));
    this->context.retries.recordRequest(this->service, nowMs);
    this->reply->onDisconnect([this, token = this->alive] {
        if (*token) {
            this->handleDisconnect();
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
    const EndpointQuery query = this->endpointQuery();
    const std::optional<EndpointChoice> choice = this->context.endpoints.choose(query, this->now());
    if (!choice) {
        this->failRequest(this->lastFailure.empty() ? "no-endpoint" : this->lastFailure);
        return;
    }
    this->send(query, *choice);
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
        .body = this->request.body,
        .connectTimeout = std::min(ConnectTimeout, milliseconds(std::max<std::uint64_t>(1, this->remainingMs()))),
        .keepConnection = true,
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
    this->context.endpoints.recordStart(query, choice);
    this->context.versionSplit.recordStart(this->service, this->request.session, choice.version, this->now());
    this->context.versionCounts.recordStart(this->versionRoute(choice), this->attempt->startedMs);
    logLine(LogLevel::Info,
            "request-sent",
            {{"request", this->request.id},
             {"route", this->route.name()},
             {"endpoint", choice.endpoint},
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
    current.lastReceivedMs = this->now();
    const bool isOtherRequest = !current.head.requestId.empty() && current.head.requestId != this->request.id;
    if (isOtherRequest || current.head.isEncoded || (ForwardRun::isSuccess(current.head) && (!current.head.isSigned || current.head.requestId.empty()))) {
        // The response belongs to another request or was not sent by the endpoint: discard all of it.
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "answer-spoiled");
        return;
    }
    if (this->shouldEscalate()) {
        this->escalate();
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
    query.avoid.clear();
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
    this->triedEndpoints.clear();
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
    const bool isEndless = this->attempt.get() == &current && std::max(current.body.size(), current.events.size()) > this->context.settings.maxAnswerBytes;
    if (isEndless) {
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "answer-too-long");
    }
}

void ForwardRun::forwardEvents()
{
    Attempt &current = *this->attempt;
    while (const std::optional<StreamEvent> event = current.events.next()) {
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
    if (number && last && *number != *last + 1) {
        logLine(LogLevel::Warning, "event-out-of-order", {{"request", this->request.id}, {"id", event.id}, {"last", this->lastEventId}});
        return false;
    }
    this->recordAnswer(false);
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
    return true;
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
    if (current.hasHead && current.head.isNotRun && result.whole) {
        this->failAttempt(AttemptOutcome::Refused, Verdict::NotRun, "endpoint-refused");
        return;
    }
    if (!result.whole || !current.hasHead) {
        const std::string reason = current.hasHead ? "answer-cut" : "no-answer";
        this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, reason);
        return;
    }
    if (current.head.status >= StatusServerError) {
        this->recordAnswer(true);
        this->failAttempt(AttemptOutcome::Failed, Verdict::Ran, "endpoint-failed");
        return;
    }
    if (this->isStreaming() && ForwardRun::isSuccess(current.head)) {
        if (current.events.hasPartialEvent() || !this->isStreamStarted) {
            this->failAttempt(AttemptOutcome::Incomplete, Verdict::MayHaveRun, "stream-cut");
            return;
        }
        const unsigned status = current.head.status;
        this->closeAttempt(AttemptOutcome::Complete);
        this->reply->finish();
        this->finish(status, "whole");
        return;
    }
    this->recordAnswer(false);
    const EndpointResponseHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(AttemptOutcome::Complete);
    this->forwardResponse(head, std::move(body));
}

void ForwardRun::forwardResponse(const EndpointResponseHead &head, std::string body)
{
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
    const bool isRepeatable = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    return isRepeatable && this->runs < this->route.max_attempts();
}

void ForwardRun::closeAttempt(AttemptOutcome outcome)
{
    const EndpointChoice &choice = this->attempt->choice;
    this->attempt->call.reset();
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
    logLine(LogLevel::Warning,
            "attempt-ended",
            {{"request", this->request.id},
             {"endpoint", current.choice.endpoint},
             {"why", reason},
             {"verdict", std::string(verdictName(last))},
             {"status", static_cast<std::uint64_t>(current.head.status)},
             {"tookMs", this->now() - current.startedMs},
             {"answeredForMs", this->sinceAnswerMs()},
             {"error", current.transportError},
             {"parts", promptPartsText(this->request.prompt)}});
    this->context.metrics.count("attempts_ended_total", reason);
    // An endpoint that could not be reached has received nothing, so the retry takes nothing from the budget.
    const bool shouldRetry = this->canRetry(last) && (outcome == AttemptOutcome::Unreachable || this->context.retries.tryAcquire(this->service, this->now()));
    const bool hasErrorResponse = outcome == AttemptOutcome::Failed && !this->isStreamStarted;
    const EndpointResponseHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(outcome);
    if (shouldRetry) {
        this->dispatch();
        return;
    }
    if (hasErrorResponse) {
        this->forwardResponse(head, std::move(body));
        return;
    }
    this->failRequest(reason);
}

void ForwardRun::checkProgress()
{
    const bool isRepeatable = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    if (!this->attempt || !isRepeatable) {
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
    this->sendError(StatusUnavailable, reason, std::min(waitMs, MaxRetryAfterMs));
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
