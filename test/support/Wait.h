#pragma once

#include <Apricothead/Transport>

#include <chrono>
#include <functional>

namespace Apricothead::Test {

/** Runs \a loop until \a condition holds. \returns false when it did not hold within \a bound */
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition, std::chrono::milliseconds bound = std::chrono::milliseconds(5000))
{
    constexpr std::chrono::milliseconds Interval{2};
    const std::uint64_t end = loop.nowMs() + static_cast<std::uint64_t>(bound.count());
    Timer poll(loop, [&] {
        if (condition() || loop.nowMs() >= end) {
            loop.stop();
        }
    });
    poll.startRepeating(Interval);
    loop.run();
    return condition();
}

} // namespace Apricothead::Test
