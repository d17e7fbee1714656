#include "PendingRequests.h"

#include "../Transport/EventLoop.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** A small part of the shortest hold time; the timer runs only while requests are held. */
constexpr std::chrono::milliseconds CheckInterval{20};

} // namespace

PendingRequests::PendingRequests(EventLoop &eventLoop, PendingRequestsOptions given)
    : loop(eventLoop), options(std::move(given)), timer(eventLoop, [this] {
        this->checkAll();
    })
{ }

bool PendingRequests::add(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply, std::uint64_t holdMs)
{
    if (this->requests.size() >= this->options.maxRequests) {
        return false;
    }
    const std::uint64_t nowMs = this->loop.nowMs();
    const auto isDisconnected = std::make_shared<bool>(false);
    reply->onDisconnect([isDisconnected] {
        *isDisconnected = true;
    });
    this->requests.push_back(
        {.request = std::move(request), .reply = reply, .isDisconnected = isDisconnected, .arrivedMs = nowMs, .heldUntilMs = nowMs + holdMs});
    this->timer.startRepeating(CheckInterval);
    return true;
}

void PendingRequests::refuseAll()
{
    for (const PendingRequest &pending : std::exchange(this->requests, {})) {
        if (!*pending.isDisconnected) {
            this->options.refuse(pending.request, pending.reply);
        }
    }
    this->timer.stop();
}

std::size_t PendingRequests::size() const
{
    return this->requests.size();
}

void PendingRequests::checkAll()
{
    const bool canAdmit = this->options.canAdmit();
    const std::uint64_t nowMs = this->loop.nowMs();
    // Admitting a request may add it again.
    for (PendingRequest &pending : std::exchange(this->requests, {})) {
        if (*pending.isDisconnected) {
            continue;
        }
        if (!canAdmit && nowMs < pending.heldUntilMs) {
            this->requests.push_back(std::move(pending));
            continue;
        }
        const std::uint64_t waitedMs = nowMs - pending.arrivedMs;
        pending.request.heldMs += waitedMs;
        if (pending.request.callerTimeoutMs) {
            const std::uint64_t callerTimeoutMs = *pending.request.callerTimeoutMs;
            pending.request.callerTimeoutMs = callerTimeoutMs - std::min(callerTimeoutMs, waitedMs);
        }
        if (canAdmit) {
            this->options.admit(std::move(pending.request), pending.reply);
        } else {
            this->options.refuse(pending.request, pending.reply);
        }
    }
    if (this->requests.empty()) {
        this->timer.stop();
    }
}

} // namespace Apricothead
