#include "EventLoop.h"

#include "CallbackWatch.h"

#include <ev++.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace Apricothead {

struct EventLoop::Private {
    Private(EventLoop &owner, struct ev_loop *loop) : eventLoop(owner), native(loop), wake(loop)
    {
        this->wake.set<Private, &Private::onWake>(this);
        this->wake.start();
    }

    void onWake(ev::async &, int)
    {
        std::vector<std::function<void()>> ready;
        {
            const std::lock_guard lock(this->mutex);
            ready.swap(this->jobs);
        }
        for (const std::function<void()> &job : ready) {
            const CallbackWatch watch(this->eventLoop, job.target_type());
            job();
        }
        if (this->stopRequested.exchange(false)) {
            ev_break(this->native, EVBREAK_ALL);
        }
    }

    EventLoop &eventLoop;
    struct ev_loop *native;
    ev::async wake;
    std::mutex mutex;
    std::vector<std::function<void()>> jobs;
    std::atomic<bool> stopRequested{false};
};

EventLoop::EventLoop()
{
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV);
    if (loop == nullptr) {
        throw std::runtime_error("no event loop: libev found no usable backend");
    }
    this->d = std::make_unique<Private>(*this, loop);
}

EventLoop::~EventLoop()
{
    struct ev_loop *loop = this->d->native;
    this->d.reset();
    ev_loop_destroy(loop);
}

void EventLoop::run()
{
    ev_run(this->d->native, 0);
}

void EventLoop::stop()
{
    this->d->stopRequested = true;
    this->d->wake.send();
}

void EventLoop::post(std::function<void()> job)
{
    {
        const std::lock_guard lock(this->d->mutex);
        this->d->jobs.push_back(std::move(job));
    }
    this->d->wake.send();
}

std::uint64_t EventLoop::nowMs() const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

unsigned EventLoop::turn() const
{
    return ev_iteration(this->d->native);
}

const std::map<std::string, LoopStall> &EventLoop::stalls() const
{
    return this->stallsByCallback;
}

struct ev_loop *EventLoop::native() const
{
    return this->d->native;
}

} // namespace Apricothead
