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
    this->forget(nowMs);
    const Wire::Admission &admission = run.admission();
    // Another incarnation may have run it: only that one could have told.
    if (admission.incarnation() != this->options.incarnation || admission.endpoint() != this->options.endpoint) {
        return refuse(Wire::REFUSAL_REASON_OTHER_INCARNATION, Verdict::MayHaveRun);
    }
    const RunId id = runId(admission.key(), admission.attempt());
    const auto known = this->records.find(id);
    if (known != this->records.end()) {
        return this->judgeKnown(known->second);
    }
    const GateDecision decision = this->judgeUnknown(run, nowMs);
    if (decision.action == GateAction::Start) {
        this->records[id] = {.state = RunState::Running, .gateTimeMs = admission.gate_time_ms()};
        ++this->runningCount;
        return decision;
    }
    if (decision.verdict == Verdict::NotRun) {
        this->bury(id, admission.gate_time_ms(), nowMs);
    }
    return decision;
}

GateDecision EndpointGate::decideVoid(const Wire::Void &request, std::uint64_t nowMs)
{
    this->forget(nowMs);
    if (request.incarnation() != this->options.incarnation) {
        return refuse(Wire::REFUSAL_REASON_OTHER_INCARNATION, Verdict::MayHaveRun);
    }
    const RunId id = runId(request.key(), request.attempt());
    const auto known = this->records.find(id);
    if (known != this->records.end()) {
        return this->judgeKnown(known->second);
    }
    const Verdict verdict = this->verdictOfUnknown(request.gate_time_ms());
    if (verdict == Verdict::NotRun) {
        this->bury(id, nowMs, nowMs);
    }
    return refuse(Wire::REFUSAL_REASON_TOMBSTONE, verdict);
}

void EndpointGate::ended(const RunId &id)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Running) {
        return;
    }
    known->second.state = RunState::Ended;
    --this->runningCount;
}

void EndpointGate::notStarted(const RunId &id, std::uint64_t nowMs)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Running) {
        return;
    }
    --this->runningCount;
    this->bury(id, known->second.gateTimeMs, nowMs);
}

void EndpointGate::answerGone(const RunId &id, std::uint64_t nowMs)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second.state != RunState::Ended) {
        return;
    }
    known->second.state = RunState::AnswerGone;
    this->gone.emplace_back(nowMs + static_cast<std::uint64_t>(this->options.recordKept.count()), id);
}

void EndpointGate::setConfiguration(const Wire::Configuration &configuration)
{
    this->withdrawn.clear();
    for (const Wire::Version &version : configuration.versions()) {
        if (version.state() != Wire::VERSION_STATE_WITHDRAWN) {
            continue;
        }
        this->withdrawn.insert(version.id());
    }
    const auto &drainedEndpoints = configuration.drained_endpoints();
    this->drained = std::find(drainedEndpoints.begin(), drainedEndpoints.end(), this->options.endpoint) != drainedEndpoints.end();
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

GateDecision EndpointGate::judgeKnown(const Record &record) const
{
    switch (record.state) {
    case RunState::Running:
    case RunState::Ended:
        return {.action = GateAction::Attach, .reason = Wire::REFUSAL_REASON_UNSPECIFIED, .verdict = Verdict::Ran};
    case RunState::AnswerGone:
        return refuse(Wire::REFUSAL_REASON_ANSWER_GONE, Verdict::Ran);
    case RunState::Tombstone:
        break;
    }
    return refuse(Wire::REFUSAL_REASON_TOMBSTONE, Verdict::NotRun);
}

GateDecision EndpointGate::judgeUnknown(const Wire::Run &run, std::uint64_t nowMs) const
{
    const Wire::Admission &admission = run.admission();
    const Verdict verdict = this->verdictOfUnknown(admission.gate_time_ms());
    if (verdict != Verdict::NotRun) {
        return refuse(Wire::REFUSAL_REASON_ANSWER_GONE, verdict);
    }
    if (run.attach_only()) {
        return refuse(Wire::REFUSAL_REASON_UNKNOWN_RUN, verdict);
    }
    if (this->isStale(admission.gate_time_ms(), nowMs)) {
        return refuse(Wire::REFUSAL_REASON_STALE_ADMISSION, verdict);
    }
    if (this->isLeaving()) {
        return refuse(Wire::REFUSAL_REASON_LEAVING, verdict);
    }
    if (this->withdrawn.contains(admission.version())) {
        return refuse(Wire::REFUSAL_REASON_WITHDRAWN, verdict);
    }
    if (!this->isServed(admission)) {
        return refuse(Wire::REFUSAL_REASON_NOT_SERVED, verdict);
    }
    if (this->runningCount >= this->options.capacity || this->records.size() >= this->options.maxRecords) {
        return refuse(Wire::REFUSAL_REASON_FULL, verdict);
    }
    return {.action = GateAction::Start, .reason = Wire::REFUSAL_REASON_UNSPECIFIED, .verdict = Verdict::MayHaveRun};
}

bool EndpointGate::isStale(std::uint64_t gateTimeMs, std::uint64_t nowMs) const
{
    // A reading ahead of this clock was not made by it.
    if (gateTimeMs > nowMs || gateTimeMs <= this->closedUpToMs) {
        return true;
    }
    return nowMs - gateTimeMs > static_cast<std::uint64_t>(this->options.admissionValidity.count());
}

bool EndpointGate::isServed(const Wire::Admission &admission) const
{
    const ServedSettings wanted{.model = admission.model(), .version = admission.version()};
    return std::find(this->options.served.begin(), this->options.served.end(), wanted) != this->options.served.end();
}

Verdict EndpointGate::verdictOfUnknown(std::uint64_t gateTimeMs) const
{
    const bool mayBeForgotten = this->forgottenUpToMs > 0 && gateTimeMs <= this->forgottenUpToMs;
    return mayBeForgotten ? Verdict::MayHaveRun : Verdict::NotRun;
}

void EndpointGate::bury(const RunId &id, std::uint64_t gateTimeMs, std::uint64_t nowMs)
{
    this->makeRoom(nowMs);
    this->records[id] = {.state = RunState::Tombstone, .gateTimeMs = gateTimeMs};
    // One millisecond more, since an admission is valid up to and including its last one.
    this->tombstones.emplace_back(nowMs + static_cast<std::uint64_t>(this->options.admissionValidity.count()) + 1, id);
}

void EndpointGate::forget(std::uint64_t nowMs)
{
    while (!this->tombstones.empty() && this->tombstones.front().first < nowMs) {
        this->forgetOldest(this->tombstones);
    }
    while (!this->gone.empty() && this->gone.front().first < nowMs) {
        this->forgetOldest(this->gone);
    }
}

void EndpointGate::forgetOldest(std::deque<Expiry> &queue)
{
    const auto known = this->records.find(queue.front().second);
    queue.pop_front();
    if (known == this->records.end()) {
        return;
    }
    if (known->second.state == RunState::AnswerGone) {
        this->forgottenUpToMs = std::max(this->forgottenUpToMs, known->second.gateTimeMs);
    }
    this->records.erase(known);
}

void EndpointGate::makeRoom(std::uint64_t nowMs)
{
    if (this->records.size() < this->options.maxRecords) {
        return;
    }
    // Instead of single tombstones: nothing admitted up to now starts any more.
    this->closedUpToMs = nowMs;
    while (!this->tombstones.empty()) {
        this->forgetOldest(this->tombstones);
    }
    while (!this->gone.empty() && this->records.size() >= this->options.maxRecords) {
        this->forgetOldest(this->gone);
    }
}

} // namespace Apricothead
