#pragma once

#include "ReplicaClient.h"

#include "../../Transport/Timer.h"

#include <chrono>
#include <deque>
#include <functional>

namespace Apricothead {

/** \class ProposalQueue
 * \ingroup Coordination_Module
 * \brief Proposes commands again and again until each is applied. For commands that are safe to repeat and must not be lost.
 */
class ProposalQueue
{
public:
    /** \a deadline bounds one try. */
    ProposalQueue(EventLoop &loop, ReplicaClient &client, std::chrono::milliseconds deadline);
    ProposalQueue(const ProposalQueue &) = delete;
    ProposalQueue &operator=(const ProposalQueue &) = delete;

    /** \a applied gets the state machine's answer, once. */
    void add(Wire::Command command, std::function<void(const Wire::CommandResult &)> onApplied);

    /** \returns how many commands have not been applied yet */
    std::size_t size() const;

private:
    struct PendingCommand {
        Wire::Command command;
        std::function<void(const Wire::CommandResult &)> onApplied;
    };

    void propose(PendingCommand pending);
    void retry();

    ReplicaClient &client;
    std::chrono::milliseconds deadline;
    std::deque<PendingCommand> retryQueue;
    Timer retryTimer;
    std::size_t pendingCount = 0;
};

} // namespace Apricothead
