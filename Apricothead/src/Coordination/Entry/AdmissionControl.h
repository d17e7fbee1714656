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
 * \brief Bounds and hooks of an AdmissionControl, called on the entry's thread.
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
 * \brief Decides when a request of a caller may start: limits of its organisation, then its turn in a fair queue of its model.
 *
 * What it refuses has not run. \sa SharedLimiter, AdmissionQueue
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionControlOptions options);

    /** Takes over limits and weights of the organisations, and which model a cascade starts with. */
    void configure(const Wire::Configuration &configuration);

    /** Exactly one of the hooks is called, at once or later, unless the request is cancelled. Each request has its own \a number. */
    void submit(std::uint64_t number, const CallerRequest &request, std::function<void()> start, std::function<void(const CallerError &)> refuse);

    /** The caller left while the request waited. */
    void cancel(std::uint64_t number);

    /** A started request ended, having used \a tokens. */
    void release(std::uint64_t number, double tokens, bool ran);

    /** Refuses what has waited too long and starts what has its turn. Called a few times a second. */
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
