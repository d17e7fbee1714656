#pragma once

#include "EventSplitter.h"
#include "ForwardRequest.h"
#include "GatewayContext.h"

#include "../Decisions/StreamPace.h"
#include "../Protocol/Verdict.h"
#include "../Transport/Timer.h"

#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ForwardRun
 * \ingroup Gateway_Module
 * \brief Forwards one request of a caller, from its arrival to its response, with retries at other endpoints where they are allowed.
 *
 * A request that must not run twice is retried only with proof that it did not run: the endpoint says so, or no byte of the request was sent.
 * A stream resumes at another endpoint after the last event that the caller has received. The response ends at the route's time-out at the
 * latest.
 */
class ForwardRun
{
public:
    /** \a plan: in force when the request arrived. \a organisation: the caller's; null on an open route. */
    ForwardRun(GatewayContext &context,
               ForwardRequest request,
               std::shared_ptr<HttpReply> reply,
               std::shared_ptr<const PlanIndex> plan,
               const Wire::PlanRoute *route,
               const Wire::PlanOrganisation *organisation);
    ~ForwardRun();
    ForwardRun(const ForwardRun &) = delete;
    ForwardRun &operator=(const ForwardRun &) = delete;

    void start();

    /** Takes the request back from its endpoint when it is withheld by now and its answer has not begun. */
    void withdrawIfWithheld();

    /** Ends the request, as its gateway does: with an answer that tells whether it may have run, or by breaking off its stream. */
    void endForStop();

private:
    struct Attempt {
        EndpointQuery query;
        EndpointChoice choice;
        std::unique_ptr<HttpCall> call;
        EndpointResponseHead head;
        bool hasHead = false;
        /** The answer has a length or comes in chunks, so that its end can be told from a lost connection. */
        bool isFramed = false;
        bool wasAnswered = false;
        /** The choice of a larger model waits for the first event. */
        bool isEscalationDeferred = false;
        std::string body;
        EventSplitter events;
        StreamPace pace;
        /** Charges \c body and \c events. */
        std::unique_ptr<HeldAnswer> held;
        std::uint64_t startedMs = 0;
        /** When the answer began: its first event or the whole of a plain answer. 0 before. */
        std::uint64_t answeredMs = 0;
        /** The answer has gone on for long enough to show that it does not crash its endpoint. */
        bool isSettled = false;
        /** The endpoint is not read from until the caller has taken what waits for it. */
        bool isPaused = false;
        /** The transport's description of the end; empty while the attempt runs and when the answer was whole. */
        std::string transportError;
        /** When the head, bytes of a plain answer or a whole event of a stream last arrived. */
        std::uint64_t lastReceivedMs = 0;
    };

    // Sending
    void dispatch();
    /** Refuses the request, or sends it as the trial of \a withheld when that is due. */
    void handleWithheld(const WithheldParts &withheld);
    void refuseWithheld(const WithheldParts &withheld);
    std::optional<WithheldParts> withheldParts() const;
    EndpointQuery endpointQuery();
    void send(const EndpointQuery &query, const EndpointChoice &choice);
    HttpCallOptions callOptions(const EndpointChoice &choice);
    /** Waits until an endpoint that names a limit has room for the request, or refuses it when that would take too long. */
    void waitForLimit(const EndpointQuery &query);
    /** Sends a request that waits as soon as an endpoint has room for it. */
    void sendWithinLimit();
    /** Refuses the request, or fails it when it may have run. \a retryAfterMs: when there will probably be room for it */
    void refuseForLimit(std::uint64_t retryAfterMs);
    VersionRoute versionRoute(const EndpointChoice &choice) const;
    /** \returns whether the request is expected to be answered before its gateway stops */
    bool canEndBeforeStop() const;
    bool shouldEscalate();
    void escalate();
    unsigned priority() const;

    // Receiving
    void handleHead(unsigned status, const HttpHeaders &headers);
    /** Records what an endpoint says of itself in an answer, whichever request the answer is to. */
    void recordEndpointState(const EndpointResponseHead &head);
    /** Records the limit that an endpoint names, or that it names none. */
    void recordLimit(const EndpointResponseHead &head);
    void handleData(std::string_view bytes);
    /** Ends the current attempt when its answer holds more than one may, or more than the process has room for. */
    void checkHeldBytes();
    void forwardEvents();
    bool forwardEvent(const StreamEvent &event);
    /** Slows the endpoint down while its caller reads more slowly: what waits for the caller is bounded. */
    void pauseForCaller();
    void resumeForCaller();
    void handleDone(const HttpResult &result);
    void recordAnswer(bool failed);
    /** Records an event of the current attempt's stream, and the stream's pace as soon as it is known. */
    void recordEvent();
    void recordPace();
    /** Records that the answer of the current attempt went on, which clears the parts of the request. */
    void settleAnswer();
    /** \returns whether the current attempt could have crashed its endpoint: its answer has not begun, or only just */
    bool isAwaitingAnswer() const;
    /** Records that the connection of the current attempt was lost. */
    void recordLoss();
    bool isStreaming() const;
    static bool isSuccess(const EndpointResponseHead &head);
    /** \returns the ms since the answer of the current attempt began, -1 before */
    std::int64_t sinceAnswerMs() const;

    // Ending attempts and the request
    /** \returns whether the retry budget allows another attempt after one that ended with \a outcome; if so, it is counted */
    bool acquireRetry(AttemptOutcome outcome);
    /** Resumes a stream that waits for the retry budget, as soon as that allows it. */
    void resumeWithinBudget();
    /** Ends the current attempt after its connection was lost, which may be the request's own doing. */
    void failLost(const std::string &reason);
    /** Ends the current attempt and its accounting. All other functions end an attempt through this one. */
    void closeAttempt(AttemptOutcome outcome);
    /** Records that the current attempt failed, then retries or ends the request. \a verdict: whether the attempt ran. */
    void failAttempt(AttemptOutcome outcome, Verdict verdict, const std::string &reason);
    /** \returns whether another attempt is allowed after one with \a verdict; doesn't consult the retry budget */
    bool canRetry(Verdict verdict) const;
    void timeOut(const std::string &reason);
    /** Fails an attempt whose endpoint has been silent for too long, where the request may be repeated. */
    void checkProgress();
    void failRequest(const std::string &reason);
    /** Sends an endpoint's complete response to the caller; aborts a stream that has started. */
    void forwardResponse(const EndpointResponseHead &head, std::string body);
    void sendError(unsigned status, const std::string &reason, std::optional<std::uint64_t> retryAfterMs);
    void handleDisconnect();
    /** Logs the result and reports the run as ended. \a status: 0 when the caller disconnected. */
    void finish(unsigned status, const std::string &reason);

    std::uint64_t now() const;
    std::uint64_t remainingMs() const;

    GatewayContext &context;
    ForwardRequest request;
    /** The request's body, moved out of it: all attempts share it. */
    std::shared_ptr<const std::string> sharedBody;
    std::shared_ptr<HttpReply> reply;
    std::shared_ptr<const PlanIndex> plan;
    const Wire::PlanRoute &route;
    const Wire::PlanOrganisation *organisation;
    std::string service;
    /** Model of the current attempt; empty when neither the caller nor the route names one. */
    std::string model;
    /** \sa uniformHash() */
    std::uint64_t draw = 0;
    /** When the gateway received the request, before it was held. */
    std::uint64_t arrivedMs = 0;
    std::uint64_t deadlineMs = 0;
    Timer deadlineTimer;
    std::unique_ptr<Attempt> attempt;
    std::vector<std::unique_ptr<Attempt>> endedAttempts;
    std::vector<std::string> triedEndpoints;
    std::vector<std::string> refusingEndpoints;
    /** Reason code of the last failed attempt. */
    std::string lastFailure;
    /** Attempts that ran or may have run. */
    unsigned runs = 0;
    /** All attempts. */
    unsigned sends = 0;
    Verdict verdict = Verdict::NotRun;
    bool isStreamStarted = false;
    /** The stream broke off, and goes on at another endpoint when the retry budget allows it. */
    bool isAwaitingBudget = false;
    std::string lastEventId;
    /** When the first event was sent to the caller; 0 before. */
    std::uint64_t firstEventMs = 0;
    bool isEnded = false;
    SuspectRequest suspect;
    /** The one request with a withheld part that may be sent. */
    bool isTrial = false;
    /** The request is held to have crashed an endpoint, and is not sent to another one. */
    bool isHarmful = false;
    /** Set to false by the destructor; guards callbacks that outlive the run. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Apricothead
