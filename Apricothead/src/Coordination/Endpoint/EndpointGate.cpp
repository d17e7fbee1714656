#include "EndpointGate.h"

#include <algorithm>

namespace Apricothead {
namespace {

GateDecision refuse(Wire::RefusalReason reason, Verdict verdict)
{
    return {.action = GateAction::Refuse, .reason = reason, .verdict = verdict};
}

} // namespace

EndpointGate::EndpointGate(EndpointGateOptions gateOptions) : options(std::move(gateOptions))
{ }

GateDecision EndpointGate::decide(const Wire::Run &run, std::uint64_t nowMs)
{
    this->removeExpired(nowMs);
    const Wire::Admission &admission = run.admission();
    // The other incarnation may have executed the run, and only its records could tell.
    if (admission.incarnation() != this->options.incarnation || admission.endpoint() != this->options.endpoint) {
        return refuse(Wire::REFUSAL_REASON_OTHER_INCARNATION, Verdict::MayHaveRun);
    }
    const RunId id = runId(admission.key(), admission.attempt());
    const auto known = this->records.find(id);
    if (known != this->records.end()) {
        return this->decideKnown(known->second, nowMs);
    }
    const GateDecision decision = this->decideUnknown(run, nowMs);
    if (decision.action == GateAction::Start) {
        this->records[id] = {.state = RunState::Running, .gateTimeMs = admission.gate_time_ms()};
        ++this->runningCount;
        if (this->requestLimit.perSecond) {
            this->requestTokens.consume(1, static_cast<double>(nowMs));
        }
        return decision;
    }
    if (decision.verdict == Verdict::NotRun) {
        this->addTombstone(id, admission.gate_time_ms(), nowMs);
    }
    return decision;
}

GateDecision EndpointGate::decideVoid(const Wire::Void &request, std::uint64_t nowMs)
{
    this->removeExpired(nowMs);
    if (request.incarnation() != this->options.incarnation) {
        return refuse(Wire::REFUSAL_REASON_OTHER_INCARNATION, Verdict::MayHaveRun);
    }
    const RunId id = runId(request.key(), request.attempt());
    const auto known = this->records.find(id);
    if (known != this->records.end()) {
        return this->decideKnown(known->second, nowMs);
    }
    const Verdict verdict = this->verdictForUnknown(request.gate_time_ms());
    if (verdict == Verdict::NotRun) {
        this->addTombstone(id, nowMs, nowMs);
    }
    return refuse(Wire::REFUSAL_REASON_TOMBSTONE, verdict);
}

void EndpointGate::recordEnded(const RunId &id)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Running) {
        return;
    }
    known->second.state = RunState::Ended;
    --this->runningCount;
}

void EndpointGate::recordNotStarted(const RunId &id, std::uint64_t nowMs)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Running) {
        return;
    }
    --this->runningCount;
    this->addTombstone(id, known->second.gateTimeMs, nowMs);
}

void EndpointGate::recordAnswerDiscarded(const RunId &id, std::uint64_t nowMs)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Ended) {
        return;
    }
    known->second.state = RunState::AnswerDiscarded;
    this->discardedAnswers.emplace_back(nowMs + static_cast<std::uint64_t>(this->options.recordRetention.count()), id);
}

void EndpointGate::setConfiguration(const Wire::Configuration &configuration)
{
    this->withdrawnVersions.clear();
    for (const Wire::Version &version : configuration.versions()) {
        if (version.state() != Wire::VERSION_STATE_WITHDRAWN) {
            continue;
        }
        this->withdrawnVersions.insert(version.id());
    }
    const auto &drainedEndpoints = configuration.drained_endpoints();
    this->drained = std::find(drainedEndpoints.begin(), drainedEndpoints.end(), this->options.endpoint) != drainedEndpoints.end();
}

void EndpointGate::recordRequestLimit(std::optional<double> perSecond, std::uint64_t startedMs, std::uint64_t nowMs)
{
    /** An engine that takes less is asked this often all the same: nothing else tells whether its limit has ended. */
    constexpr double MinPerSecond = 0.25;
    constexpr double BurstSeconds = 0.5;
    const std::optional<RequestLimit> updated = updatedLimit(this->requestLimit, perSecond, startedMs, nowMs);
    if (!updated) {
        return;
    }
    const bool wasLimited = this->requestLimit.perSecond.has_value();
    this->requestLimit = *updated;
    if (!perSecond) {
        return;
    }
    const double rate = std::max(MinPerSecond, *perSecond);
    const double burst = 1 + BurstSeconds * rate;
    if (wasLimited) {
        this->requestTokens.setRate(rate, burst, static_cast<double>(nowMs));
    } else {
        this->requestTokens = TokenBucket(rate, burst, static_cast<double>(nowMs));
    }
}

void EndpointGate::setStopping()
{
    this->stopping = true;
}

bool EndpointGate::isLeaving() const
{
    return this->stopping || this->drained;
}

void EndpointGate::setServed(std::vector<ServedSettings> served)
{
    this->options.served = std::move(served);
}

const std::vector<ServedSettings> &EndpointGate::served() const
{
    return this->options.served;
}

unsigned EndpointGate::running() const
{
    return this->runningCount;
}

std::size_t EndpointGate::recordCount() const
{
    return this->records.size();
}

GateDecision EndpointGate::decideKnown(Record &record, std::uint64_t nowMs) const
{
    switch (record.state) {
    case RunState::Running:
    case RunState::Ended:
        return {.action = GateAction::Attach, .reason = Wire::REFUSAL_REASON_UNSPECIFIED, .verdict = Verdict::Ran};
    case RunState::AnswerDiscarded:
        return refuse(Wire::REFUSAL_REASON_ANSWER_GONE, Verdict::Ran);
    case RunState::Tombstone:
        break;
    }
    record.refusedAtMs = nowMs;
    return refuse(Wire::REFUSAL_REASON_TOMBSTONE, Verdict::NotRun);
}

GateDecision EndpointGate::decideUnknown(const Wire::Run &run, std::uint64_t nowMs) const
{
    const Wire::Admission &admission = run.admission();
    const Verdict verdict = this->verdictForUnknown(admission.gate_time_ms());
    if (verdict != Verdict::NotRun) {
        return refuse(Wire::REFUSAL_REASON_ANSWER_GONE, verdict);
    }
    if (run.attach_only()) {
        return refuse(Wire::REFUSAL_REASON_UNKNOWN_RUN, verdict);
    }
    if (this->isAdmissionStale(admission.gate_time_ms(), nowMs)) {
        return refuse(Wire::REFUSAL_REASON_STALE_ADMISSION, verdict);
    }
    if (this->isLeaving()) {
        return refuse(Wire::REFUSAL_REASON_LEAVING, verdict);
    }
    if (this->withdrawnVersions.contains(admission.version())) {
        return refuse(Wire::REFUSAL_REASON_WITHDRAWN, verdict);
    }
    if (!this->isServed(admission)) {
        return refuse(Wire::REFUSAL_REASON_NOT_SERVED, verdict);
    }
    const bool isOverLimit = this->requestLimit.perSecond && this->requestTokens.waitMs(1, static_cast<double>(nowMs)) > 0;
    if (this->runningCount >= this->options.capacity || this->records.size() >= this->options.maxRecords || isOverLimit) {
        return refuse(Wire::REFUSAL_REASON_FULL, verdict);
    }
    return {.action = GateAction::Start, .reason = Wire::REFUSAL_REASON_UNSPECIFIED, .verdict = Verdict::MayHaveRun};
}

bool EndpointGate::isAdmissionStale(std::uint64_t gateTimeMs, std::uint64_t nowMs) const
{
    // A time in the future was not read from this process's clock.
    if (gateTimeMs > nowMs || gateTimeMs <= this->noStartUpToMs) {
        return true;
    }
    return nowMs - gateTimeMs > static_cast<std::uint64_t>(this->options.admissionValidity.count());
}

bool EndpointGate::isServed(const Wire::Admission &admission) const
{
    const ServedSettings wanted{.model = admission.model(), .version = admission.version()};
    return std::find(this->options.served.begin(), this->options.served.end(), wanted) != this->options.served.end();
}

Verdict EndpointGate::verdictForUnknown(std::uint64_t gateTimeMs) const
{
    const bool mayHaveBeenEvicted = this->evictedUpToMs > 0 && gateTimeMs <= this->evictedUpToMs;
    return mayHaveBeenEvicted ? Verdict::MayHaveRun : Verdict::NotRun;
}

void EndpointGate::addTombstone(const RunId &id, std::uint64_t gateTimeMs, std::uint64_t nowMs)
{
    this->evictIfFull(nowMs);
    this->records[id] = {.state = RunState::Tombstone, .gateTimeMs = gateTimeMs, .refusedAtMs = nowMs};
    this->tombstones.emplace_back(this->tombstoneEndMs(nowMs), id);
}

std::uint64_t EndpointGate::tombstoneEndMs(std::uint64_t refusedAtMs) const
{
    // One more millisecond, because the last millisecond of the validity is included.
    return refusedAtMs + static_cast<std::uint64_t>(this->options.admissionValidity.count()) + 1;
}

void EndpointGate::removeExpired(std::uint64_t nowMs)
{
    while (!this->tombstones.empty() && this->tombstones.front().first < nowMs) {
        const RunId id = this->tombstones.front().second;
        const auto known = this->records.find(id);
        const std::uint64_t endMs = known == this->records.end() ? 0 : this->tombstoneEndMs(known->second.refusedAtMs);
        if (endMs < nowMs) {
            this->removeOldest(this->tombstones);
            continue;
        }
        // It has refused an admission that was made after it.
        this->tombstones.pop_front();
        this->tombstones.emplace_back(endMs, id);
    }
    while (!this->discardedAnswers.empty() && this->discardedAnswers.front().first < nowMs) {
        this->removeOldest(this->discardedAnswers);
    }
}

void EndpointGate::removeOldest(std::deque<Expiry> &queue)
{
    const auto known = this->records.find(queue.front().second);
    queue.pop_front();
    if (known == this->records.end()) {
        return;
    }
    if (known->second.state == RunState::AnswerDiscarded) {
        this->evictedUpToMs = std::max(this->evictedUpToMs, known->second.gateTimeMs);
    }
    this->records.erase(known);
}

void EndpointGate::evictIfFull(std::uint64_t nowMs)
{
    if (this->records.size() < this->options.maxRecords) {
        return;
    }
    // Replaces the individual tombstones: no run admitted up to now starts any more.
    this->noStartUpToMs = nowMs;
    while (!this->tombstones.empty()) {
        this->removeOldest(this->tombstones);
    }
    while (!this->discardedAnswers.empty() && this->records.size() >= this->options.maxRecords) {
        this->removeOldest(this->discardedAnswers);
    }
}

} // namespace Apricothead
