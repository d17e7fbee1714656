#include "RoleThread.h"

#include "BuildIdentity.h"

#include <pthread.h>
#include <utility>

namespace Apricothead {

RoleThread::RoleThread(std::string name, std::function<RoleHooks(EventLoop &)> make, std::function<void(const std::string &reason)> failed)
    : label(std::move(name)), thread([this, make = std::move(make), failed = std::move(failed)] {
        this->run(make, failed);
    })
{ }

RoleThread::~RoleThread()
{
    this->loop.stop();
    this->thread.join();
}

const std::string &RoleThread::name() const
{
    return this->label;
}

void RoleThread::stop(std::function<void()> stopped)
{
    this->loop.post([this, stopped = std::move(stopped)] {
        if (!this->hooks.stop) {
            stopped();
            return;
        }
        this->hooks.stop(stopped);
    });
}

void RoleThread::run(const std::function<RoleHooks(EventLoop &)> &make, const std::function<void(const std::string &)> &failed)
{
    // Shown by top -H, so that processor time can be told apart by role.
    pthread_setname_np(pthread_self(), this->label.c_str());
    this->hooks = make(this->loop);
    const std::string reason = this->hooks.start();
    if (reason.empty()) {
        logLine(LogLevel::Info, "role-started", {{"role", this->label}, {"build", std::string(BuildIdentity)}});
    } else {
        failed(reason);
    }
    this->loop.run();
    this->hooks = {};
}

} // namespace Apricothead
