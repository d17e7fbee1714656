#include "CallerAnswer.h"

#include "../../Protocol/ChatAssembler.h"
#include "../../Protocol/ServerSentEvents.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned Ok = 200;

HttpHeaders commonHeaders(const std::string &requestId, Verdict verdict, const std::string &version)
{
    HttpHeaders headers{{"X-Request-Id", requestId}, {"X-Verdict", std::string(verdictName(verdict))}};
    if (!version.empty()) {
        headers["X-Version"] = version;
    }
    return headers;
}

/** A chat completion as server-sent events. */
class EventStreamAnswer : public CallerAnswer
{
public:
    EventStreamAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> httpReply)
        : CallerAnswer(request.id, std::move(httpReply)), includeUsage(request.includeUsage)
    { }

    void begin(const AnswerHead &answerHead) override
    {
        this->head = answerHead;
        this->startStream(answerHead.verdict, answerHead.version);
    }

    void writeChunk(std::string_view data) override
    {
        if (!this->includeUsage && isUsageEvent(data)) {
            return;
        }
        this->isStarted = true;
        this->reply->write(eventOf(data));
    }

    void finish() override
    {
        this->reply->write(endEvent());
        this->reply->finish();
    }

    void fail(const CallerError &error) override
    {
        if (!this->isStreaming) {
            CallerAnswer::fail(error);
            return;
        }
        // No end event follows and the connection is aborted after the error, so that the caller cannot take the answer for complete.
        this->reply->write(errorEventOf(callerErrorJson(error, this->requestId)));
        this->abortWhenDrained();
    }

    void sendKeepAlive(const std::string &version) override
    {
        this->startStream(Verdict::MayHaveRun, version);
        this->reply->write(keepAliveComment());
    }

private:
    void startStream(Verdict verdict, const std::string &version)
    {
        if (std::exchange(this->isStreaming, true)) {
            return;
        }
        HttpHeaders headers = this->headersFor(verdict, version);
        headers["Content-Type"] = "text/event-stream";
        headers["Cache-Control"] = "no-cache";
        this->reply->startStream(Ok, headers);
    }

    void abortWhenDrained()
    {
        const std::shared_ptr<HttpReply> sharedReply = this->reply;
        sharedReply->onDrained([sharedReply] {
            sharedReply->abort();
        });
    }

    bool includeUsage;
    bool isStreaming = false;
};

/** A chat completion as one JSON object. */
class CompletionAnswer : public CallerAnswer
{
public:
    CompletionAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> httpReply) : CallerAnswer(request.id, std::move(httpReply))
    { }

    void begin(const AnswerHead &answerHead) override
    {
        this->head = answerHead;
        this->assembler = std::make_unique<ChatAssembler>();
    }

    void writeChunk(std::string_view data) override
    {
        this->assembler->take(data);
    }

    void finish() override
    {
        HttpHeaders headers = this->headersFor(Verdict::Ran, this->head.version);
        headers["Content-Type"] = "application/json";
        this->reply->send(Ok, headers, this->assembler->completion());
    }

    std::size_t heldBytes() const override
    {
        return this->assembler->heldBytes();
    }

private:
    std::unique_ptr<ChatAssembler> assembler = std::make_unique<ChatAssembler>();
};

/** A plain service's answer, forwarded unchanged. */
class ServiceAnswer : public CallerAnswer
{
public:
    ServiceAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> httpReply) : CallerAnswer(request.id, std::move(httpReply))
    { }

    void begin(const AnswerHead &answerHead) override
    {
        this->head = answerHead;
    }

    void writeChunk(std::string_view data) override
    {
        this->startStream();
        this->reply->write(data);
    }

    void finish() override
    {
        if (!this->isStarted) {
            this->reply->send(this->head.status, this->headers(), std::string());
            return;
        }
        this->reply->finish();
    }

    void fail(const CallerError &error) override
    {
        if (!this->isStarted) {
            CallerAnswer::fail(error);
            return;
        }
        this->reply->abort();
    }

private:
    HttpHeaders headers() const
    {
        HttpHeaders headers = this->headersFor(this->head.verdict, this->head.version);
        if (!this->head.contentType.empty()) {
            headers["Content-Type"] = this->head.contentType;
        }
        return headers;
    }

    void startStream()
    {
        if (std::exchange(this->isStarted, true)) {
            return;
        }
        this->reply->startStream(this->head.status, this->headers());
    }
};

} // namespace

CallerAnswer::CallerAnswer(std::string answerRequestId, std::shared_ptr<HttpReply> httpReply)
    : requestId(std::move(answerRequestId)), reply(std::move(httpReply))
{ }

CallerAnswer::~CallerAnswer() = default;

void CallerAnswer::fail(const CallerError &error)
{
    sendError(*this->reply, error, this->requestId);
}

void CallerAnswer::sendKeepAlive(const std::string &)
{ }

bool CallerAnswer::hasStarted() const
{
    return this->isStarted;
}

std::size_t CallerAnswer::queuedBytes() const
{
    return this->reply->queuedBytes();
}

std::size_t CallerAnswer::heldBytes() const
{
    return 0;
}

void CallerAnswer::onDisconnect(std::function<void()> hook)
{
    this->reply->onDisconnect(std::move(hook));
}

void CallerAnswer::onDrained(std::function<void()> hook)
{
    this->reply->onDrained(std::move(hook));
}

HttpHeaders CallerAnswer::headersFor(Verdict verdict, const std::string &version) const
{
    return commonHeaders(this->requestId, verdict, version);
}

std::unique_ptr<CallerAnswer> makeCallerAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> reply)
{
    if (!request.payload.chat()) {
        return std::make_unique<ServiceAnswer>(request, std::move(reply));
    }
    if (request.stream) {
        return std::make_unique<EventStreamAnswer>(request, std::move(reply));
    }
    return std::make_unique<CompletionAnswer>(request, std::move(reply));
}

void sendError(HttpReply &reply, const CallerError &error, const std::string &requestId)
{
    HttpHeaders headers = commonHeaders(requestId, error.verdict, std::string());
    headers["Content-Type"] = "application/json";
    if (error.retryAfterSeconds > 0) {
        headers["Retry-After"] = std::to_string(error.retryAfterSeconds);
    }
    reply.send(error.status, headers, callerErrorJson(error, requestId));
}

} // namespace Apricothead
