#include "ForwardRun.h"

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
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;

/** Connections within a region take a few ms, and the endpoint 1 ms; a packet that is lost is sent again after 200 ms. */
constexpr milliseconds ConnectTimeout{450};
/** Unacknowledged bytes break a connection that something on the way has forgotten. */
constexpr milliseconds UnacknowledgedTimeout{1200};
/** How often a run looks at the silence of its endpoint. */
constexpr milliseconds WatchInterval{150};
/** A repeatable request goes elsewhere after this many latency objectives without an answer. */
constexpr unsigned SilentObjectives = 3;
/** A stream that was overtaken goes elsewhere after this part of its latency objective without its first event. */
constexpr unsigned SilentObjectiveParts = 2;
/** A stream of an endpoint that answers others goes elsewhere after this pause: longer than the pauses of a preemption. */
constexpr std::uint64_t LongestPauseMs = 2500;
/** Attempts that did not run are free for the endpoint; still, each costs the caller time. */
constexpr unsigned MostSends = 5;
/** With less time left another attempt can't end. */
constexpr std::uint64_t LeastLeftMs = 30;
/** A caller is told to come back after this part of the time left. */
constexpr double RetryAfterPart = 0.15;
constexpr std::uint64_t MostRetryAfterMs = 1500;

std::optional<std::uint64_t> numberOf(const std::string &id)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
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
    , deadlineTimer(context.loop,
                    [this] {
                        this->giveUp("deadline");
                    })
    , watchTimer(context.loop, [this] {
        this->watch();
    })
{ }

ForwardRun::~ForwardRun()
{
    *this->alive = false;
}

std::uint64_t ForwardRun::now() const
{
    return this->context.loop.nowMs();
}

std::uint64_t ForwardRun::leftMs() const
{
    const std::uint64_t nowMs = this->now();
    return this->deadlineMs > nowMs ? this->deadlineMs - nowMs : 0;
}

bool ForwardRun::isStreaming() const
{
    return this->route.repeat() == Wire::REPEAT_RULE_STREAM;
}

void ForwardRun::start()
{
    this->arrivedMs = this->now();
    std::uint64_t waitMs = this->route.timeout_ms();
    if (this->request.patienceMs) {
        waitMs = std::min(waitMs, *this->request.patienceMs);
    }
    this->deadlineMs = this->arrivedMs + waitMs;
    this->lastEventId = this->request.lastEventId;
    this->model = this->request.anyModel ? ModelLadder::first(this->route) : this->request.model;
    const std::string &drawn = this->request.session.empty() ? this->request.id : this->request.session;
    this->draw = versionDraw(drawn);
    this->service = PlanIndex::serviceFor(this->route, XXH3_64bits_withSeed(this->request.id.data(), this->request.id.size(), 1));
    this->context.retries.recordRequest(this->service, this->arrivedMs);
    this->reply->onDisconnect([this, token = this->alive] {
        if (*token) {
            this->callerLeft();
        }
    });
    this->deadlineTimer.startOnce(milliseconds(waitMs));
    this->watchTimer.startRepeating(WatchInterval);
    this->dispatch();
}

// ---- sending ----

EndpointQuestion ForwardRun::question()
{
    return {
        .service = this->service,
        .versions = this->context.versions.rule(this->service, this->request.session, this->draw, this->now()),
        .avoid = this->tried,
        .prompt = this->request.prompt,
        .model = this->model,
    };
}

unsigned ForwardRun::priority() const
{
    constexpr unsigned Least = 9;
    const unsigned wanted = this->organisation != nullptr ? this->organisation->priority() : this->route.priority();
    return std::min(Least, wanted);
}

void ForwardRun::dispatch()
{
    if (this->leftMs() < LeastLeftMs) {
        this->giveUp("deadline");
        return;
    }
    const EndpointQuestion asked = this->question();
    const std::optional<EndpointChoice> choice = this->context.endpoints.choose(asked, this->now());
    if (!choice) {
        this->refuse(this->lastEnd.empty() ? "no-endpoint" : this->lastEnd);
        return;
    }
    this->send(asked, *choice);
}

HttpCallOptions ForwardRun::callOptions(const EndpointChoice &choice)
{
    const DispatchTerms terms{
        .endpoint = choice.endpoint,
        .organisation = this->organisation == nullptr ? std::string() : this->organisation->name(),
        .leftMs = this->leftMs(),
        .priority = this->priority(),
        .model = this->request.anyModel ? this->model : std::string(),
        .lastEventId = this->lastEventId,
    };
    return {
        .method = this->request.method,
        .url = "http://" + choice.address + this->request.target,
        .headers = this->context.dialect.encode(this->request, terms),
        .body = this->request.body,
        .connectTimeout = std::min(ConnectTimeout, milliseconds(std::max<std::uint64_t>(1, this->leftMs()))),
        .keepConnection = true,
        .unacknowledged = UnacknowledgedTimeout,
        .onHead =
            [this](unsigned status, const HttpHeaders &headers) {
                this->takeHead(status, headers);
            },
        .onData =
            [this](std::string_view bytes) {
                this->takeBytes(bytes);
            },
        .onDone =
            [this](const HttpResult &result) {
                this->ended(result);
            },
    };
}

void ForwardRun::send(const EndpointQuestion &asked, const EndpointChoice &choice)
{
    ++this->sends;
    this->tried.push_back(choice.endpoint);
    this->attempt = std::make_unique<Attempt>();
    this->attempt->question = asked;
    this->attempt->choice = choice;
    this->attempt->startedMs = this->now();
    this->attempt->heardMs = this->attempt->startedMs;
    this->context.endpoints.started(asked, choice, this->now());
    this->context.versions.started(this->service, this->request.session, choice.version, this->now());
    this->context.counts.started(this->service, choice.version, this->route.name());
    logLine(LogLevel::Info,
            "request-sent",
            {{"request", this->request.id},
             {"route", this->route.name()},
             {"endpoint", choice.endpoint},
             {"version", choice.version},
             {"model", asked.model},
             {"reason", choice.reason},
             {"expectedMs", choice.expectedMs},
             {"uncachedTokens", choice.uncachedTokens},
             {"attempt", static_cast<std::uint64_t>(this->sends)},
             {"leftMs", this->leftMs()},
             {"revision", this->plan->revision()},
             {"leaseAgeMs", this->context.view->leaseAgeMs()}});
    this->attempt->call = this->context.client.start(this->callOptions(choice));
}

// ---- what comes back ----

void ForwardRun::takeHead(unsigned status, const HttpHeaders &headers)
{
    Attempt &current = *this->attempt;
    current.head = this->context.dialect.readHead(status, headers);
    current.hasHead = true;
    current.heardMs = this->now();
    const bool isOther = !current.head.requestId.empty() && current.head.requestId != this->request.id;
    if (isOther || current.head.isEncoded || (ForwardRun::isSuccess(current.head) && (!current.head.isSigned || current.head.requestId.empty()))) {
        // Not this request's answer, or not the endpoint's: nothing of it may be used.
        this->endAttempt(AttemptEnd::Broken, Verdict::MayHaveRun, "answer-spoiled");
        return;
    }
    if (this->shouldEscalate()) {
        this->escalate();
    }
}

bool ForwardRun::shouldEscalate()
{
    const std::string next = this->request.anyModel ? ModelLadder::next(this->route, this->model) : std::string();
    const EndpointAnswerHead &head = this->attempt->head;
    const bool isPossible = !next.empty() && !this->isStreamStarted && this->isStreaming() && ForwardRun::isSuccess(head) && head.confidence
        && this->runs + 1 < this->route.max_attempts();
    if (!isPossible) {
        return false;
    }
    EndpointQuestion asked = this->question();
    asked.model = next;
    asked.avoid.clear();
    const std::optional<EndpointChoice> choice = this->context.endpoints.choose(asked, this->now());
    const std::uint64_t usedMs = this->now() - this->arrivedMs;
    const bool wanted = choice
        && this->context.ladder.shouldEscalate({
            .confidence = head.confidence,
            .objectiveLeftMs = static_cast<double>(this->route.objective_ms()) - static_cast<double>(usedMs),
            .expectedMs = choice->expectedMs,
        });
    return wanted && this->context.retries.tryAcquire(this->service, this->now());
}

void ForwardRun::escalate()
{
    const std::optional<int> confidence = this->attempt->head.confidence;
    this->noteAnswered(false);
    this->closeAttempt(AttemptEnd::Whole);
    ++this->runs;
    this->verdict = combined(this->verdict, Verdict::Ran);
    this->model = ModelLadder::next(this->route, this->model);
    this->tried.clear();
    logLine(LogLevel::Info, "model-escalated", {{"request", this->request.id}, {"confidence", static_cast<std::int64_t>(*confidence)}, {"model", this->model}});
    this->context.metrics.count("models_escalated_total", this->route.name());
    this->dispatch();
}

bool ForwardRun::isSuccess(const EndpointAnswerHead &head)
{
    return head.status >= StatusOk && head.status < StatusRedirect;
}

void ForwardRun::takeBytes(std::string_view bytes)
{
    Attempt &current = *this->attempt;
    current.heardMs = this->now();
    if (!this->isStreaming() || !ForwardRun::isSuccess(current.head)) {
        current.body.append(bytes);
        return;
    }
    current.events.append(bytes);
    this->takeEvents();
}

void ForwardRun::takeEvents()
{
    Attempt &current = *this->attempt;
    while (const std::optional<StreamEvent> event = current.events.next()) {
        if (!this->passEvent(*event)) {
            this->endAttempt(AttemptEnd::Broken, Verdict::MayHaveRun, "event-out-of-order");
            return;
        }
    }
}

bool ForwardRun::passEvent(const StreamEvent &event)
{
    const std::optional<std::uint64_t> number = numberOf(event.id);
    const std::optional<std::uint64_t> last = numberOf(this->lastEventId);
    if (number && last && *number != *last + 1) {
        logLine(LogLevel::Warning, "event-out-of-order", {{"request", this->request.id}, {"id", event.id}, {"last", this->lastEventId}});
        return false;
    }
    this->noteAnswered(false);
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

void ForwardRun::noteAnswered(bool failed)
{
    Attempt &current = *this->attempt;
    if (std::exchange(current.wasAnswered, true)) {
        return;
    }
    const std::uint64_t tookMs = this->now() - current.startedMs;
    this->context.endpoints.answered(current.choice, tookMs, this->now());
    this->context.counts.answered(this->service, current.choice.version, this->route.name(), failed, static_cast<double>(tookMs));
}

void ForwardRun::ended(const HttpResult &result)
{
    Attempt &current = *this->attempt;
    if (result.neverSent) {
        this->endAttempt(AttemptEnd::Unreachable, Verdict::NotRun, "unreachable");
        return;
    }
    if (current.hasHead && current.head.isNotRun && result.whole) {
        this->endAttempt(AttemptEnd::Refused, Verdict::NotRun, "endpoint-refused");
        return;
    }
    if (!result.whole || !current.hasHead) {
        const std::string why = current.hasHead ? "answer-cut" : "no-answer";
        this->endAttempt(AttemptEnd::Broken, Verdict::MayHaveRun, why);
        return;
    }
    if (current.head.status >= StatusServerError) {
        this->noteAnswered(true);
        this->endAttempt(AttemptEnd::Failed, Verdict::Ran, "endpoint-failed");
        return;
    }
    if (this->isStreaming() && ForwardRun::isSuccess(current.head)) {
        if (current.events.hasRest() || !this->isStreamStarted) {
            this->endAttempt(AttemptEnd::Broken, Verdict::MayHaveRun, "stream-cut");
            return;
        }
        const unsigned status = current.head.status;
        this->closeAttempt(AttemptEnd::Whole);
        this->reply->finish();
        this->finished(status, "whole");
        return;
    }
    this->noteAnswered(false);
    const EndpointAnswerHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(AttemptEnd::Whole);
    this->passWhole(head, std::move(body));
}

void ForwardRun::passWhole(const EndpointAnswerHead &head, std::string body)
{
    if (this->isStreamStarted) {
        this->reply->abort();
    } else {
        this->reply->send(head.status, head.headers, std::move(body));
    }
    this->finished(head.status, "endpoint");
}

// ---- what next ----

bool ForwardRun::mayTryAgain(Verdict last) const
{
    if (this->sends >= MostSends || this->leftMs() < LeastLeftMs) {
        return false;
    }
    if (last == Verdict::NotRun) {
        return true;
    }
    const bool mayRepeat = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    return mayRepeat && this->runs < this->route.max_attempts();
}

void ForwardRun::closeAttempt(AttemptEnd end)
{
    const EndpointChoice &choice = this->attempt->choice;
    this->attempt->call.reset();
    this->context.endpoints.ended(choice, end, this->attempt->wasAnswered, this->now());
    this->context.counts.ended(this->service, choice.version, this->route.name());
    this->context.versions.ended(this->service, this->request.session, this->now());
    // Not dropped: this may run inside a hook of its call.
    this->endedAttempts.push_back(std::move(this->attempt));
}

void ForwardRun::endAttempt(AttemptEnd end, Verdict last, const std::string &why)
{
    Attempt &current = *this->attempt;
    this->lastEnd = why;
    this->runs += last == Verdict::NotRun ? 0 : 1;
    this->verdict = combined(this->verdict, last);
    logLine(LogLevel::Warning,
            "attempt-ended",
            {{"request", this->request.id},
             {"endpoint", current.choice.endpoint},
             {"why", why},
             {"verdict", std::string(verdictName(last))},
             {"status", static_cast<std::uint64_t>(current.head.status)},
             {"tookMs", this->now() - current.startedMs}});
    this->context.metrics.count("attempts_ended_total", why);
    // A connection that never took a byte costs the endpoint nothing.
    const bool mayAgain = this->mayTryAgain(last) && (end == AttemptEnd::Unreachable || this->context.retries.tryAcquire(this->service, this->now()));
    const bool isEndpointsAnswer = end == AttemptEnd::Failed && !this->isStreamStarted;
    const EndpointAnswerHead head = current.head;
    std::string body = std::move(current.body);
    this->closeAttempt(end);
    if (mayAgain) {
        this->dispatch();
        return;
    }
    if (isEndpointsAnswer) {
        this->passWhole(head, std::move(body));
        return;
    }
    this->refuse(why);
}

void ForwardRun::watch()
{
    const bool mayRepeat = this->route.repeat() == Wire::REPEAT_RULE_REPEATABLE || (this->isStreaming() && this->route.resumable());
    if (!this->attempt || !mayRepeat) {
        return;
    }
    const std::uint64_t nowMs = this->now();
    const std::uint64_t silentMs = nowMs - this->attempt->heardMs;
    const std::uint64_t objectiveMs = this->route.objective_ms();
    bool isOverdue = false;
    if (!this->isStreaming()) {
        isOverdue = silentMs > SilentObjectives * objectiveMs;
    } else if (!this->attempt->wasAnswered) {
        const bool isOvertaken = this->context.endpoints.isOvertaken(this->attempt->choice, this->attempt->startedMs);
        isOverdue = isOvertaken && silentMs > objectiveMs / SilentObjectiveParts;
    } else {
        isOverdue = silentMs > LongestPauseMs;
    }
    if (isOverdue && this->mayTryAgain(Verdict::MayHaveRun)) {
        this->endAttempt(AttemptEnd::Broken, Verdict::MayHaveRun, "overdue");
    }
}

void ForwardRun::refuse(const std::string &why)
{
    if (this->isStreamStarted) {
        this->reply->abort();
        this->finished(StatusBadGateway, why);
        return;
    }
    if (this->verdict != Verdict::NotRun) {
        this->answer(StatusBadGateway, why, std::nullopt);
        return;
    }
    const auto waitMs = static_cast<std::uint64_t>(RetryAfterPart * static_cast<double>(this->leftMs()));
    this->answer(StatusUnavailable, why, std::min(waitMs, MostRetryAfterMs));
}

void ForwardRun::giveUp(const std::string &why)
{
    if (this->isEnded) {
        return;
    }
    if (this->attempt) {
        this->closeAttempt(AttemptEnd::Dropped);
        this->verdict = combined(this->verdict, Verdict::MayHaveRun);
    }
    if (this->isStreamStarted) {
        this->reply->abort();
        this->finished(StatusTimeout, why);
        return;
    }
    this->answer(StatusTimeout, why, std::nullopt);
}

void ForwardRun::answer(unsigned status, const std::string &why, std::optional<std::uint64_t> retryAfterMs)
{
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (retryAfterMs) {
        constexpr double MsPerSecond = 1000;
        headers["Retry-After"] = std::to_string(static_cast<double>(*retryAfterMs) / MsPerSecond);
    }
    this->reply->send(status, headers, "{\"error\":\"" + why + "\"}");
    this->finished(status, why);
}

void ForwardRun::callerLeft()
{
    if (this->isEnded) {
        return;
    }
    if (this->attempt) {
        this->closeAttempt(AttemptEnd::Dropped);
    }
    this->finished(0, "caller-left");
}

void ForwardRun::finished(unsigned status, const std::string &why)
{
    if (std::exchange(this->isEnded, true)) {
        return;
    }
    this->deadlineTimer.stop();
    this->watchTimer.stop();
    const bool isServed = status >= StatusOk && status < StatusRedirect && (why == "whole" || why == "endpoint");
    logLine(isServed ? LogLevel::Info : LogLevel::Warning,
            "request-ended",
            {{"request", this->request.id},
             {"route", this->route.name()},
             {"status", static_cast<std::uint64_t>(status)},
             {"why", why},
             {"verdict", std::string(verdictName(this->verdict))},
             {"sends", static_cast<std::uint64_t>(this->sends)},
             {"model", this->model},
             {"promptTokens", this->request.promptTokens},
             {"firstMs", this->firstEventMs == 0 ? 0 : this->firstEventMs - this->arrivedMs},
             {"tookMs", this->now() - this->arrivedMs}});
    this->context.metrics.count("requests_ended_total", this->route.name() + "," + std::to_string(status) + "," + why);
    this->context.metrics.observe("request_ms", this->route.name(), static_cast<double>(this->now() - this->arrivedMs));
    // Not at once: this may run inside a hook of a call that the run owns.
    this->context.loop.post([this, token = this->alive] {
        if (*token) {
            this->context.onEnded(this);
        }
    });
}

} // namespace Apricothead
