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
        EndpointQuery question;
        EndpointChoice choice;
        std::unique_ptr<HttpCall> call;
        EndpointAnswerHead head;
        bool hasHead = false;
        bool wasAnswered = false;
        std::string body;
        EventSplitter events;
        std::uint64_t startedMs = 0;
        std::uint64_t heardMs = 0;
    };

    // Sending
    void dispatch();
    EndpointQuery question();
    void send(const EndpointQuery &question, const EndpointChoice &choice);
    HttpCallOptions callOptions(const EndpointChoice &choice);
    bool shouldEscalate();
    void escalate();
    unsigned priority() const;

    // What comes back
    void takeHead(unsigned status, const HttpHeaders &headers);
    void takeBytes(std::string_view bytes);
    void takeEvents();
    bool passEvent(const StreamEvent &event);
    void ended(const HttpResult &result);
    void noteAnswered(bool failed);
    bool isStreaming() const;
    static bool isSuccess(const EndpointAnswerHead &head);

    // What next
    /** The one place where an attempt is taken off the books. */
    void closeAttempt(AttemptOutcome end);
    void endAttempt(AttemptOutcome end, Verdict verdict, const std::string &why);
    bool mayTryAgain(Verdict verdict) const;
    void giveUp(const std::string &why);
    void watch();
    void refuse(const std::string &why);
    void passWhole(const EndpointAnswerHead &head, std::string body);
    void answer(unsigned status, const std::string &why, std::optional<std::uint64_t> retryAfterMs);
    void callerLeft();
    void finished(unsigned status, const std::string &why);

    std::uint64_t now() const;
    std::uint64_t leftMs() const;

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
    Timer watchTimer;
    std::unique_ptr<Attempt> attempt;
    std::vector<std::unique_ptr<Attempt>> endedAttempts;
    std::vector<std::string> tried;
    /** Why the last attempt ended that was not whole. */
    std::string lastEnd;
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
