#include "OutagePolicy.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** Time from a restart of the whole group to the first confirmed lease: the first election (up to 320 ms), a commit and a confirmation. */
constexpr std::uint64_t RecoveryMs = 700;
/** A request is held for at most 1/8 of its caller's time-out, which leaves most of it for the answer. */
constexpr std::uint64_t HoldDivisor = 8;
/** Callers respect a Retry-After of up to a third of their remaining time. */
constexpr std::uint64_t RetryAfterDivisor = 3;
/** An outage longer than RecoveryMs is predicted to last for another half of its duration so far. */
constexpr std::uint64_t OutageDivisor = 2;
constexpr std::uint64_t MinRetryAfterMs = 100;
constexpr std::uint64_t MaxRetryAfterMs = 3000;
/** Retries are spread over this time, in which a gateway can start some tens of requests. */
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
