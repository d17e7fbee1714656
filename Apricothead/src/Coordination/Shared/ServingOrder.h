#pragma once

#include "../../Protocol/Messages.h"
#include "ReplicaClient.h"

#include <functional>

namespace Apricothead {

/** \class ServingOrderOptions
 * \ingroup Coordination_Module
 * \brief How submitOrder() reaches the replicas, and whom it tells.
 */
struct ServingOrderOptions {
    std::function<void(Wire::Query, std::function<void(const Wire::QueryReply &)>)> query;
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    /** Asked before each proposal; empty for always. An operator who has given up may have given a newer order elsewhere. */
    std::function<bool()> isAwaited;
    /** Called once, with the status NOT_APPENDED when the order was not applied and will not be. */
    std::function<void(const ProposeOutcome &)> done;
};

/**
 * Submits an operator's order to start a roll-out or to evacuate an availability zone, based on the orders that hold at present. When another order is
 * applied in between, it is proposed again, based on that one. A copy that arrives after a newer order is void.
 * \sa ServingTable
 */
void submitOrder(Wire::Command order, ServingOrderOptions options);

} // namespace Apricothead
