#include "AdmissionQueue.h"

#include <algorithm>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;
constexpr double MinRetryAfterMs = 1000;
constexpr double MaxRetryAfterMs = 30000;
constexpr double DrainSmoothing = 0.4;

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions givenOptions) : options(givenOptions), drainRate(givenOptions.initialDrainPerSecond)
{ }

AdmissionQueue::Lane &AdmissionQueue::laneOf(Wire::Priority priority)
{
    return priority == Wire::PRIORITY_DRAFT ? this->draft : this->interactive;
}

const AdmissionQueue::Lane &AdmissionQueue::laneOf(Wire::Priority priority) const
{
    return priority == Wire::PRIORITY_DRAFT ? this->draft : this->interactive;
}

double AdmissionQueue::laneShare(const Lane &lane) const
{
    const double draftFraction = 1.0 / this->options.draftInterval;
    if (&lane == &this->draft) {
        return this->interactive.count == 0 ? 1 : draftFraction;
    }
    return this->draft.count == 0 ? 1 : 1 - draftFraction;
}

double AdmissionQueue::predictedWaitMs(const WaitingRequest &request) const
{
    const Lane &lane = this->laneOf(request.priority);
    const auto flow = lane.flows.find(request.organisation);
    const double ownBacklog = flow == lane.flows.end() ? 0 : flow->second.backlog;
    // Only organisations with queued requests share the drain rate; each drains its own backlog at its share of the rate.
    double weights = request.weight;
    for (const auto &[tag, organisation] : lane.order) {
        weights += organisation == request.organisation ? 0 : lane.flows.at(organisation).weight;
    }
    const double fairBacklog = ownBacklog * weights / request.weight;
    const double backlogAhead = std::min(fairBacklog, lane.backlog);
    return backlogAhead / (std::max(0.001, this->drainRate) * this->laneShare(lane)) * MsPerSecond;
}

double AdmissionQueue::retryAfter(const WaitingRequest &request) const
{
    return std::clamp(this->predictedWaitMs(request), MinRetryAfterMs, MaxRetryAfterMs);
}

std::vector<QueueRefusal> AdmissionQueue::offer(const WaitingRequest &request, double nowMs)
{
    Lane &lane = this->laneOf(request.priority);
    const double remainingMs = request.startByMs - nowMs;
    if (this->predictedWaitMs(request) > remainingMs * this->options.maxWaitFraction) {
        return {{request.id, request.organisation, "wait-exceeds-deadline", this->retryAfter(request)}};
    }
    std::vector<QueueRefusal> refusals;
    if (this->size() >= this->options.maxWaiting) {
        const std::optional<QueueRefusal> displaced = this->displace(lane, request);
        if (!displaced) {
            return {{request.id, request.organisation, "queue-full", this->retryAfter(request)}};
        }
        refusals.push_back(*displaced);
    }
    this->push(lane, request);
    return refusals;
}

void AdmissionQueue::push(Lane &lane, const WaitingRequest &request)
{
    Flow &flow = lane.flows[request.organisation];
    flow.weight = std::max(0.001, request.weight);
    const double start = std::max(lane.virtualTime, flow.finishTag);
    flow.finishTag = start + request.cost / flow.weight;
    if (flow.queue.empty()) {
        lane.order.emplace(start, request.organisation);
    }
    flow.queue.push_back({.request = request, .startTag = start});
    flow.backlog += request.cost;
    lane.backlog += request.cost;
    ++lane.count;
}

std::optional<QueueRefusal> AdmissionQueue::displace(Lane &lane, const WaitingRequest &request)
{
    // Drops the newest request of the flow with the largest backlog per weight, if that exceeds the backlog per weight of the
    // offered request's flow.
    const auto load = [](const Flow &flow) {
        return flow.backlog / flow.weight;
    };
    const auto longest = std::max_element(lane.flows.begin(), lane.flows.end(), [&](const auto &a, const auto &b) {
        return load(a.second) < load(b.second);
    });
    if (longest == lane.flows.end() || longest->second.queue.empty() || longest->first == request.organisation) {
        return std::nullopt;
    }
    const auto ownFlow = lane.flows.find(request.organisation);
    const double ownLoad = (ownFlow == lane.flows.end() ? 0 : ownFlow->second.backlog) + request.cost;
    if (load(longest->second) <= ownLoad / std::max(0.001, request.weight)) {
        return std::nullopt;
    }
    Flow &flow = longest->second;
    const Waiting dropped = flow.queue.back();
    flow.queue.pop_back();
    flow.backlog -= dropped.request.cost;
    flow.finishTag = dropped.startTag;
    lane.backlog -= dropped.request.cost;
    --lane.count;
    if (flow.queue.empty()) {
        lane.order.erase({dropped.startTag, longest->first});
    }
    return QueueRefusal{dropped.request.id, dropped.request.organisation, "displaced", this->retryAfter(dropped.request)};
}

AdmissionQueue::Waiting AdmissionQueue::popFront(Lane &lane, const std::string &organisation)
{
    Flow &flow = lane.flows.at(organisation);
    Waiting first = flow.queue.front();
    lane.order.erase({first.startTag, organisation});
    flow.queue.pop_front();
    flow.backlog -= first.request.cost;
    lane.backlog -= first.request.cost;
    --lane.count;
    if (!flow.queue.empty()) {
        lane.order.emplace(flow.queue.front().startTag, organisation);
    }
    return first;
}

void AdmissionQueue::eraseIdleFlow(Lane &lane, const std::string &organisation)
{
    const auto flow = lane.flows.find(organisation);
    if (flow != lane.flows.end() && flow->second.queue.empty() && flow->second.finishTag <= lane.virtualTime) {
        lane.flows.erase(flow);
    }
}

std::optional<WaitingRequest> AdmissionQueue::popNext(double nowMs)
{
    if (this->size() == 0) {
        // While the queue is empty, the drain rate cannot be measured.
        this->drainSinceMs = 0;
        this->drainedCost = 0;
        return std::nullopt;
    }
    const bool isDraftTurn = this->interactive.count == 0 || this->consecutiveInteractive + 1 >= this->options.draftInterval;
    Lane &lane = isDraftTurn && this->draft.count > 0 ? this->draft : this->interactive;
    this->consecutiveInteractive = &lane == &this->draft ? 0 : std::min(this->consecutiveInteractive + 1, this->options.draftInterval);
    const std::string organisation = lane.order.begin()->second;
    const Waiting first = this->popFront(lane, organisation);
    lane.virtualTime = std::max(lane.virtualTime, first.startTag);
    this->eraseIdleFlow(lane, organisation);
    this->recordDrain(first.request.cost, nowMs);
    return first.request;
}

void AdmissionQueue::recordDrain(double cost, double nowMs)
{
    if (this->drainSinceMs <= 0) {
        this->drainSinceMs = nowMs;
        this->drainedCost = 0;
        return;
    }
    this->drainedCost += cost;
    const double span = nowMs - this->drainSinceMs;
    if (span < this->options.drainAveragingMs * DrainSmoothing) {
        return;
    }
    const double rate = this->drainedCost / span * MsPerSecond;
    this->drainRate += DrainSmoothing * (rate - this->drainRate);
    this->drainSinceMs = nowMs;
    this->drainedCost = 0;
}

std::vector<QueueRefusal> AdmissionQueue::expire(double nowMs)
{
    std::vector<QueueRefusal> refusals;
    for (Lane *lane : {&this->interactive, &this->draft}) {
        std::vector<std::string> organisations;
        for (const auto &[tag, organisation] : lane->order) {
            organisations.push_back(organisation);
        }
        for (const std::string &organisation : organisations) {
            while (!lane->flows.at(organisation).queue.empty() && lane->flows.at(organisation).queue.front().request.startByMs < nowMs) {
                const Waiting expired = this->popFront(*lane, organisation);
                refusals.push_back({expired.request.id, organisation, "deadline-passed", this->retryAfter(expired.request)});
            }
        }
    }
    return refusals;
}

bool AdmissionQueue::cancel(const std::string &id)
{
    for (Lane *lane : {&this->interactive, &this->draft}) {
        for (auto &[organisation, flow] : lane->flows) {
            const auto found = std::find_if(flow.queue.begin(), flow.queue.end(), [&id](const Waiting &waiting) {
                return waiting.request.id == id;
            });
            if (found == flow.queue.end()) {
                continue;
            }
            lane->order.erase({flow.queue.front().startTag, organisation});
            flow.backlog -= found->request.cost;
            lane->backlog -= found->request.cost;
            --lane->count;
            flow.queue.erase(found);
            if (!flow.queue.empty()) {
                lane->order.emplace(flow.queue.front().startTag, organisation);
            }
            return true;
        }
    }
    return false;
}

std::size_t AdmissionQueue::size() const
{
    return this->interactive.count + this->draft.count;
}

} // namespace Apricothead
