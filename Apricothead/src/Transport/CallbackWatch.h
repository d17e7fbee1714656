#pragma once

#include <chrono>
#include <cstdint>
#include <typeinfo>

namespace Apricothead {

class EventLoop;

/** \class CallbackWatch
 * \ingroup Transport_Module
 * \brief Measures one callback of a loop, from its construction to its destruction.
 *
 * A callback that takes longer than MaxMs delays everything else on its thread: it is told in the log, with its type, and counted in
 * EventLoop::stalls(). Watches may be nested: of callbacks inside each other only the innermost is told.
 */
class CallbackWatch
{
public:
    static constexpr std::uint64_t MaxMs = 100;

    CallbackWatch(EventLoop &loop, const std::type_info &callback);
    ~CallbackWatch();
    CallbackWatch(const CallbackWatch &) = delete;
    CallbackWatch &operator=(const CallbackWatch &) = delete;

private:
    EventLoop &loop;
    const std::type_info &callback;
    CallbackWatch *outer;
    std::chrono::steady_clock::time_point start;
    bool isToldInside = false;
};

} // namespace Apricothead
