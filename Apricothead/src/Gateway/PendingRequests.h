#pragma once

#include "ForwardRequest.h"

#include "../Transport/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Apricothead {

/** \class PendingRequestsOptions
 * \ingroup Gateway_Module
 * \brief Limit and callbacks of PendingRequests. Callbacks are called on the loop's thread.
 */
struct PendingRequestsOptions {
    /** \returns whether held requests can be admitted now */
    std::function<bool()> canAdmit;
    /** Admits a held request; the time waited is taken from its callerTimeoutMs and added to its heldMs. */
    std::function<void(ForwardRequest, const std::shared_ptr<HttpReply> &)> admit;
    /** Refuses a request whose hold time has expired. */
    std::function<void(const ForwardRequest &, const std::shared_ptr<HttpReply> &)> refuse;
    /** Bounds memory; exceeds the number of requests that a gateway receives within the longest hold time. */
    std::size_t maxRequests = 512;
};

/** \class PendingRequests
 * \ingroup Gateway_Module
 * \brief Holds requests for a short time while the gateway has no lease or plan. Requests whose caller disconnects are dropped.
 * \sa outageHoldMs()
 */
class PendingRequests
{
public:
    PendingRequests(EventLoop &loop, PendingRequestsOptions options);

    /** Holds \a request for up to \a holdMs. \returns false, and leaves \a request unchanged, when maxRequests are held */
    bool add(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply, std::uint64_t holdMs);

    /** Refuses all held requests. */
    void refuseAll();

    std::size_t size() const;

private:
    struct PendingRequest {
        ForwardRequest request;
        std::shared_ptr<HttpReply> reply;
        std::shared_ptr<bool> isDisconnected;
        std::uint64_t arrivedMs = 0;
        std::uint64_t heldUntilMs = 0;
    };
    void checkAll();

    EventLoop &loop;
    PendingRequestsOptions options;
    std::vector<PendingRequest> requests;
    Timer timer;
};

} // namespace Apricothead
