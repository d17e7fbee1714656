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
    std::size_t maxWaiting = 2000;
    /** One request in this many is a draft while both kinds wait, so that drafts do not starve. */
    unsigned draftInterval = 5;
    /** Assumed until the queue has measured how fast it drains. */
    double initialDrainPerSecond = 50;
    /** The drain rate is averaged over about this time. */
    double drainAveragingMs = 3000;
    /** A request is refused at once when its predicted wait is more than this part of the time it has. */
    double maxWaitFraction = 0.8;
};

/** \class WaitingRequest
 * \ingroup Decisions_Module
 * \brief A request that waits for its turn.
 */
struct WaitingRequest {
    std::string id;
    std::string organisation;
    double weight = 1;
    Wire::Priority priority = Wire::PRIORITY_INTERACTIVE;
    /** What it is predicted to take, in any one unit; for instance 1, or tokens. */
    double cost = 1;
    double arrivedMs = 0;
    /** It is of no use to start later than this. */
    double startByMs = 0;

    bool operator==(const WaitingRequest &) const = default;
};

/** \class QueueRefusal
 * \ingroup Decisions_Module
 * \brief A request that left the queue without having been dispatched: its verdict is not-run.
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
 * \brief Weighted fair queue of an entry, by organisation, in two priorities, with early refusal.
 *
 * Start-time fair queueing within each priority: an organisation that asks for more than its part waits behind itself, not
 * before others. A request that cannot start in time is refused when it is offered, not when its deadline has passed.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options = {});

    /** Queues \a request. \returns the refusals that follow: of it, or, when the queue is full, of one of an organisation above its part */
    std::vector<QueueRefusal> offer(const WaitingRequest &request, double nowMs);

    /** \returns the request to dispatch now, none when none waits. Call it once for each free place. */
    std::optional<WaitingRequest> popNext(double nowMs);

    /** Removes what has waited too long. \returns the refusals; call it before next() */
    std::vector<QueueRefusal> expire(double nowMs);

    /** The caller left. \returns false when the request does not wait */
    bool cancel(const std::string &id);

    std::size_t size() const;
    /** \returns the wait predicted for a request offered now, in ms */
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
        /** Flows with something waiting, by the tag of their first. */
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
