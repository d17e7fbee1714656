#pragma once

#include "ForwardRequest.h"

#include "../Transport/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Apricothead {

/** \class WaitingRoomOptions
 * \ingroup Gateway_Module
 * \brief What requests wait for, and where they go, called on the loop's thread.
 */
struct PendingRequestsOptions {
    /** \returns whether what all requests wait for has come */
    std::function<bool()> canAdmit;
    /** The wait is over; the request's patience is what is left of it. */
    std::function<void(ForwardRequest, const std::shared_ptr<HttpReply> &)> admit;
    /** It did not come in time. */
    std::function<void(const ForwardRequest &, const std::shared_ptr<HttpReply> &)> refuse;
    /** More than a gateway gets within the longest wait; bounds its memory. */
    std::size_t maxRequests = 512;
};

/** \class WaitingRoom
 * \ingroup Gateway_Module
 * \brief Requests that wait for a short time until the gateway can decide anything. Those whose caller leaves are dropped.
 * \sa outageHoldMs()
 */
class PendingRequests
{
public:
    PendingRequests(EventLoop &loop, PendingRequestsOptions options);

    /** \returns false when there is no room */
    bool add(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply, std::uint64_t holdMs);

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
