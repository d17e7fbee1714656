#include "SilenceTracker.h"

#include <algorithm>

namespace Apricothead {
namespace {

/** Time that a former leader has to answer its successor before its silence counts from its last message. */
constexpr std::uint64_t AnswerTimeMs = 500;

} // namespace

void SilenceTracker::recordMessage(const std::string &replica, std::uint64_t nowMs)
{
    this->lastMessageMs[replica] = nowMs;
}

void SilenceTracker::recordResumed(std::uint64_t nowMs)
{
    this->resumedMs = nowMs;
}

void SilenceTracker::recordFollowed(const std::string &leader)
{
    this->followed = leader;
}

void SilenceTracker::recordLeading(std::uint64_t nowMs)
{
    this->leadingMs = nowMs;
}

std::uint64_t SilenceTracker::silentForMs(const std::string &replica, std::uint64_t nowMs) const
{
    const auto found = this->lastMessageMs.find(replica);
    const std::uint64_t heardMs = found == this->lastMessageMs.end() ? 0 : found->second;
    const bool countsFromLastMessage = replica == this->followed && heardMs > 0 && nowMs - this->leadingMs >= AnswerTimeMs;
    return nowMs - std::max({heardMs, this->resumedMs, countsFromLastMessage ? 0 : this->leadingMs});
}

bool SilenceTracker::isHeardWithin(const std::string &replica, std::uint64_t boundMs, std::uint64_t nowMs) const
{
    const auto found = this->lastMessageMs.find(replica);
    return found != this->lastMessageMs.end() && nowMs - found->second <= boundMs;
}

} // namespace Apricothead
