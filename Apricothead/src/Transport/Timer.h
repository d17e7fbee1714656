#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Apricothead {

class EventLoop;

/** \class Timer
 * \ingroup Transport_Module
 * \brief Calls a hook once or at an interval on the thread of its loop.
 */
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> fired);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /** Fires once after \a delay; a running timer starts anew. */
    void startOnce(std::chrono::milliseconds delay);

    /** Fires every \a interval. */
    void startRepeating(std::chrono::milliseconds interval);

    void stop();
    bool isActive() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
