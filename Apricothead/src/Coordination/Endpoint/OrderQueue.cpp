#include "OrderQueue.h"

#include "../../Transport/Log.h"

#include <utility>

namespace Apricothead {

OrderQueue::OrderQueue(const EngineAdapter &engine, ProposalQueue &proposalQueue, OrderQueueOptions queueOptions)
    : adapter(engine), proposals(proposalQueue), options(std::move(queueOptions))
{ }

void OrderQueue::add(const Wire::Order &order, std::function<void(const Wire::OrderReply &)> done)
{
    this->pendingOrders.push_back({.order = order, .done = std::move(done)});
    if (!this->guard.isReady()) {
        this->acquireFence();
        return;
    }
    this->sendNext();
}

void OrderQueue::acquireFence()
{
    if (std::exchange(this->isAcquiringFence, true)) {
        return;
    }
    Wire::Command command;
    Wire::TakeFence *take = command.mutable_take_fence();
    take->set_endpoint(this->options.endpoint);
    take->set_incarnation(this->options.incarnation);
    this->proposals.add(std::move(command), [this](const Wire::CommandResult &result) {
        this->isAcquiringFence = false;
        if (result.fence() > 0) {
            this->guard.update(result.fence());
        }
        this->sendNext();
    });
}

void OrderQueue::sendNext()
{
    while (!this->isBusy && !this->pendingOrders.empty()) {
        const PendingOrder pending = std::move(this->pendingOrders.front());
        this->pendingOrders.pop_front();
        if (!this->adapter.order) {
            this->reply(pending, Wire::ERROR_CODE_INVALID, "this endpoint does not accept orders");
            continue;
        }
        if (!this->guard.accept(pending.order.fence())) {
            this->reply(pending, Wire::ERROR_CODE_NOT_ALLOWED, "the fencing token is outdated");
            continue;
        }
        this->isBusy = true;
        this->adapter.order(pending.order, [this, pending](const std::string &error) {
            this->isBusy = false;
            this->reply(pending, error.empty() ? Wire::ERROR_CODE_UNSPECIFIED : Wire::ERROR_CODE_UNAVAILABLE, error);
            this->sendNext();
        });
    }
}

void OrderQueue::reply(const PendingOrder &pending, Wire::ErrorCode code, const std::string &message) const
{
    Wire::OrderReply answer;
    answer.set_call(pending.order.call());
    answer.set_newest_fence(this->guard.newestFence());
    if (code != Wire::ERROR_CODE_UNSPECIFIED) {
        answer.mutable_error()->set_code(code);
        answer.mutable_error()->set_message(message);
        answer.mutable_error()->set_remedy("obtain a new fencing token and send the order again");
    }
    logLine(LogLevel::Info,
            "engine-order",
            {{"fence", pending.order.fence()}, {"load", pending.order.load_version()}, {"unload", pending.order.unload_version()}, {"error", message}});
    pending.done(answer);
}

} // namespace Apricothead
