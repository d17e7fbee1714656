#include "OutagePolicy.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** From a restart of the whole group to the first confirmed lease: a first election (up to 320 ms), a commit and a confirmation. */
constexpr std::uint64_t RecoveryMs = 700;
/** Part of a caller's patience that may pass in waiting: leaves the answer nearly all of its time. */
constexpr std::uint64_t HeldPatienceParts = 8;
/** Callers follow an advice up to a third of the time they have left. */
constexpr std::uint64_t ReturnPatienceParts = 3;
/** An outage that is older is expected to last about half as long again. */
constexpr std::uint64_t OutageParts = 2;
constexpr std::uint64_t LeastReturnMs = 100;
constexpr std::uint64_t MostReturnMs = 3000;
/** Callers come back spread over this time: a gateway starts some tens of requests in it. */
constexpr std::uint64_t SpreadMs = 250;

} // namespace

std::uint64_t outageHoldMs(const OutageQuery &question)
{
    if (question.outageMs >= 2 * RecoveryMs) {
        return 0;
    }
    return std::min(question.callerTimeoutMs / HeldPatienceParts, RecoveryMs);
}

std::uint64_t outageRetryAfterMs(const OutageQuery &question)
{
    const std::uint64_t expectedMs = question.outageMs < RecoveryMs ? RecoveryMs - question.outageMs : question.outageMs / OutageParts;
    const std::uint64_t wantedMs = std::clamp(expectedMs, LeastReturnMs, MostReturnMs) + question.draw % SpreadMs;
    return std::min(wantedMs, std::max<std::uint64_t>(1, question.callerTimeoutMs / ReturnPatienceParts));
}

} // namespace Apricothead
