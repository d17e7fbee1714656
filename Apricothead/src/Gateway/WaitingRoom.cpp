#include "WaitingRoom.h"

#include "../Transport/EventLoop.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** A small part of the shortest wait; the timer runs only while somebody waits. */
constexpr std::chrono::milliseconds LookInterval{20};

} // namespace

WaitingRoom::WaitingRoom(EventLoop &eventLoop, WaitingRoomOptions given)
    : loop(eventLoop), options(std::move(given)), timer(eventLoop, [this] {
        this->look();
    })
{ }

bool WaitingRoom::take(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply, std::uint64_t holdMs)
{
    if (this->waiting.size() >= this->options.most) {
        return false;
    }
    const std::uint64_t nowMs = this->loop.nowMs();
    const auto hasLeft = std::make_shared<bool>(false);
    reply->onDisconnect([hasLeft] {
        *hasLeft = true;
    });
    this->waiting.push_back({.request = std::move(request), .reply = reply, .hasLeft = hasLeft, .sinceMs = nowMs, .untilMs = nowMs + holdMs});
    this->timer.startRepeating(LookInterval);
    return true;
}

std::size_t WaitingRoom::size() const
{
    return this->waiting.size();
}

void WaitingRoom::look()
{
    const bool isOver = this->options.isOver();
    const std::uint64_t nowMs = this->loop.nowMs();
    // Those that are admitted may come back here.
    for (Waiting &one : std::exchange(this->waiting, {})) {
        if (*one.hasLeft) {
            continue;
        }
        if (!isOver && nowMs < one.untilMs) {
            this->waiting.push_back(std::move(one));
            continue;
        }
        if (one.request.patienceMs) {
            const std::uint64_t patienceMs = *one.request.patienceMs;
            one.request.patienceMs = patienceMs - std::min(patienceMs, nowMs - one.sinceMs);
        }
        if (isOver) {
            this->options.admit(std::move(one.request), one.reply);
        } else {
            this->options.refuse(one.request, one.reply);
        }
    }
    if (this->waiting.empty()) {
        this->timer.stop();
    }
}

} // namespace Apricothead
