#pragma once

#include "../Protocol/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AdmissionQueueOptions
 * \ingroup Decisions_Module
 * \brief Bounds of an AdmissionQueue.
 */
struct AdmissionQueueOptions {
    /** Requests in the queue, over both priorities. */
    std::size_t maxWaiting = 2000;
    /** While requests of both priorities wait, one dispatched request in this many is a draft, so that drafts are not starved. */
    unsigned draftInterval = 5;
    /** Drain rate, in cost units per second, that is assumed until the queue has measured its own. */
    double initialDrainPerSecond = 50;
    /** Approximate averaging time of the measured drain rate. */
    double drainAveragingMs = 3000;
    /** A request is refused on arrival when its predicted wait exceeds this fraction of the time that is left until its start deadline. */
    double maxWaitFraction = 0.8;
};

/** \class WaitingRequest
 * \ingroup Decisions_Module
 * \brief A request to be queued.
 */
struct WaitingRequest {
    std::string id;
    std::string organisation;
    double weight = 1;
    Wire::Priority priority = Wire::PRIORITY_INTERACTIVE;
    /** Predicted cost, in the same unit for all requests, for instance 1 or tokens. */
    double cost = 1;
    double arrivedMs = 0;
    /** Start deadline; a request that has not started by then is refused. */
    double startByMs = 0;

    bool operator==(const WaitingRequest &) const = default;
};

/** \class QueueRefusal
 * \ingroup Decisions_Module
 * \brief A request that left the queue without being dispatched; its verdict is not-run.
 */
struct QueueRefusal {
    std::string id;
    std::string organisation;
    /** \c wait-exceeds-deadline, \c queue-full, \c displaced or \c deadline-passed. */
    std::string reason;
    double retryAfterMs = 0;

    bool operator==(const QueueRefusal &) const = default;
};

/** \class AdmissionQueue
 * \ingroup Decisions_Module
 * \brief An entry's weighted fair queue over organisations, with two priorities and early refusal.
 *
 * Start-time fair queueing within each priority: an organisation that exceeds its share delays its own requests only, not those
 * of others. A request that cannot start in time is refused when it is offered, not when its deadline has passed.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options = {});

    /** Queues \a request. \returns the resulting refusals: of \a request itself, or, when the queue is full, of a request of an
     * organisation that exceeds its share */
    std::vector<QueueRefusal> offer(const WaitingRequest &request, double nowMs);

    /** Removes and returns the request to dispatch now. \returns nothing when the queue is empty. Called once for each free place. */
    std::optional<WaitingRequest> popNext(double nowMs);

    /** Removes requests whose start deadline has passed. \returns their refusals. Called before popNext(). */
    std::vector<QueueRefusal> expire(double nowMs);

    /** Removes the request of a caller that disconnected. \returns false when it is not queued */
    bool cancel(const std::string &id);

    std::size_t size() const;
    /** \returns the predicted wait in ms of \a request if it were offered now */
    double predictedWaitMs(const WaitingRequest &request) const;

private:
    struct Waiting {
        WaitingRequest request;
        double startTag = 0;
    };
    struct Flow {
        std::deque<Waiting> queue;
        double finishTag = 0;
        double backlog = 0;
        double weight = 1;
    };
    struct Lane {
        std::map<std::string, Flow> flows;
        /** Flows that are not empty, by the start tag of their first request. */
        std::set<std::pair<double, std::string>> order;
        double virtualTime = 0;
        double backlog = 0;
        std::size_t count = 0;
    };

    Lane &laneOf(Wire::Priority priority);
    const Lane &laneOf(Wire::Priority priority) const;
    double laneShare(const Lane &lane) const;
    double retryAfter(const WaitingRequest &request) const;
    void push(Lane &lane, const WaitingRequest &request);
    Waiting popFront(Lane &lane, const std::string &organisation);
    std::optional<QueueRefusal> displace(Lane &lane, const WaitingRequest &request);
    void eraseIdleFlow(Lane &lane, const std::string &organisation);
    void recordDrain(double cost, double nowMs);

    AdmissionQueueOptions options;
    Lane interactive;
    Lane draft;
    unsigned consecutiveInteractive = 0;
    double drainRate = 0;
    double drainedCost = 0;
    double drainSinceMs = 0;
};

} // namespace Apricothead
