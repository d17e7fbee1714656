#include "EndpointTracker.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

/** Weights of the latest sample in the moving averages. */
constexpr double LatencyFactorWeight = 0.1;
/** A sample that is slower than the average has a larger weight: until the average follows, traffic is sent to a slow endpoint. */
constexpr double SlowdownWeight = 0.3;
constexpr double DurationWeight = 0.1;
constexpr double PromptWeight = 0.02;
constexpr double ErrorWeight = 0.1;
/** Limits the ratio of measured to predicted time of one sample, in both directions. */
constexpr double MaxSampleFactor = 20;

double movingAverage(double previous, double sample, double weight)
{
    return previous > 0 ? previous + weight * (sample - previous) : sample;
}

void eraseOne(std::multiset<double> &times, double time)
{
    const auto found = times.find(time);
    if (found != times.end()) {
        times.erase(found);
    }
}

} // namespace

EndpointTracker::EndpointTracker(EndpointTrackerOptions bounds) : options(bounds)
{ }

void EndpointTracker::addOrUpdate(const std::string &endpoint,
                                  const std::string &availabilityZone,
                                  std::uint64_t incarnation,
                                  const std::vector<ServedModel> &served,
                                  double nowMs)
{
    const EndpointView *previous = this->routingTable.find(endpoint);
    const bool isNew = previous == nullptr || previous->incarnation != incarnation;
    if (isNew) {
        this->routingTable.remove(endpoint);
        this->histories[endpoint] = {};
        this->histories[endpoint].lastReceivedMs = nowMs;
        this->histories[endpoint].warmupStartMs = nowMs;
    }
    this->routingTable.addOrUpdate(endpoint, availabilityZone, incarnation, served);
    if (isNew) {
        this->routingTable.mutableView(endpoint)->warmupProgress = 0;
    }
}

void EndpointTracker::remove(const std::string &endpoint)
{
    this->routingTable.remove(endpoint);
    this->histories.erase(endpoint);
}

void EndpointTracker::setLeaving(const std::string &endpoint, bool leaving)
{
    if (EndpointView *view = this->routingTable.mutableView(endpoint)) {
        view->leaving = leaving;
    }
}

void EndpointTracker::setConnected(const std::string &endpoint, bool connected, double nowMs)
{
    EndpointView *view = this->routingTable.mutableView(endpoint);
    if (view == nullptr) {
        return;
    }
    view->connected = connected;
    History &history = this->histories[endpoint];
    history.silent = !connected;
    if (connected) {
        history.lastReceivedMs = nowMs;
    }
}

void EndpointTracker::report(const std::string &endpoint, const LoadReading &reading, double nowMs)
{
    EndpointView *view = this->routingTable.mutableView(endpoint);
    if (view == nullptr) {
        return;
    }
    History &history = this->histories[endpoint];
    history.lastReceivedMs = nowMs;
    view->reportedRunning = reading.running;
    view->ownAtReport = view->ownRunning;
    view->reportedQueued = reading.queued;
    view->capacity = std::max(1U, reading.capacity);
    view->leaving = reading.leaving;
    view->healthy = reading.healthy;
    view->reportAgeMs = reading.ageMs;
    view->observedMs = nowMs;
    history.sinceReport.erase(history.sinceReport.begin(), history.sinceReport.upper_bound(nowMs - reading.ageMs));
    view->ownSinceReport = static_cast<unsigned>(history.sinceReport.size());
}

RunHandle EndpointTracker::recordStart(const RoutingDecision &decision, double nowMs)
{
    RunHandle run{.endpoint = decision.endpoint, .incarnation = decision.incarnation, .startedMs = nowMs, .baselineMs = decision.baselineMs};
    EndpointView *view = nullptr;
    History *history = this->historyOf(run, view);
    if (history == nullptr) {
        return run;
    }
    if (decision.prefillMs > 0) {
        this->averagePromptMs = movingAverage(this->averagePromptMs, decision.prefillMs, PromptWeight);
    }
    history->awaiting.insert(nowMs);
    history->sinceReport.insert(nowMs);
    ++view->ownRunning;
    this->updateRunCounts(*view, *history);
    return run;
}

void EndpointTracker::recordFirstToken(RunHandle &run, double nowMs)
{
    EndpointView *view = nullptr;
    History *history = this->historyOf(run, view);
    if (history == nullptr || !run.awaiting) {
        return;
    }
    run.awaiting = false;
    eraseOne(history->awaiting, run.startedMs);
    this->updateRunCounts(*view, *history);
    const double tookMs = nowMs - run.startedMs;
    view->firstTokenMs = movingAverage(view->firstTokenMs, tookMs, DurationWeight);
    ++history->samples;
    if (run.baselineMs <= 0) {
        return;
    }
    const double ratio = std::clamp(tookMs / run.baselineMs, 1 / MaxSampleFactor, MaxSampleFactor);
    view->latencyFactor *= std::pow(ratio / view->latencyFactor, ratio > view->latencyFactor ? SlowdownWeight : LatencyFactorWeight);
}

void EndpointTracker::recordEnd(const RunHandle &run, RunOutcome outcome, double nowMs)
{
    EndpointView *view = nullptr;
    History *history = this->historyOf(run, view);
    if (history == nullptr) {
        return;
    }
    if (run.awaiting) {
        eraseOne(history->awaiting, run.startedMs);
    }
    eraseOne(history->sinceReport, run.startedMs);
    view->ownRunning -= std::min(1U, view->ownRunning);
    this->updateRunCounts(*view, *history);
    if (outcome == RunOutcome::Neutral) {
        return;
    }
    const bool failed = outcome == RunOutcome::Failed;
    ++history->samples;
    history->consecutiveFailures = failed ? history->consecutiveFailures + 1 : 0;
    view->errorShare += ErrorWeight * ((failed ? 1 : 0) - view->errorShare);
    if (!failed) {
        view->runMs = movingAverage(view->runMs, nowMs - run.startedMs, DurationWeight);
    }
}

EndpointTracker::History *EndpointTracker::historyOf(const RunHandle &run, EndpointView *&view)
{
    view = this->routingTable.mutableView(run.endpoint);
    if (view == nullptr || view->incarnation != run.incarnation) {
        return nullptr;
    }
    return &this->histories[run.endpoint];
}

void EndpointTracker::updateRunCounts(EndpointView &view, const History &history) const
{
    view.ownAwaiting = static_cast<unsigned>(history.awaiting.size());
    view.ownSinceReport = static_cast<unsigned>(history.sinceReport.size());
    view.oldestAwaitingSinceMs = history.awaiting.empty() ? 0 : *history.awaiting.begin();
}

std::vector<EjectionChange> EndpointTracker::tick(double nowMs)
{
    std::vector<EjectionChange> changes;
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (auto &[endpoint, history] : this->histories) {
        EndpointView &view = *this->routingTable.mutableView(endpoint);
        this->updateAvailability(view, history, nowMs, changes);
        ++total;
        ejected += view.ejected ? 1 : 0;
    }
    const auto share = static_cast<std::size_t>(std::floor(this->options.maxEjectedShare * static_cast<double>(total)));
    const std::size_t maxEjected = total < 2 ? 0 : std::max<std::size_t>(1, share);
    for (const Outlier &outlier : this->findOutliers(nowMs)) {
        if (ejected >= maxEjected) {
            break;
        }
        ++ejected;
        History &history = this->histories[outlier.endpoint];
        const double doubled = this->options.baseEjectionMs * std::pow(2.0, std::min(history.ejections, 10U));
        history.ejectedUntilMs = nowMs + std::min(this->options.maxEjectionMs, doubled);
        ++history.ejections;
        this->routingTable.mutableView(outlier.endpoint)->ejected = true;
        changes.push_back({.endpoint = outlier.endpoint, .ejected = true, .reason = outlier.reason, .value = outlier.value});
    }
    return changes;
}

void EndpointTracker::updateAvailability(EndpointView &view, History &history, double nowMs, std::vector<EjectionChange> &changes) const
{
    const bool silent = nowMs - history.lastReceivedMs > this->options.silenceMs;
    if (silent && !history.silent) {
        history.silent = true;
        view.connected = false;
        changes.push_back({.endpoint = view.endpoint, .ejected = true, .reason = "silent", .value = nowMs - history.lastReceivedMs});
    } else if (!silent && history.silent) {
        history.silent = false;
        view.connected = true;
        history.warmupStartMs = nowMs;
        changes.push_back({.endpoint = view.endpoint, .ejected = false, .reason = "heard-again"});
    }
    if (view.ejected && nowMs >= history.ejectedUntilMs) {
        view.ejected = false;
        // Only new samples count from now on; the latency factor is kept and still diverts most traffic from a slow endpoint.
        history.samples = 0;
        history.consecutiveFailures = 0;
        view.errorShare = 0;
        history.warmupStartMs = nowMs;
        changes.push_back({.endpoint = view.endpoint, .ejected = false, .reason = "ejection-over"});
    }
    const double warmup = (nowMs - history.warmupStartMs) / std::max(1.0, this->options.slowStartMs);
    view.warmupProgress = std::clamp(warmup, 0.0, 1.0);
}

std::vector<EndpointTracker::Outlier> EndpointTracker::findOutliers(double nowMs) const
{
    const double medianLatencyFactor = std::max(0.1, this->median(&EndpointView::latencyFactor));
    const double medianFirstToken = this->median(&EndpointView::firstTokenMs);
    const double overdue = std::max(this->options.overdueMs, this->options.overdueFactor * medianFirstToken);
    std::vector<Outlier> found;
    for (const EndpointView &view : this->routingTable.views()) {
        if (view.endpoint.empty() || view.ejected) {
            continue;
        }
        const History &history = this->histories.at(view.endpoint);
        const double waited = view.oldestAwaitingSinceMs > 0 ? nowMs - view.oldestAwaitingSinceMs : 0;
        if (history.consecutiveFailures >= this->options.ejectAfterFailures) {
            const double failures = history.consecutiveFailures;
            found.push_back({view.endpoint, "consecutive-failures", failures, 100 + failures});
        } else if (history.samples >= this->options.minSamples && view.errorShare >= this->options.maxErrorShare) {
            found.push_back({view.endpoint, "error-share", view.errorShare, 50 + view.errorShare});
        } else if (waited > overdue) {
            found.push_back({view.endpoint, "first-token-overdue", waited, waited / overdue});
        } else if (history.samples >= this->options.minSamples && view.latencyFactor > this->options.slowFactor * medianLatencyFactor) {
            found.push_back({view.endpoint, "slow", view.latencyFactor / medianLatencyFactor, view.latencyFactor / medianLatencyFactor});
        }
    }
    std::sort(found.begin(), found.end(), [](const Outlier &a, const Outlier &b) {
        return a.severity != b.severity ? a.severity > b.severity : a.endpoint < b.endpoint;
    });
    return found;
}

double EndpointTracker::median(double EndpointView::*field) const
{
    std::vector<double> values;
    for (const EndpointView &view : this->routingTable.views()) {
        if (!view.endpoint.empty() && this->histories.at(view.endpoint).samples > 0) {
            values.push_back(view.*field);
        }
    }
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double EndpointTracker::typicalPromptMs() const
{
    return this->averagePromptMs;
}

const RoutingTable &EndpointTracker::table() const
{
    return this->routingTable;
}

} // namespace Apricothead
