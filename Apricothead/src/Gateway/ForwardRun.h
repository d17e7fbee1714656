#pragma once

#include "EventSplitter.h"
#include "ForwardRequest.h"
#include "GatewayContext.h"

#include "../Protocol/Verdict.h"
#include "../Transport/Timer.h"

#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

/** \class ForwardRun
 * \ingroup Gateway_Module
 * \brief One attempt of a caller from its arrival to its answer, over as many endpoints as it may and needs to try.
 *
 * A request that may run only once is sent again only with proof that it did not run: an endpoint's word, or a connection that never took a
 * byte. A stream goes on elsewhere after the last event that the caller has. The answer ends at the route's time-out at the latest.
 */
class ForwardRun
{
public:
    /** \a organisation: who asks; empty on an open route. The plan is the one in force at the arrival. */
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

private:
    struct Attempt {
        EndpointQuestion query;
        EndpointChoice choice;
        std::unique_ptr<HttpCall> call;
        EndpointResponseHead head;
        bool hasHead = false;
        bool wasAnswered = false;
        std::string body;
        EventSplitter events;
        std::uint64_t startedMs = 0;
        std::uint64_t lastReceivedMs = 0;
    };

    // Sending
    void dispatch();
    EndpointQuestion endpointQuery();
    void send(const EndpointQuestion &query, const EndpointChoice &choice);
    HttpCallOptions callOptions(const EndpointChoice &choice);
    bool shouldEscalate();
    void escalate();
    unsigned priority() const;

    // What comes back
    void handleHead(unsigned status, const HttpHeaders &headers);
    void handleData(std::string_view bytes);
    void forwardEvents();
    bool forwardEvent(const StreamEvent &event);
    void handleDone(const HttpResult &result);
    void recordAnswer(bool failed);
    bool isStreaming() const;
    static bool isSuccess(const EndpointResponseHead &head);

    // What next
    /** The one place where an attempt is taken off the books. */
    void closeAttempt(AttemptEnd outcome);
    void failAttempt(AttemptEnd outcome, Verdict verdict, const std::string &reason);
    bool canRetry(Verdict verdict) const;
    void timeOut(const std::string &reason);
    void checkProgress();
    void failRequest(const std::string &reason);
    void forwardResponse(const EndpointResponseHead &head, std::string body);
    void sendError(unsigned status, const std::string &reason, std::optional<std::uint64_t> retryAfterMs);
    void handleDisconnect();
    void finish(unsigned status, const std::string &reason);

    std::uint64_t now() const;
    std::uint64_t remainingMs() const;

    GatewayContext &context;
    ForwardRequest request;
    std::shared_ptr<HttpReply> reply;
    std::shared_ptr<const PlanIndex> plan;
    const Wire::PlanRoute &route;
    const Wire::PlanOrganisation *organisation;
    std::string service;
    /** The model asked now, where the caller leaves the choice. */
    std::string model;
    std::uint64_t draw = 0;
    std::uint64_t arrivedMs = 0;
    std::uint64_t deadlineMs = 0;
    Timer deadlineTimer;
    Timer progressTimer;
    std::unique_ptr<Attempt> attempt;
    std::vector<std::unique_ptr<Attempt>> endedAttempts;
    std::vector<std::string> triedEndpoints;
    /** Why the last attempt ended that was not whole. */
    std::string lastFailure;
    unsigned runs = 0;
    unsigned sends = 0;
    Verdict verdict = Verdict::NotRun;
    bool isStreamStarted = false;
    std::string lastEventId;
    /** When the caller got its first event. */
    std::uint64_t firstEventMs = 0;
    bool isEnded = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Apricothead
