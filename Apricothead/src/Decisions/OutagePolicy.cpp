#include "OutagePolicy.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** From a restart of the whole group to the first confirmed lease: a first election (up to 320 ms), a commit and a confirmation. */
constexpr std::uint64_t RecoveryMs = 700;
/** Part of a caller's patience that may pass in waiting: leaves the answer nearly all of its time. */
constexpr std::uint64_t HoldDivisor = 8;
/** Callers follow an advice up to a third of the time they have left. */
constexpr std::uint64_t RetryAfterDivisor = 3;
/** An outage that is older is expected to last about half as long again. */
constexpr std::uint64_t OutageDivisor = 2;
constexpr std::uint64_t MinRetryAfterMs = 100;
constexpr std::uint64_t MaxRetryAfterMs = 3000;
/** Callers come back spread over this time: a gateway starts some tens of requests in it. */
constexpr std::uint64_t JitterMs = 250;

} // namespace

std::uint64_t outageHoldMs(const OutageQuery &query)
{
    if (query.outageMs >= 2 * RecoveryMs) {
        return 0;
    }
    return std::min(query.callerTimeoutMs / HoldDivisor, RecoveryMs);
}

std::uint64_t outageRetryAfterMs(const OutageQuery &query)
{
    const std::uint64_t expectedMs = query.outageMs < RecoveryMs ? RecoveryMs - query.outageMs : query.outageMs / OutageDivisor;
    const std::uint64_t retryAfterMs = std::clamp(expectedMs, MinRetryAfterMs, MaxRetryAfterMs) + query.draw % JitterMs;
    return std::min(retryAfterMs, std::max<std::uint64_t>(1, query.callerTimeoutMs / RetryAfterDivisor));
}

} // namespace Apricothead
