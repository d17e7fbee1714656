#include "ProposalQueue.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds ProposalRetryInterval{200};

} // namespace

ProposalQueue::ProposalQueue(EventLoop &loop, ReplicaClient &replicaClient, std::chrono::milliseconds attemptDeadline)
    : client(replicaClient), deadline(attemptDeadline), retryTimer(loop, [this] {
        this->retry();
    })
{ }

void ProposalQueue::add(Wire::Command command, std::function<void(const Wire::CommandResult &)> onApplied)
{
    ++this->pendingCount;
    this->propose({.command = std::move(command), .onApplied = std::move(onApplied)});
}

std::size_t ProposalQueue::size() const
{
    return this->pendingCount;
}

void ProposalQueue::propose(PendingCommand pending)
{
    const Wire::Command command = pending.command;
    this->client.propose(command, this->deadline, [this, entry = std::move(pending)](const ProposeOutcome &outcome) {
        if (outcome.status != Wire::PROPOSE_STATUS_APPLIED) {
            this->retryQueue.push_back(entry);
            if (!this->retryTimer.isActive()) {
                this->retryTimer.startOnce(ProposalRetryInterval);
            }
            return;
        }
        --this->pendingCount;
        if (entry.onApplied) {
            entry.onApplied(outcome.result);
        }
    });
}

void ProposalQueue::retry()
{
    std::deque<PendingCommand> retries;
    retries.swap(this->retryQueue);
    for (PendingCommand &pending : retries) {
        this->propose(std::move(pending));
    }
}

} // namespace Apricothead
