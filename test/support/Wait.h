#pragma once

#include <Apricothead/Transport>

#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace Apricothead::Test {

/** Runs \a loop until \a condition holds. \returns false when it did not hold within \a bound */
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition, std::chrono::milliseconds bound = std::chrono::milliseconds(5000))
{
    constexpr std::chrono::milliseconds Interval{2};
    const std::uint64_t end = loop.nowMs() + static_cast<std::uint64_t>(bound.count());
    // Stops once: a second stop that the loop has not seen yet would end the next run() at once.
    bool ended = false;
    Timer poll(loop, [&] {
        if (!ended && (condition() || loop.nowMs() >= end)) {
            ended = true;
            loop.stop();
        }
    });
    poll.startRepeating(Interval);
    loop.run();
    return condition();
}

/** Makes a Router at an address whose former socket may still be closing. \returns null when it stays taken */
inline std::unique_ptr<Router> routerAt(EventLoop &loop, const RouterOptions &options)
{
    std::unique_ptr<Router> router;
    runUntil(loop, [&] {
        try {
            router = router ? std::move(router) : std::make_unique<Router>(loop, options);
        } catch (const std::exception &) {
            return false;
        }
        return true;
    });
    return router;
}

} // namespace Apricothead::Test
