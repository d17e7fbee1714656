#include "CallbackWatch.h"

#include "EventLoop.h"
#include "Log.h"

#include <boost/core/demangle.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace Apricothead {

CallbackWatch::CallbackWatch(EventLoop &givenLoop, const std::type_info &givenCallback)
    : loop(givenLoop), callback(givenCallback), outer(std::exchange(givenLoop.innermostWatch, this)), start(std::chrono::steady_clock::now())
{ }

CallbackWatch::~CallbackWatch()
{
    this->loop.innermostWatch = this->outer;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->start);
    const auto tookMs = static_cast<std::uint64_t>(took.count());
    if (tookMs > CallbackWatch::MaxMs && !this->isToldInside) {
        const std::string name = boost::core::demangle(this->callback.name());
        LoopStall &stall = this->loop.stallsByCallback[name];
        ++stall.count;
        stall.longestMs = std::max(stall.longestMs, tookMs);
        logLine(LogLevel::Warning, "loop-held", {{"callback", name}, {"tookMs", tookMs}});
        this->isToldInside = true;
    }
    if (this->outer != nullptr) {
        this->outer->isToldInside = this->outer->isToldInside || this->isToldInside;
    }
}

} // namespace Apricothead
