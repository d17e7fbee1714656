#pragma once

#include "../../Decisions/AdmissionQueue.h"
#include "../../Decisions/DispatchWindow.h"
#include "../../Decisions/RoutingTable.h"
#include "../../Decisions/SharedLimiter.h"
#include "CallerRequest.h"

#include "../../Protocol/CallerError.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class AdmissionControlOptions
 * \ingroup Coordination_Module
 * \brief Time limits and callbacks of an AdmissionControl. The callbacks run on the entry's thread.
 */
struct AdmissionControlOptions {
    std::string entry;
    std::chrono::milliseconds interactiveWait{5000};
    std::chrono::milliseconds draftWait{30000};
    DispatchWindowOptions window;
    /** \returns the load of the endpoints that serve a model */
    std::function<ModelLoad(const std::string &model)> loadOf;
    /** \returns monotonic milliseconds */
    std::function<double()> nowMs;
};

/** \class AdmissionControl
 * \ingroup Coordination_Module
 * \brief Decides when a caller's request may start: by the limits of its organisation, then by the fair queue of its model.
 *
 * A refused request has not run. \sa SharedLimiter, AdmissionQueue
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionControlOptions options);

    /** Applies the limits and weights of the organisations, and the first model of each cascade. */
    void configure(const Wire::Configuration &configuration);

    /** Queues \a request under its unique \a number. Either \a start or \a refuse is called once, possibly before this returns, unless the request is
     * cancelled. */
    void submit(std::uint64_t number, const CallerRequest &request, std::function<void()> start, std::function<void(const CallerError &)> refuse);

    /** Removes a queued request; has no effect once it has started. */
    void cancel(std::uint64_t number);

    /** Releases the slot of a started request, which used \a tokens. \a ran is false if it certainly did not run. */
    void release(std::uint64_t number, double tokens, bool ran);

    /** Refuses requests that have waited too long and starts others while slots are free. To be called a few times a second. */
    void tick();

    std::vector<Wire::OrganisationDemand> digest();
    void applyDigests(const std::vector<Wire::EntryDigest> &digests);

private:
    struct Pending {
        std::string organisation;
        std::string model;
        double estimatedTokens = 0;
        bool isStarted = false;
        std::function<void()> start;
        std::function<void(const CallerError &)> refuse;
    };

    void refuseAll(const std::vector<QueueRefusal> &refusals);
    void refuse(std::uint64_t number, const std::string &reason, double retryAfterMs);
    void startQueued(const std::string &model, AdmissionQueue &queue);
    bool hasFreeSlot(const std::string &model) const;
    std::string firstModelOf(const std::string &model) const;

    AdmissionControlOptions options;
    SharedLimiter limiter;
    std::map<std::string, AdmissionQueue> queues;
    std::map<std::uint64_t, Pending> pending;
    std::map<std::string, unsigned> startedByModel;
    std::map<std::string, double> weights;
    std::map<std::string, std::string> firstModelByCascade;
    unsigned entryCount = 1;
    bool isStarting = false;
};

} // namespace Apricothead
