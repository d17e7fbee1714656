#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct ev_loop;

namespace Apricothead {

class CallbackWatch;

/** \class LoopStall
 * \ingroup Transport_Module
 * \brief How often and for how long one kind of callback held its loop for more than CallbackWatch::MaxMs.
 */
struct LoopStall {
    std::uint64_t count = 0;
    std::uint64_t longestMs = 0;

    auto operator<=>(const LoopStall &) const = default;
};

/** \class EventLoop
 * \ingroup Transport_Module
 * \brief One libev loop. Each task runs on the thread of its own loop.
 * \sa Timer
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop() is called. */
    void run();

    /** Ends run(). May be called from any thread. */
    void stop();

    /** Runs \a job on the loop's thread, in order. May be called from any thread. */
    void post(std::function<void()> job);

    /** \returns monotonic time in milliseconds since an arbitrary start; always fresh */
    std::uint64_t nowMs() const;

    /** \returns the number of the current turn: each turn calls what has become ready, once */
    unsigned turn() const;

    /** \returns the callbacks that held the loop, by their type: a function or the place of a lambda */
    const std::map<std::string, LoopStall> &stalls() const;

    /** \returns the libev loop, for watchers of this module */
    struct ev_loop *native() const;

private:
    friend class CallbackWatch;
    struct Private;
    std::unique_ptr<Private> d;
    std::map<std::string, LoopStall> stallsByCallback;
    CallbackWatch *innermostWatch = nullptr;
};

} // namespace Apricothead
