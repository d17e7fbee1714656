#pragma once

#include "Timer.h"

#include <chrono>
#include <functional>
#include <map>

namespace Apricothead {

class EventLoop;

/** \class Ticker
 * \ingroup Transport_Module
 * \brief Calls any number of hooks at one interval, with one timer.
 *
 * A process with many periodic checks wakes up once per interval instead of once per check. The timer runs only while there are hooks. A hook's
 * first call comes within one interval.
 */
class Ticker
{
public:
    Ticker(EventLoop &loop, std::chrono::milliseconds interval);

    /** Adds \a hook, or replaces the one with the same \a key. Hooks may add and remove hooks. */
    void add(const void *key, std::function<void()> hook);
    void remove(const void *key);

private:
    void callHooks();

    EventLoop &loop;
    std::chrono::milliseconds interval;
    std::map<const void *, std::function<void()>> hooks;
    Timer timer;
};

} // namespace Apricothead
