#include "Timer.h"

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
    Private(struct ev_loop *loop, std::function<void()> hook) : native(loop), timer(loop), fired(std::move(hook))
    {
        this->timer.set<Private, &Private::onTimer>(this);
    }

    void onTimer(ev::timer &, int)
    {
        this->fired();
    }

    void start(std::chrono::milliseconds delay, std::chrono::milliseconds interval)
    {
        this->timer.stop();
        // A long callback leaves the loop's time behind: the delay would be too short.
        ev_now_update(this->native);
        this->timer.start(seconds(delay), seconds(interval));
    }

    struct ev_loop *native;
    ev::timer timer;
    std::function<void()> fired;
};

Timer::Timer(EventLoop &loop, std::function<void()> fired) : d(std::make_unique<Private>(loop.native(), std::move(fired)))
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
