#include "Timer.h"

#include "CallbackWatch.h"
#include "EventLoop.h"

#include <ev++.h>

#include <utility>

namespace Apricothead {
namespace {

ev_tstamp seconds(std::chrono::milliseconds delay)
{
    return std::chrono::duration<ev_tstamp>(delay).count();
}

} // namespace

struct Timer::Private {
    Private(EventLoop &eventLoop, std::function<void()> hook) : loop(eventLoop), timer(eventLoop.native()), fired(std::move(hook))
    {
        this->timer.set<Private, &Private::onTimer>(this);
    }

    void onTimer(ev::timer &, int)
    {
        const CallbackWatch watch(this->loop, this->fired.target_type());
        this->fired();
    }

    void start(std::chrono::milliseconds delay, std::chrono::milliseconds interval)
    {
        this->timer.stop();
        // A long callback leaves the loop's time behind: the delay would be too short.
        ev_now_update(this->loop.native());
        this->timer.start(seconds(delay), seconds(interval));
    }

    EventLoop &loop;
    ev::timer timer;
    std::function<void()> fired;
};

Timer::Timer(EventLoop &loop, std::function<void()> fired) : d(std::make_unique<Private>(loop, std::move(fired)))
{ }

Timer::~Timer() = default;

void Timer::startOnce(std::chrono::milliseconds delay)
{
    this->d->start(delay, std::chrono::milliseconds::zero());
}

void Timer::startRepeating(std::chrono::milliseconds interval)
{
    this->d->start(interval, interval);
}

void Timer::stop()
{
    this->d->timer.stop();
}

bool Timer::isActive() const
{
    return this->d->timer.is_active();
}

} // namespace Apricothead
