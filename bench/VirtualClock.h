#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Apricothead::Bench {

/** \class VirtualClock
 * \brief Virtual time in ms, and what happens in it. Events of one moment run in the order in which they were asked for.
 */
class VirtualClock
{
public:
    /** Calls \a action at \a timeMs. */
    void at(double timeMs, std::function<void()> action)
    {
        this->events.push({.timeMs = timeMs, .number = this->eventCount++, .action = std::move(action)});
    }

    /** Calls \a action after \a delayMs. */
    void after(double delayMs, std::function<void()> action)
    {
        this->at(this->clockMs + delayMs, std::move(action));
    }

    /** Runs all events up to \a untilMs. */
    void run(double untilMs)
    {
        while (!this->events.empty() && this->events.top().timeMs <= untilMs) {
            const Event event = this->events.top();
            this->events.pop();
            this->clockMs = event.timeMs;
            event.action();
        }
        this->clockMs = untilMs;
    }

    double nowMs() const
    {
        return this->clockMs;
    }

private:
    struct Event {
        double timeMs = 0;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return this->timeMs != other.timeMs ? this->timeMs > other.timeMs : this->number > other.number;
        }
    };
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    double clockMs = 0;
};

} // namespace Apricothead::Bench
