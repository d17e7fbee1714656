#include "PartQuarantine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::size_t MaxLosses = 64;
constexpr std::size_t MaxAnsweredParts = 4096;

std::vector<std::uint64_t> sorted(std::vector<std::uint64_t> parts)
{
    std::sort(parts.begin(), parts.end());
    return parts;
}

bool isProperSubset(const std::set<EndpointIncarnation> &one, const std::set<EndpointIncarnation> &other)
{
    return one.size() < other.size() && std::includes(other.begin(), other.end(), one.begin(), one.end());
}

} // namespace

bool EndpointIncarnation::operator<(const EndpointIncarnation &other) const
{
    return std::tie(this->endpoint, this->bornMs) < std::tie(other.endpoint, other.bornMs);
}

PartQuarantine::PartQuarantine(PartQuarantineOptions given) : options(given)
{ }

void PartQuarantine::setSuspects(const Suspects &given, std::uint64_t nowMs)
{
    std::map<std::uint64_t, Suspect> previous = std::exchange(this->shared, {});
    for (const Wire::SuspectPart &part : given) {
        Suspect &suspect = this->shared[part.part()];
        for (const Wire::PartCrash &crash : part.crashes()) {
            suspect.crashes.insert({.endpoint = crash.endpoint(), .bornMs = crash.born_ms()});
            suspect.incidents = std::max(suspect.incidents, crash.incident());
            for (const std::uint64_t fingerprint : crash.requests()) {
                suspect.requests[fingerprint].insert(crash.incident());
            }
        }
        suspect.crashCount = part.crash_count();
        suspect.sharedCrashCount = part.crash_count();
        suspect.trials = part.trials();
        suspect.trialWaitMs = part.trial_wait_ms();
        suspect.knownSinceMs = nowMs;
        const auto known = previous.find(part.part());
        const bool isUnchanged
            = known != previous.end() && known->second.sharedCrashCount == suspect.sharedCrashCount && known->second.trials == suspect.trials;
        if (isUnchanged) {
            suspect.knownSinceMs = known->second.knownSinceMs;
            suspect.answeredBy = known->second.answeredBy;
        }
    }
    this->update(nowMs);
}

void PartQuarantine::recordContact(std::uint64_t nowMs)
{
    this->lastContactMs = nowMs;
}

bool PartQuarantine::isIsolated(std::uint64_t nowMs) const
{
    return !this->lastContactMs || *this->lastContactMs + this->options.contactTimeoutMs < nowMs;
}

void PartQuarantine::recordAnswered(const std::vector<std::uint64_t> &parts, const std::string &endpoint, std::uint64_t answeredMs)
{
    if (this->lastAnsweredMs.size() + parts.size() > MaxAnsweredParts) {
        std::erase_if(this->lastAnsweredMs, [this, answeredMs](const auto &entry) {
            return entry.second + this->options.answeredMemoryMs < answeredMs;
        });
    }
    bool hasChanged = false;
    for (const std::uint64_t part : parts) {
        if (this->lastAnsweredMs.size() < MaxAnsweredParts || this->lastAnsweredMs.contains(part)) {
            std::uint64_t &lastMs = this->lastAnsweredMs[part];
            lastMs = std::max(lastMs, answeredMs);
        }
        const auto found = this->shared.find(part);
        if (found != this->shared.end() && found->second.answeredBy.empty() && answeredMs > found->second.knownSinceMs) {
            found->second.answeredBy = endpoint;
            hasChanged = true;
        }
    }
    // Searched for each part of each loss.
    const std::vector<std::uint64_t> answered = this->losses.empty() ? std::vector<std::uint64_t>() : sorted(parts);
    for (Loss &loss : this->losses) {
        const std::size_t removed = loss.lostMs >= answeredMs ? 0 : std::erase_if(loss.request.parts, [&answered](std::uint64_t part) {
            return std::binary_search(answered.begin(), answered.end(), part);
        });
        hasChanged = hasChanged || removed > 0;
    }
    if (hasChanged) {
        this->update(answeredMs);
    }
}

void PartQuarantine::recordLoss(const EndpointIncarnation &endpoint, const SuspectRequest &request, std::uint64_t nowMs)
{
    while (!this->losses.empty() && (this->losses.size() >= MaxLosses || this->losses.front().lostMs + this->options.lossRetentionMs < nowMs)) {
        this->losses.pop_front();
    }
    this->losses.push_back(
        {.endpoint = endpoint, .lostMs = nowMs, .request = {.fingerprint = request.fingerprint, .parts = this->unclearedParts(request, nowMs)}});
    this->update(nowMs);
}

void PartQuarantine::forgetLosses(const EndpointIncarnation &endpoint, std::uint64_t nowMs)
{
    const std::size_t removed = std::erase_if(this->losses, [&endpoint](const Loss &loss) {
        return loss.endpoint == endpoint;
    });
    if (removed > 0) {
        this->update(nowMs);
    }
}

std::vector<std::uint64_t> PartQuarantine::unclearedParts(const SuspectRequest &request, std::uint64_t nowMs) const
{
    std::vector<std::uint64_t> uncleared;
    for (const std::uint64_t part : request.parts) {
        const auto answered = this->lastAnsweredMs.find(part);
        if (answered == this->lastAnsweredMs.end() || answered->second + this->options.answeredMemoryMs < nowMs) {
            uncleared.push_back(part);
        }
    }
    return uncleared;
}

bool PartQuarantine::isSuspect(const SuspectRequest &request, std::uint64_t nowMs) const
{
    const std::vector<std::uint64_t> parts = this->unclearedParts(request, nowMs);
    return std::any_of(parts.begin(), parts.end(), [this](std::uint64_t part) {
        return this->suspects.contains(part);
    });
}

PartQuarantine::Evidence PartQuarantine::withLosses() const
{
    Evidence evidence = this->shared;
    // When the incidents that are not shared yet began, by part.
    std::map<std::uint64_t, std::uint64_t> ownIncidentMs;
    for (const Loss &loss : this->losses) {
        for (const std::uint64_t part : loss.request.parts) {
            Suspect &suspect = evidence[part];
            if (!suspect.crashes.insert(loss.endpoint).second) {
                continue;
            }
            ++suspect.crashCount;
            const auto [incidentMs, isFirst] = ownIncidentMs.try_emplace(part, loss.lostMs);
            const bool isLater = loss.lostMs - incidentMs->second > this->options.incidentMs;
            if (isFirst || isLater) {
                ++suspect.incidents;
                incidentMs->second = loss.lostMs;
            }
            suspect.requests[loss.request.fingerprint].insert(suspect.incidents);
        }
    }
    return evidence;
}

const PartQuarantine::Evidence &PartQuarantine::evidence() const
{
    return this->wasIsolated ? this->suspects : this->shared;
}

void PartQuarantine::update(std::uint64_t nowMs)
{
    this->suspects = this->withLosses();
    this->wasIsolated = this->isIsolated(nowMs);
    // Parts that only differ in who had them can't be told apart, so what counts for one counts for all with the same crashes.
    std::map<std::set<EndpointIncarnation>, std::set<std::uint64_t>> partsByCrashes;
    for (const auto &[part, suspect] : this->evidence()) {
        if (suspect.incidents >= this->options.minIncidents && suspect.answeredBy.empty()) {
            partsByCrashes[suspect.crashes].insert(part);
        }
    }
    this->withheld.clear();
    for (const auto &entry : partsByCrashes) {
        const std::set<std::uint64_t> &parts = entry.second;
        const bool isExplained = std::any_of(partsByCrashes.begin(), partsByCrashes.end(), [&entry](const auto &other) {
            return isProperSubset(entry.first, other.first);
        });
        const bool isAtFault = std::any_of(parts.begin(), parts.end(), [this](std::uint64_t part) {
            return this->evidence().at(part).requests.size() >= this->options.minRequests;
        });
        if (isAtFault && !isExplained) {
            this->withheld.push_back(parts);
        }
    }
}

std::optional<std::uint64_t> PartQuarantine::repeatedlyLostPart(const SuspectRequest &request) const
{
    const auto found = std::find_if(request.parts.begin(), request.parts.end(), [this, &request](std::uint64_t part) {
        const auto suspect = this->evidence().find(part);
        if (suspect == this->evidence().end() || !suspect->second.answeredBy.empty()) {
            return false;
        }
        const auto incidents = suspect->second.requests.find(request.fingerprint);
        return incidents != suspect->second.requests.end() && incidents->second.size() >= this->options.minIncidents;
    });
    return found == request.parts.end() ? std::nullopt : std::optional(*found);
}

std::optional<WithheldParts> PartQuarantine::withheldParts(const SuspectRequest &request, std::uint64_t nowMs)
{
    if (this->wasIsolated != this->isIsolated(nowMs)) {
        this->update(nowMs);
    }
    const std::vector<std::uint64_t> requested = this->withheld.empty() ? std::vector<std::uint64_t>() : sorted(request.parts);
    WithheldParts why;
    unsigned matches = 0;
    for (const std::set<std::uint64_t> &parts : this->withheld) {
        const bool hasAll = std::all_of(parts.begin(), parts.end(), [&requested](std::uint64_t part) {
            return std::binary_search(requested.begin(), requested.end(), part);
        });
        if (hasAll) {
            ++matches;
            why.parts.insert(why.parts.end(), parts.begin(), parts.end());
        }
    }
    if (const std::optional<std::uint64_t> part = this->repeatedlyLostPart(request); matches == 0 && part) {
        why.parts.push_back(*part);
    }
    if (why.parts.empty()) {
        return std::nullopt;
    }
    why.trialMs = 0;
    for (const std::uint64_t part : why.parts) {
        const Suspect &suspect = this->evidence().at(part);
        const std::uint64_t dueMs = suspect.knownSinceMs + suspect.trialWaitMs;
        why.crashes = std::max(why.crashes, suspect.crashCount);
        why.trialMs = suspect.trialWaitMs == 0 || !why.trialMs ? std::nullopt : std::optional(std::max(*why.trialMs, dueMs - std::min(dueMs, nowMs)));
    }
    why.canBeTrial = matches <= 1;
    return why;
}

bool PartQuarantine::shouldRequestTrial(const WithheldParts &why, std::uint64_t nowMs)
{
    if (!why.canBeTrial || why.trialMs != std::optional<std::uint64_t>(0)) {
        return false;
    }
    std::erase_if(this->lastTrialRequestMs, [this, nowMs](const auto &entry) {
        return nowMs - entry.second >= this->options.trialRequestIntervalMs;
    });
    return this->lastTrialRequestMs.try_emplace(why.parts.front(), nowMs).second;
}

std::vector<Wire::PartClearance> PartQuarantine::clearances() const
{
    std::vector<Wire::PartClearance> cleared;
    for (const auto &[part, suspect] : this->shared) {
        if (suspect.answeredBy.empty()) {
            continue;
        }
        Wire::PartClearance clearance;
        clearance.set_part(part);
        clearance.set_crashes(suspect.sharedCrashCount);
        clearance.set_evidence(suspect.answeredBy);
        cleared.push_back(std::move(clearance));
    }
    return cleared;
}

std::size_t PartQuarantine::suspectCount() const
{
    return this->suspects.size();
}

std::size_t PartQuarantine::withheldCount() const
{
    std::size_t count = 0;
    for (const std::set<std::uint64_t> &parts : this->withheld) {
        count += parts.size();
    }
    return count;
}

std::size_t PartQuarantine::answeredCount() const
{
    return this->lastAnsweredMs.size();
}

std::string partText(std::uint64_t part)
{
    constexpr int Hexadecimal = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part, Hexadecimal).ptr;
    return {digits.data(), end};
}

std::string partsText(const std::vector<std::uint64_t> &parts)
{
    std::string text;
    for (const std::uint64_t part : parts) {
        text += (text.empty() ? "" : ",") + partText(part);
    }
    return text;
}

} // namespace Apricothead
