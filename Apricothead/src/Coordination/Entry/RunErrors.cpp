#include "RunErrors.h"

#include "../../Protocol/WireVerdict.h"

namespace Apricothead {
namespace {

constexpr unsigned Forbidden = 403;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned UnprocessableContent = 422;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

constexpr unsigned ShortRetryAfterSeconds = 1;
constexpr unsigned LongRetryAfterSeconds = 5;

CallerError unavailableError(std::string code, std::string message, unsigned retryAfterSeconds = ShortRetryAfterSeconds)
{
    return {.status = Unavailable, .code = std::move(code), .message = std::move(message), .retryAfterSeconds = retryAfterSeconds};
}

CallerError sessionWithdrawnError()
{
    return {.status = Conflict,
            .code = "session-version-withdrawn",
            .field = "x-session-id",
            .message = "the version that this session uses was withdrawn; start a new session"};
}

CallerError notAllowedError(const std::string &message)
{
    return {.status = Forbidden, .code = "not-allowed", .field = "model", .message = message};
}

} // namespace

CallerError noVersionError(const std::string &reason, const std::string &model)
{
    if (reason == "session-version-withdrawn") {
        return sessionWithdrawnError();
    }
    if (reason == "no-active-version") {
        return unavailableError(reason, "model " + model + " has no active version that your organisation may use", LongRetryAfterSeconds);
    }
    return notAllowedError("your organisation may not use model " + model + " (" + reason + ")");
}

CallerError noEndpointError(const std::string &reason)
{
    return unavailableError(reason, "no endpoint can accept the request now");
}

CallerError admissionError(const Wire::Error &error)
{
    switch (error.code()) {
    case Wire::ERROR_CODE_SESSION_VERSION_WITHDRAWN:
        return sessionWithdrawnError();
    case Wire::ERROR_CODE_NOT_ALLOWED:
        return notAllowedError("your organisation may not use this model or version");
    case Wire::ERROR_CODE_NOT_FOUND:
        return {.status = NotFound, .code = "model-not-found", .field = "model", .message = "the model or its version is unknown"};
    case Wire::ERROR_CODE_KEY_REUSED:
        return {.status = UnprocessableContent,
                .code = "key-reused",
                .field = "idempotency-key",
                .message = "this key was used for another request; this one did not run"};
    case Wire::ERROR_CODE_RETIRED:
        return {.status = Conflict,
                .code = "key-retired",
                .field = "idempotency-key",
                .message = "a request with this key ended long ago; its answer is no longer kept",
                .verdict = Verdict::MayHaveRun};
    case Wire::ERROR_CODE_PROOF_MISSING:
        return {.status = Conflict,
                .code = "may-have-run",
                .field = "idempotency-key",
                .message = "an earlier attempt may have run, and the request is not repeatable",
                .verdict = Verdict::MayHaveRun};
    case Wire::ERROR_CODE_INVALID:
        return {.status = UnprocessableContent, .code = "invalid-admission", .field = error.field(), .message = error.message()};
    default:
        return unavailableError("not-admitted", error.message());
    }
}

CallerError noQuorumError()
{
    return unavailableError("no-quorum", "the request could not be admitted: no majority of the replicas answered in time");
}

CallerError leavingError()
{
    return unavailableError("leaving", "this entry is stopping; send the request again");
}

CallerError deadlineError(Verdict verdict)
{
    return {.status = GatewayTimeout,
            .code = "deadline",
            .message = "no answer came within the deadline",
            .verdict = verdict,
            .retryAfterSeconds = ShortRetryAfterSeconds};
}

CallerError refusedRunError(Wire::RefusalReason reason, Verdict verdict)
{
    CallerError error = reason == Wire::REFUSAL_REASON_FULL ? unavailableError("overloaded", "the endpoints are full")
                                                            : unavailableError("endpoint-refused", "the endpoint refused the request");
    error.verdict = verdict;
    return error;
}

CallerError lostRunError(Verdict verdict)
{
    return {.status = BadGateway, .code = "endpoint-lost", .message = "the endpoint was lost while it processed the request", .verdict = verdict};
}

CallerError answerTooLargeError()
{
    return {.status = BadGateway,
            .code = "answer-too-large",
            .message = "the answer exceeds the size limit; ask for it as a stream",
            .verdict = Verdict::MayHaveRun};
}

CallerError failedRunError(const Wire::RunDone &done)
{
    CallerError error{.status = BadGateway, .code = "answer-cut", .verdict = verdictOf(done.verdict())};
    error.message = done.error().empty() ? "the answer was truncated" : done.error();
    if (done.outcome() == Wire::OUTCOME_FAILED) {
        error.code = "endpoint-failed";
    }
    if (done.outcome() == Wire::OUTCOME_CANCELLED) {
        error.code = "cancelled";
    }
    return error;
}

CallerError answerGoneError(const Wire::RequestRecord &record)
{
    const bool hasRun = record.outcome() == Wire::OUTCOME_WHOLE;
    return {.status = Conflict,
            .code = "answer-gone",
            .field = "idempotency-key",
            .message = "a request with this key ended before, and its answer is no longer kept",
            .verdict = hasRun ? Verdict::Ran : Verdict::MayHaveRun};
}

} // namespace Apricothead
