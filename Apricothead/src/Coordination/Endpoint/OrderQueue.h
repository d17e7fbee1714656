#pragma once

#include "../Shared/ProposalQueue.h"
#include "EngineAdapter.h"
#include "FenceGuard.h"

#include <deque>
#include <functional>
#include <string>

namespace Apricothead {

/** \class OrderQueueOptions
 * \ingroup Coordination_Module
 * \brief The endpoint process for which an OrderQueue obtains fencing tokens.
 */
struct OrderQueueOptions {
    std::string endpoint;
    std::uint64_t incarnation = 0;
};

/** \class OrderQueue
 * \ingroup Coordination_Module
 * \brief Sends orders to the engine one at a time, and rejects those with an outdated fencing token.
 * \sa FenceGuard
 */
class OrderQueue
{
public:
    /** \a adapter and \a proposals must outlive the queue. */
    OrderQueue(const EngineAdapter &adapter, ProposalQueue &proposals, OrderQueueOptions options);
    OrderQueue(const OrderQueue &) = delete;
    OrderQueue &operator=(const OrderQueue &) = delete;

    void add(const Wire::Order &order, std::function<void(const Wire::OrderReply &)> done);

private:
    struct PendingOrder {
        Wire::Order order;
        std::function<void(const Wire::OrderReply &)> done;
    };

    void acquireFence();
    void sendNext();
    void reply(const PendingOrder &pending, Wire::ErrorCode code, const std::string &message) const;

    const EngineAdapter &adapter;
    ProposalQueue &proposals;
    OrderQueueOptions options;
    FenceGuard guard;
    std::deque<PendingOrder> pendingOrders;
    bool isAcquiringFence = false;
    bool isBusy = false;
};

} // namespace Apricothead
