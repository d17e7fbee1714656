#include "SuspectTable.h"

#include <algorithm>

namespace Apricothead {
namespace {

constexpr int MaxSuspects = 64;
constexpr int MaxCrashesKept = 8;
constexpr int MaxRequestsKept = 4;
/** Crashes within this time may have one cause, such as a lost rack. */
constexpr std::int64_t IncidentMs = 300;
/** A part that was at one incident only is forgotten after this time. */
constexpr std::int64_t SingleIncidentRetentionMs = 10LL * 60 * 1000;
constexpr std::int64_t RetentionMs = 24LL * 3600 * 1000;
/** Time until the first trial for each crash, so that weak evidence is soon checked; it grows by the factor with each further trial. */
constexpr std::uint64_t TrialWaitPerCrashMs = 2000;
constexpr std::uint64_t TrialWaitFactor = 4;
/** A part that was at more crashes is tried no more. */
constexpr std::uint32_t MaxCrashesWithTrials = 6;

std::uint64_t trialWaitMs(const Wire::SuspectPart &suspect)
{
    if (suspect.crash_count() > MaxCrashesWithTrials) {
        return 0;
    }
    std::uint64_t waitMs = TrialWaitPerCrashMs * suspect.crash_count();
    for (std::uint32_t trial = 0; trial < suspect.trials(); ++trial) {
        waitMs *= TrialWaitFactor;
    }
    return waitMs;
}

/** \returns the log time of the last crash or trial */
std::int64_t lastEventMs(const Wire::SuspectPart &suspect)
{
    std::int64_t lastMs = suspect.last_trial_ms();
    for (const Wire::PartCrash &crash : suspect.crashes()) {
        lastMs = std::max(lastMs, crash.time_ms());
    }
    return lastMs;
}

/** \returns the log time at which the latest incident began; 0 without one */
std::int64_t lastIncidentMs(const Wire::SuspectPart &suspect)
{
    const auto &crashes = suspect.crashes();
    const auto latest = std::find_if(crashes.begin(), crashes.end(), [&crashes](const Wire::PartCrash &crash) {
        return crash.incident() == crashes.rbegin()->incident();
    });
    return latest == crashes.end() ? 0 : latest->time_ms();
}

bool addRequest(Wire::PartCrash &crash, std::uint64_t fingerprint)
{
    const auto &known = crash.requests();
    if (known.size() >= MaxRequestsKept || std::find(known.begin(), known.end(), fingerprint) != known.end()) {
        return false;
    }
    crash.add_requests(fingerprint);
    return true;
}

} // namespace

SuspectTable::SuspectTable(Suspects &given) : suspects(given)
{ }

Wire::SuspectPart *SuspectTable::find(std::uint64_t part)
{
    const auto found = std::find_if(this->suspects.begin(), this->suspects.end(), [part](const Wire::SuspectPart &suspect) {
        return suspect.part() == part;
    });
    return found == this->suspects.end() ? nullptr : &*found;
}

Wire::SuspectPart &SuspectTable::add(std::uint64_t part)
{
    if (this->suspects.size() >= MaxSuspects) {
        // Evicts the part with the weakest evidence, the oldest of equals.
        const auto weakest = std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &one, const auto &other) {
            return std::pair(one.crash_count(), lastEventMs(one)) < std::pair(other.crash_count(), lastEventMs(other));
        });
        this->suspects.erase(weakest);
    }
    Wire::SuspectPart &added = *this->suspects.Add();
    added.set_part(part);
    return added;
}

bool SuspectTable::recordCrash(const Wire::EndpointCrash &crash, const Wire::AwaitingRequest &request, std::uint64_t part, std::int64_t timeMs)
{
    Wire::SuspectPart *found = this->find(part);
    Wire::SuspectPart &suspect = found == nullptr ? this->add(part) : *found;
    auto &crashes = *suspect.mutable_crashes();
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&crash](const Wire::PartCrash &one) {
        return one.endpoint() == crash.endpoint() && one.born_ms() == crash.born_ms();
    });
    if (known != crashes.end()) {
        return addRequest(*known, request.fingerprint());
    }
    suspect.set_crash_count(suspect.crash_count() + 1);
    suspect.set_trial_wait_ms(trialWaitMs(suspect));
    const bool isSameIncident = !crashes.empty() && timeMs - lastIncidentMs(suspect) <= IncidentMs;
    const std::uint32_t incident = crashes.empty() ? 1 : crashes.rbegin()->incident() + (isSameIncident ? 0 : 1);
    if (crashes.size() >= MaxCrashesKept) {
        crashes.erase(crashes.begin());
    }
    Wire::PartCrash &added = *crashes.Add();
    added.set_endpoint(crash.endpoint());
    added.set_born_ms(crash.born_ms());
    added.set_time_ms(timeMs);
    added.set_incident(incident);
    added.add_requests(request.fingerprint());
    return true;
}

bool SuspectTable::clear(const Wire::PartClearance &clearance)
{
    const auto found = std::find_if(this->suspects.begin(), this->suspects.end(), [&clearance](const Wire::SuspectPart &suspect) {
        return suspect.part() == clearance.part() && suspect.crash_count() == clearance.crashes();
    });
    if (found == this->suspects.end()) {
        return false;
    }
    this->suspects.erase(found);
    return true;
}

bool SuspectTable::expire(std::int64_t timeMs)
{
    const int before = this->suspects.size();
    const auto isOld = [timeMs](const Wire::SuspectPart &suspect) {
        const bool isSingle = suspect.crashes().empty() || suspect.crashes().rbegin()->incident() == 1;
        return timeMs - lastEventMs(suspect) > (isSingle ? SingleIncidentRetentionMs : RetentionMs);
    };
    this->suspects.erase(std::remove_if(this->suspects.begin(), this->suspects.end(), isOld), this->suspects.end());
    return this->suspects.size() != before;
}

bool SuspectTable::apply(const Wire::UpdateSuspects &update, std::int64_t timeMs)
{
    bool hasChanged = this->expire(timeMs);
    for (const Wire::PartClearance &clearance : update.cleared()) {
        hasChanged = this->clear(clearance) || hasChanged;
    }
    for (const Wire::EndpointCrash &crash : update.crashes()) {
        for (const Wire::AwaitingRequest &request : crash.requests()) {
            for (const std::uint64_t part : request.parts()) {
                hasChanged = this->recordCrash(crash, request, part, timeMs) || hasChanged;
            }
        }
    }
    return hasChanged;
}

bool SuspectTable::startTrial(const google::protobuf::RepeatedField<std::uint64_t> &parts, std::int64_t timeMs)
{
    const bool isDue = !parts.empty() && std::all_of(parts.begin(), parts.end(), [this, timeMs](std::uint64_t part) {
        const Wire::SuspectPart *suspect = this->find(part);
        return suspect != nullptr && suspect->trial_wait_ms() > 0 && timeMs - lastEventMs(*suspect) >= static_cast<std::int64_t>(suspect->trial_wait_ms());
    });
    if (!isDue) {
        return false;
    }
    for (const std::uint64_t part : parts) {
        Wire::SuspectPart &suspect = *this->find(part);
        suspect.set_trials(suspect.trials() + 1);
        suspect.set_last_trial_ms(timeMs);
        suspect.set_trial_wait_ms(trialWaitMs(suspect));
    }
    return true;
}

} // namespace Apricothead
