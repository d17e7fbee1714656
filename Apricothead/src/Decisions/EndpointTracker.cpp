#include "EndpointTracker.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

/** Weights of the newest sample in the moving averages. */
constexpr double PaceWeight = 0.1;
/** Slower than thought is believed sooner: traffic that goes there meanwhile suffers. */
constexpr double SlowerPaceWeight = 0.3;
constexpr double TimeWeight = 0.1;
constexpr double PromptWeight = 0.02;
constexpr double ErrorWeight = 0.1;
/** One sample changes the pace by at most this factor's share. */
constexpr double PaceSampleLimit = 20;

double averaged(double former, double sample, double weight)
{
    return former > 0 ? former + weight * (sample - former) : sample;
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
    const EndpointView *former = this->known.find(endpoint);
    const bool isNew = former == nullptr || former->incarnation != incarnation;
    if (isNew) {
        this->known.remove(endpoint);
        this->histories[endpoint] = {};
        this->histories[endpoint].heardMs = nowMs;
        this->histories[endpoint].warmFromMs = nowMs;
    }
    this->known.addOrUpdate(endpoint, availabilityZone, incarnation, served);
    if (isNew) {
        this->known.mutableView(endpoint)->warmupProgress = 0;
    }
}

void EndpointTracker::remove(const std::string &endpoint)
{
    this->known.remove(endpoint);
    this->histories.erase(endpoint);
}

void EndpointTracker::setLeaving(const std::string &endpoint, bool leaving)
{
    if (EndpointView *view = this->known.mutableView(endpoint)) {
        view->leaving = leaving;
    }
}

void EndpointTracker::setConnected(const std::string &endpoint, bool connected, double nowMs)
{
    EndpointView *view = this->known.mutableView(endpoint);
    if (view == nullptr) {
        return;
    }
    view->connected = connected;
    History &history = this->histories[endpoint];
    history.silent = !connected;
    if (connected) {
        history.heardMs = nowMs;
    }
}

void EndpointTracker::report(const std::string &endpoint, const LoadReading &reading, double nowMs)
{
    EndpointView *view = this->known.mutableView(endpoint);
    if (view == nullptr) {
        return;
    }
    History &history = this->histories[endpoint];
    history.heardMs = nowMs;
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
    RunHandle ticket{.endpoint = decision.endpoint, .incarnation = decision.incarnation, .startedMs = nowMs, .baselineMs = decision.baselineMs};
    EndpointView *view = nullptr;
    History *history = this->historyOf(ticket, view);
    if (history == nullptr) {
        return ticket;
    }
    if (decision.prefillMs > 0) {
        this->promptMs = averaged(this->promptMs, decision.prefillMs, PromptWeight);
    }
    history->awaiting.insert(nowMs);
    history->sinceReport.insert(nowMs);
    ++view->ownRunning;
    this->refreshAwaiting(*view, *history);
    return ticket;
}

void EndpointTracker::recordFirstToken(RunHandle &ticket, double nowMs)
{
    EndpointView *view = nullptr;
    History *history = this->historyOf(ticket, view);
    if (history == nullptr || !ticket.awaiting) {
        return;
    }
    ticket.awaiting = false;
    eraseOne(history->awaiting, ticket.startedMs);
    this->refreshAwaiting(*view, *history);
    const double took = nowMs - ticket.startedMs;
    view->firstTokenMs = averaged(view->firstTokenMs, took, TimeWeight);
    ++history->samples;
    if (ticket.baselineMs <= 0) {
        return;
    }
    const double ratio = std::clamp(took / ticket.baselineMs, 1 / PaceSampleLimit, PaceSampleLimit);
    view->pace *= std::pow(ratio / view->pace, ratio > view->pace ? SlowerPaceWeight : PaceWeight);
}

void EndpointTracker::recordEnd(const RunHandle &ticket, RunOutcome end, double nowMs)
{
    EndpointView *view = nullptr;
    History *history = this->historyOf(ticket, view);
    if (history == nullptr) {
        return;
    }
    if (ticket.awaiting) {
        eraseOne(history->awaiting, ticket.startedMs);
    }
    eraseOne(history->sinceReport, ticket.startedMs);
    view->ownRunning -= std::min(1U, view->ownRunning);
    this->refreshAwaiting(*view, *history);
    if (end == RunOutcome::Neutral) {
        return;
    }
    const bool broken = end == RunOutcome::Failed;
    ++history->samples;
    history->failuresInRow = broken ? history->failuresInRow + 1 : 0;
    view->errorShare += ErrorWeight * ((broken ? 1 : 0) - view->errorShare);
    if (!broken) {
        view->runMs = averaged(view->runMs, nowMs - ticket.startedMs, TimeWeight);
    }
}

EndpointTracker::History *EndpointTracker::historyOf(const RunHandle &ticket, EndpointView *&view)
{
    view = this->known.mutableView(ticket.endpoint);
    if (view == nullptr || view->incarnation != ticket.incarnation) {
        return nullptr;
    }
    return &this->histories[ticket.endpoint];
}

void EndpointTracker::refreshAwaiting(EndpointView &view, const History &history) const
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
        EndpointView &view = *this->known.mutableView(endpoint);
        this->endSilenceAndEjection(view, history, nowMs, changes);
        ++total;
        ejected += view.ejected ? 1 : 0;
    }
    const auto share = static_cast<std::size_t>(std::floor(this->options.ejectedShare * static_cast<double>(total)));
    const std::size_t most = total < 2 ? 0 : std::max<std::size_t>(1, share);
    for (const Outlier &outlier : this->outliers(nowMs)) {
        if (ejected >= most) {
            break;
        }
        ++ejected;
        History &history = this->histories[outlier.endpoint];
        const double doubled = this->options.firstEjectionMs * std::pow(2.0, std::min(history.ejections, 10U));
        history.ejectedUntilMs = nowMs + std::min(this->options.longestEjectionMs, doubled);
        ++history.ejections;
        this->known.mutableView(outlier.endpoint)->ejected = true;
        changes.push_back({.endpoint = outlier.endpoint, .ejected = true, .reason = outlier.reason, .value = outlier.value});
    }
    return changes;
}

void EndpointTracker::endSilenceAndEjection(EndpointView &view, History &history, double nowMs, std::vector<EjectionChange> &changes) const
{
    const bool silent = nowMs - history.heardMs > this->options.silenceMs;
    if (silent && !history.silent) {
        history.silent = true;
        view.connected = false;
        changes.push_back({.endpoint = view.endpoint, .ejected = true, .reason = "silent", .value = nowMs - history.heardMs});
    } else if (!silent && history.silent) {
        history.silent = false;
        view.connected = true;
        history.warmFromMs = nowMs;
        changes.push_back({.endpoint = view.endpoint, .ejected = false, .reason = "heard-again"});
    }
    if (view.ejected && nowMs >= history.ejectedUntilMs) {
        view.ejected = false;
        // It is judged by new samples, against a pace that still keeps most traffic away.
        history.samples = 0;
        history.failuresInRow = 0;
        view.errorShare = 0;
        history.warmFromMs = nowMs;
        changes.push_back({.endpoint = view.endpoint, .ejected = false, .reason = "ejection-over"});
    }
    const double warm = (nowMs - history.warmFromMs) / std::max(1.0, this->options.slowStartMs);
    view.warmupProgress = std::clamp(warm, 0.0, 1.0);
}

std::vector<EndpointTracker::Outlier> EndpointTracker::outliers(double nowMs) const
{
    const double medianPace = std::max(0.1, this->median(&EndpointView::pace));
    const double medianFirstToken = this->median(&EndpointView::firstTokenMs);
    const double overdue = std::max(this->options.overdueMs, this->options.overdueFactor * medianFirstToken);
    std::vector<Outlier> found;
    for (const EndpointView &view : this->known.views()) {
        if (view.endpoint.empty() || view.ejected) {
            continue;
        }
        const History &history = this->histories.at(view.endpoint);
        const double waited = view.oldestAwaitingSinceMs > 0 ? nowMs - view.oldestAwaitingSinceMs : 0;
        if (history.failuresInRow >= this->options.consecutiveFailures) {
            const double failures = history.failuresInRow;
            found.push_back({view.endpoint, "consecutive-failures", failures, 100 + failures});
        } else if (history.samples >= this->options.leastSamples && view.errorShare >= this->options.errorShare) {
            found.push_back({view.endpoint, "error-share", view.errorShare, 50 + view.errorShare});
        } else if (waited > overdue) {
            found.push_back({view.endpoint, "first-token-overdue", waited, waited / overdue});
        } else if (history.samples >= this->options.leastSamples && view.pace > this->options.slowFactor * medianPace) {
            found.push_back({view.endpoint, "slow", view.pace / medianPace, view.pace / medianPace});
        }
    }
    std::sort(found.begin(), found.end(), [](const Outlier &a, const Outlier &b) {
        return a.badness != b.badness ? a.badness > b.badness : a.endpoint < b.endpoint;
    });
    return found;
}

double EndpointTracker::median(double EndpointView::*field) const
{
    std::vector<double> values;
    for (const EndpointView &view : this->known.views()) {
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
    return this->promptMs;
}

const RoutingTable &EndpointTracker::table() const
{
    return this->known;
}

} // namespace Apricothead
