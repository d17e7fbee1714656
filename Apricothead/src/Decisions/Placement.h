#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricothead {

/** \class PlacementVersion
 * \ingroup Decisions_Module
 * \brief A version and its demand for copies.
 */
struct PlacementVersion {
    std::string model;
    std::string version;
    /** Number of active and waiting runs, averaged over some tens of seconds. */
    double demand = 0;
    double weightBytes = 0;
    /** Whether sessions are bound to it, a roll-out refers to it or it is the stable version of a model. Then minCopies copies are kept, also without
     * demand. */
    bool inUse = true;
    /** Withdrawn versions are unloaded. */
    bool withdrawn = false;
    unsigned minCopies = 1;

    bool operator==(const PlacementVersion &) const = default;
};

/** \class PlacementEndpoint
 * \ingroup Decisions_Module
 * \brief An endpoint that versions can be loaded at.
 */
struct PlacementEndpoint {
    std::string endpoint;
    std::string availabilityZone;
    std::uint64_t incarnation = 0;
    /** Number of versions that it can have loaded at a time. */
    unsigned maxVersions = 1;
    /** Number of runs in a batch. */
    unsigned capacity = 1;
    std::vector<std::string> loaded;
    /** The version that is being loaded, empty when there is none. */
    std::string loading;
    bool usable = true;

    bool operator==(const PlacementEndpoint &) const = default;
};

/** \class PlacementOptions
 * \ingroup Decisions_Module
 * \brief Thresholds for adding and removing copies, and limits on loading.
 */
struct PlacementOptions {
    /** Utilisation of a version (demand divided by capacity) above which a copy is added, and below which a copy can be removed. */
    double addAboveUtilisation = 0.75;
    double removeBelowUtilisation = 0.35;
    /** A copy is removed only when the utilisation of the remaining copies is below this. */
    double maxUtilisationAfterRemoval = 0.6;
    /** The utilisation must have stayed beyond the threshold for this long. */
    double holdMs = 30000;
    /** Rate limit of reads from the weight store, and the burst that it allows. */
    double storeBytesPerSecond = 1e9;
    double storeBurstBytes = 40e9;
    unsigned maxConcurrentLoads = 2;
};

/** \class PlacementOrder
 * \ingroup Decisions_Module
 * \brief An order to an engine to load or unload versions. It is sent with a fencing token granted by the replicated log.
 */
struct PlacementOrder {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** The version to load, empty when there is none. */
    std::string loadVersion;
    /** The version to unload, empty when there is none. */
    std::string unloadVersion;
    /** \c no-copy, \c zone-without-copy, \c demand-above, \c withdrawn or \c not-in-use. */
    std::string reason;
    /** The number behind the reason: the current copies or the utilisation; 0 for a version that is only unloaded. */
    double value = 0;

    bool operator==(const PlacementOrder &) const = default;
};

/** \class PlacementHistory
 * \ingroup Decisions_Module
 * \brief State that is carried from one decision to the next: since when utilisations are beyond a threshold, and the budget for loads.
 */
struct PlacementHistory {
    struct ThresholdTimes {
        std::string version;
        /** Since when the utilisation is above or below the threshold; 0 while it is not. */
        double aboveSinceMs = 0;
        double belowSinceMs = 0;

        bool operator==(const ThresholdTimes &) const = default;
    };
    std::vector<ThresholdTimes> thresholdTimes;
    /** What the weight store's rate limit allows to load now; negative before the first decision. */
    double loadBudgetBytes = -1;
    double budgetUpdatedMs = 0;

    bool operator==(const PlacementHistory &) const = default;
};

/** \class PlacementDecision
 * \ingroup Decisions_Module
 * \brief The orders to send now, and the history for the next decision.
 */
struct PlacementDecision {
    std::vector<PlacementOrder> orders;
    PlacementHistory history;
};

/** Chooses which versions to load and unload. \returns at most one order per endpoint; none that would leave a version in use with fewer than its
 * minimum copies, unless it is withdrawn */
PlacementDecision choosePlacement(const std::vector<PlacementVersion> &versions,
                                  const std::vector<PlacementEndpoint> &endpoints,
                                  const PlacementHistory &history,
                                  const PlacementOptions &options,
                                  double nowMs);

/** \returns the message for \a order with the fencing token \a fence that was granted by a Wire::TakeFence */
Wire::Order fencedOrder(const PlacementOrder &order, std::uint64_t fence, std::uint64_t call);

} // namespace Apricothead
