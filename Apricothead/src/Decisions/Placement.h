#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricothead {

/** \class PlacementVersion
 * \ingroup Decisions_Module
 * \brief What one version needs.
 */
struct PlacementVersion {
    std::string model;
    std::string version;
    /** Runs under way and waiting, averaged over some tens of seconds. */
    double demand = 0;
    double weightBytes = 0;
    /** Sessions are bound to it, a roll-out names it or it is a model's stable version: it keeps its least copies. */
    bool inUse = true;
    bool withdrawn = false;
    unsigned minCopies = 1;

    bool operator==(const PlacementVersion &) const = default;
};

/** \class PlacementEndpoint
 * \ingroup Decisions_Module
 * \brief Where versions can be loaded.
 */
struct PlacementEndpoint {
    std::string endpoint;
    std::string availabilityZone;
    std::uint64_t incarnation = 0;
    /** Versions that it can hold at a time. */
    unsigned maxVersions = 1;
    /** Runs that it batches. */
    unsigned capacity = 1;
    std::vector<std::string> loaded;
    /** An order is under way: version and whether it loads. */
    std::string loading;
    bool usable = true;

    bool operator==(const PlacementEndpoint &) const = default;
};

/** \class PlacementOptions
 * \ingroup Decisions_Module
 * \brief When copies are added and removed.
 */
struct PlacementOptions {
    /** Demand over capacity of a version above which a copy is added, and below which one is removed. */
    double addAboveUtilisation = 0.75;
    double removeBelowUtilisation = 0.35;
    /** A copy is removed only when what is left stays below this. */
    double maxUtilisationAfterRemoval = 0.6;
    /** The demand must have stayed beyond the bound for this long. */
    double holdMs = 30000;
    /** The weight store's limits. */
    double storeBytesPerSecond = 1e9;
    double storeBurstBytes = 40e9;
    unsigned maxConcurrentLoads = 2;
};

/** \class PlacementOrder
 * \ingroup Decisions_Module
 * \brief One order to an engine. It is sent with a fencing number granted by the replicated log.
 */
struct PlacementOrder {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::string loadVersion;
    std::string unloadVersion;
    /** \c no-copy, \c zone-without-copy, \c demand-above, \c withdrawn or \c not-in-use. */
    std::string reason;
    double value = 0;

    bool operator==(const PlacementOrder &) const = default;
};

/** \class PlacementHistory
 * \ingroup Decisions_Module
 * \brief What one decision hands to the next: since when a demand is beyond a bound, and the weight store's allowance.
 */
struct PlacementHistory {
    struct ThresholdTimes {
        std::string version;
        /** 0 while it is not. */
        double aboveSinceMs = 0;
        double belowSinceMs = 0;

        bool operator==(const ThresholdTimes &) const = default;
    };
    std::vector<ThresholdTimes> thresholdTimes;
    double loadBudgetBytes = -1;
    double budgetUpdatedMs = 0;

    bool operator==(const PlacementHistory &) const = default;
};

/** \class PlacementDecision
 * \ingroup Decisions_Module
 * \brief Orders to give now, and the history for the next decision.
 */
struct PlacementDecision {
    std::vector<PlacementOrder> orders;
    PlacementHistory history;
};

/** Chooses what to load and unload. \returns at most one order an endpoint; never one that takes the last copies of a version in use */
PlacementDecision choosePlacement(const std::vector<PlacementVersion> &versions,
                                  const std::vector<PlacementEndpoint> &endpoints,
                                  const PlacementHistory &history,
                                  const PlacementOptions &options,
                                  double nowMs);

/** \returns the message for \a order under the fencing number \a fence of a Wire::TakeFence */
Wire::Order fencedOrder(const PlacementOrder &order, std::uint64_t fence, std::uint64_t call);

} // namespace Apricothead
