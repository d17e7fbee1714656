#pragma once

#include <cstdint>

namespace Apricothead {

/** \returns milliseconds since 1970; may jump, so never used to measure a duration
 * \ingroup Transport_Module
 * \sa EventLoop::nowMs
 */
std::int64_t wallClockMs();

/** \returns microseconds since 1970: a number that is higher at each start of a process, used as its incarnation
 * \ingroup Transport_Module
 */
std::uint64_t wallClockMicros();

} // namespace Apricothead
