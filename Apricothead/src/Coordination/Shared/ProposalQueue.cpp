#include "ProposalQueue.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds ProposalRetryInterval{200};

} // namespace

ProposalQueue::ProposalQueue(EventLoop &loop, ReplicaClient &replicaClient, std::chrono::milliseconds tryDeadline)
    : client(replicaClient), deadline(tryDeadline), retryTimer(loop, [this] {
        this->retry();
    })
{ }

void ProposalQueue::add(Wire::Command command, std::function<void(const Wire::CommandResult &)> applied)
{
    ++this->open;
    this->propose({.command = std::move(command), .applied = std::move(applied)});
}

std::size_t ProposalQueue::size() const
{
    return this->open;
}

void ProposalQueue::propose(Waiting waiting)
{
    const Wire::Command command = waiting.command;
    this->client.propose(command, this->deadline, [this, kept = std::move(waiting)](const ProposeOutcome &outcome) {
        if (outcome.status != Wire::PROPOSE_STATUS_APPLIED) {
            this->failed.push_back(kept);
            if (!this->retryTimer.isActive()) {
                this->retryTimer.startOnce(ProposalRetryInterval);
            }
            return;
        }
        --this->open;
        if (kept.applied) {
            kept.applied(outcome.result);
        }
    });
}

void ProposalQueue::retry()
{
    std::deque<Waiting> again;
    again.swap(this->failed);
    for (Waiting &waiting : again) {
        this->propose(std::move(waiting));
    }
}

} // namespace Apricothead
