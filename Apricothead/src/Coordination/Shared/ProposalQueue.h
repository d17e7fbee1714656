#pragma once

#include "ReplicaClient.h"

#include "../../Transport/Timer.h"

#include <chrono>
#include <deque>
#include <functional>

namespace Apricothead {

/** \class ProposalQueue
 * \ingroup Coordination_Module
 * \brief Proposes commands until each is applied, retrying without limit. For idempotent commands that must not be lost.
 */
class ProposalQueue
{
public:
    /** \a deadline limits one attempt. */
    ProposalQueue(EventLoop &loop, ReplicaClient &client, std::chrono::milliseconds deadline);
    ProposalQueue(const ProposalQueue &) = delete;
    ProposalQueue &operator=(const ProposalQueue &) = delete;

    /** \a onApplied is called once, with the result of the state machine. */
    void add(Wire::Command command, std::function<void(const Wire::CommandResult &)> onApplied);

    /** \returns the number of commands that have not been applied yet */
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
