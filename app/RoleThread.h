#pragma once

#include <Apricothead/Transport>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Apricothead {

/** One role as its thread drives it. All hooks are called on the role's thread. */
struct RoleHooks {
    /** \returns an empty text, or why the role can't start */
    std::function<std::string()> start;
    /** Stops gracefully, then calls the hook it is given. */
    std::function<void(std::function<void()>)> stop;
    /** Owns the task; dropped on the role's thread. */
    std::shared_ptr<void> task;
};

/** A role on a thread and event loop of its own. */
class RoleThread
{
public:
    /** \a make is called on the new thread. \a failed is called there when the role can't start. */
    RoleThread(std::string name, std::function<RoleHooks(EventLoop &)> make, std::function<void(const std::string &reason)> failed);
    ~RoleThread();
    RoleThread(const RoleThread &) = delete;
    RoleThread &operator=(const RoleThread &) = delete;

    const std::string &name() const;
    /** Starts a graceful stop; \a stopped is called on the role's thread. */
    void stop(std::function<void()> stopped);

private:
    void run(const std::function<RoleHooks(EventLoop &)> &make, const std::function<void(const std::string &)> &failed);

    std::string label;
    EventLoop loop;
    RoleHooks hooks;
    std::thread thread;
};

} // namespace Apricothead
