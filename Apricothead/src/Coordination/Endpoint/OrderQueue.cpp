#include "OrderQueue.h"

#include "../../Transport/Log.h"

#include <utility>

namespace Apricothead {

OrderQueue::OrderQueue(const EngineAdapter &engine, ProposalQueue &proposalQueue, OrderQueueOptions queueOptions)
    : adapter(engine), proposals(proposalQueue), options(std::move(queueOptions))
{ }

void OrderQueue::add(const Wire::Order &order, std::function<void(const Wire::OrderReply &)> done)
{
    this->waitingOrders.push_back({.order = order, .done = std::move(done)});
    if (!this->guard.isReady()) {
        this->learnNewest();
        return;
    }
    this->passOnNext();
}

void OrderQueue::learnNewest()
{
    if (std::exchange(this->isLearning, true)) {
        return;
    }
    Wire::Command command;
    Wire::TakeFence *take = command.mutable_take_fence();
    take->set_endpoint(this->options.endpoint);
    take->set_incarnation(this->options.incarnation);
    this->proposals.add(std::move(command), [this](const Wire::CommandResult &result) {
        this->isLearning = false;
        if (result.fence() > 0) {
            this->guard.learn(result.fence());
        }
        this->passOnNext();
    });
}

void OrderQueue::passOnNext()
{
    while (!this->isBusy && !this->waitingOrders.empty()) {
        const Waiting waiting = std::move(this->waitingOrders.front());
        this->waitingOrders.pop_front();
        if (!this->adapter.order) {
            this->reply(waiting, Wire::ERROR_CODE_INVALID, "this endpoint takes no orders");
            continue;
        }
        if (!this->guard.accept(waiting.order.fence())) {
            this->reply(waiting, Wire::ERROR_CODE_NOT_ALLOWED, "the fencing number is outdated");
            continue;
        }
        this->isBusy = true;
        this->adapter.order(waiting.order, [this, waiting](const std::string &error) {
            this->isBusy = false;
            this->reply(waiting, error.empty() ? Wire::ERROR_CODE_UNSPECIFIED : Wire::ERROR_CODE_UNAVAILABLE, error);
            this->passOnNext();
        });
    }
}

void OrderQueue::reply(const Waiting &waiting, Wire::ErrorCode code, const std::string &message) const
{
    Wire::OrderReply answer;
    answer.set_call(waiting.order.call());
    answer.set_newest_fence(this->guard.newestFence());
    if (code != Wire::ERROR_CODE_UNSPECIFIED) {
        answer.mutable_error()->set_code(code);
        answer.mutable_error()->set_message(message);
        answer.mutable_error()->set_remedy("take a new fencing number and order again");
    }
    logLine(LogLevel::Info,
            "engine-order",
            {{"fence", waiting.order.fence()}, {"load", waiting.order.load_version()}, {"unload", waiting.order.unload_version()}, {"error", message}});
    waiting.done(answer);
}

} // namespace Apricothead
