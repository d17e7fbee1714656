#include "Placement.h"

#include <algorithm>
#include <set>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;

bool hasLoaded(const PlacementEndpoint &endpoint, const std::string &version)
{
    return std::find(endpoint.loaded.begin(), endpoint.loaded.end(), version) != endpoint.loaded.end();
}

/** \brief Makes one decision. Works on copies of the endpoints, to which it applies its own orders. */
class Planner
{
public:
    Planner(const std::vector<PlacementVersion> &wanted,
            const std::vector<PlacementEndpoint> &pool,
            const PlacementHistory &previous,
            const PlacementOptions &bounds,
            double now)
        : versions(wanted), endpoints(pool), history(previous), options(bounds), nowMs(now)
    {
        if (this->history.loadBudgetBytes < 0) {
            this->history.loadBudgetBytes = bounds.storeBurstBytes;
        } else {
            const double inflow = std::max(0.0, now - previous.budgetUpdatedMs) / MsPerSecond * bounds.storeBytesPerSecond;
            this->history.loadBudgetBytes = std::min(bounds.storeBurstBytes, previous.loadBudgetBytes + inflow);
        }
        this->history.budgetUpdatedMs = now;
        this->activeLoads = static_cast<unsigned>(std::count_if(pool.begin(), pool.end(), [](const PlacementEndpoint &endpoint) {
            return !endpoint.loading.empty();
        }));
    }

    PlacementDecision decide()
    {
        for (const PlacementVersion &version : this->versions) {
            this->removeUnwanted(version);
        }
        // Versions without a copy come first, then those with the highest utilisation.
        std::vector<const PlacementVersion *> order;
        order.reserve(this->versions.size());
        for (const PlacementVersion &version : this->versions) {
            order.push_back(&version);
        }
        std::stable_sort(order.begin(), order.end(), [this](const PlacementVersion *a, const PlacementVersion *b) {
            return this->utilisation(*a) > this->utilisation(*b);
        });
        for (const PlacementVersion *version : order) {
            this->addCopies(*version);
        }
        for (const PlacementVersion &version : this->versions) {
            this->recordLowUtilisation(version);
        }
        this->decision.history = this->history;
        return this->decision;
    }

private:
    unsigned copies(const std::string &version) const
    {
        return static_cast<unsigned>(std::count_if(this->endpoints.begin(), this->endpoints.end(), [&version](const PlacementEndpoint &endpoint) {
            return endpoint.usable && hasLoaded(endpoint, version);
        }));
    }

    unsigned copiesLoading(const std::string &version) const
    {
        return static_cast<unsigned>(std::count_if(this->endpoints.begin(), this->endpoints.end(), [&version](const PlacementEndpoint &endpoint) {
            return endpoint.usable && endpoint.loading == version;
        }));
    }

    /** \returns the capacity for \a version. The capacity of an endpoint is divided equally among its loaded versions. */
    double capacity(const std::string &version) const
    {
        double sum = 0;
        for (const PlacementEndpoint &endpoint : this->endpoints) {
            if (endpoint.usable && hasLoaded(endpoint, version)) {
                sum += static_cast<double>(endpoint.capacity) / static_cast<double>(endpoint.loaded.size());
            }
        }
        return sum;
    }

    /** \returns demand divided by capacity. A version without capacity that has demand or is in use ranks above all others. */
    double utilisation(const PlacementVersion &version) const
    {
        const double available = this->capacity(version.version);
        if (available > 0) {
            return version.demand / available;
        }
        return version.inUse || version.demand > 0 ? 1e9 : 0;
    }

    PlacementHistory::ThresholdTimes &thresholdTimesOf(const std::string &version)
    {
        for (PlacementHistory::ThresholdTimes &times : this->history.thresholdTimes) {
            if (times.version == version) {
                return times;
            }
        }
        this->history.thresholdTimes.push_back({.version = version});
        return this->history.thresholdTimes.back();
    }

    /** Updates \a sinceMs. \returns true once the condition has held without interruption for the hold time */
    bool hasHeld(double &sinceMs, bool holdsNow) const
    {
        if (!holdsNow) {
            sinceMs = 0;
            return false;
        }
        if (sinceMs <= 0) {
            sinceMs = this->nowMs;
        }
        return this->nowMs - sinceMs >= this->options.holdMs;
    }

    bool isFree(const PlacementEndpoint &endpoint) const
    {
        return endpoint.usable && endpoint.loading.empty() && !this->orderedEndpoints.contains(endpoint.endpoint);
    }

    void unload(PlacementEndpoint &endpoint, const std::string &version, const std::string &reason, double value)
    {
        std::erase(endpoint.loaded, version);
        this->orderedEndpoints.insert(endpoint.endpoint);
        this->decision.orders.push_back(
            {.endpoint = endpoint.endpoint, .incarnation = endpoint.incarnation, .unloadVersion = version, .reason = reason, .value = value});
    }

    void removeUnwanted(const PlacementVersion &version)
    {
        const bool unused = !version.inUse && version.demand <= 0;
        if (!version.withdrawn && !unused) {
            return;
        }
        for (PlacementEndpoint &endpoint : this->endpoints) {
            if (this->isFree(endpoint) && hasLoaded(endpoint, version.version)) {
                this->unload(endpoint, version.version, version.withdrawn ? "withdrawn" : "not-in-use", 0);
            }
        }
    }

    void addCopies(const PlacementVersion &version)
    {
        if (version.withdrawn || (!version.inUse && version.demand <= 0)) {
            return;
        }
        const unsigned loadedCopies = this->copies(version.version);
        const unsigned loadingCopies = this->copiesLoading(version.version);
        if (loadedCopies + loadingCopies < std::max(1U, version.minCopies)) {
            this->load(version, loadedCopies == 0 ? "no-copy" : "zone-without-copy", loadedCopies);
            return;
        }
        const double utilisation = this->utilisation(version);
        const bool above = this->hasHeld(this->thresholdTimesOf(version.version).aboveSinceMs, utilisation > this->options.addAboveUtilisation);
        // While a copy is being loaded, no further one is added, as its effect on the utilisation is not visible yet.
        if (above && loadingCopies == 0) {
            this->load(version, "demand-above", utilisation);
        }
    }

    void load(const PlacementVersion &version, const std::string &reason, double value)
    {
        if (this->activeLoads >= this->options.maxConcurrentLoads || this->history.loadBudgetBytes < version.weightBytes) {
            return;
        }
        PlacementEndpoint *best = nullptr;
        double bestScore = 0;
        std::string unloadVersion;
        for (PlacementEndpoint &endpoint : this->endpoints) {
            if (!this->isFree(endpoint) || hasLoaded(endpoint, version.version)) {
                continue;
            }
            std::string replaced;
            if (endpoint.loaded.size() >= endpoint.maxVersions && !this->findSpare(endpoint, replaced)) {
                continue;
            }
            // Free space is preferred to a replacement, and a zone without a copy to one that has some.
            const double score = (replaced.empty() ? 2 : 0) + (this->zoneHasCopy(endpoint.availabilityZone, version.version) ? 0 : 1)
                + 1.0 / (1.0 + static_cast<double>(endpoint.loaded.size()));
            if (best == nullptr || score > bestScore) {
                best = &endpoint;
                bestScore = score;
                unloadVersion = replaced;
            }
        }
        if (best == nullptr) {
            return;
        }
        std::erase(best->loaded, unloadVersion);
        best->loading = version.version;
        this->orderedEndpoints.insert(best->endpoint);
        this->history.loadBudgetBytes -= version.weightBytes;
        ++this->activeLoads;
        this->thresholdTimesOf(version.version).aboveSinceMs = 0;
        this->decision.orders.push_back({.endpoint = best->endpoint,
                                         .incarnation = best->incarnation,
                                         .loadVersion = version.version,
                                         .unloadVersion = unloadVersion,
                                         .reason = reason,
                                         .value = value});
    }

    bool zoneHasCopy(const std::string &zone, const std::string &version) const
    {
        return std::any_of(this->endpoints.begin(), this->endpoints.end(), [&](const PlacementEndpoint &endpoint) {
            return endpoint.usable && endpoint.availabilityZone == zone && (hasLoaded(endpoint, version) || endpoint.loading == version);
        });
    }

    /** \returns whether \a version can lose its copy at \a endpoint and keep its minimum copies and a low utilisation */
    bool canSpare(const PlacementVersion &version, const PlacementEndpoint &endpoint) const
    {
        const unsigned loadedCopies = this->copies(version.version);
        const unsigned minCopies = version.inUse || version.demand > 0 ? std::max(1U, version.minCopies) : 0;
        if (loadedCopies <= minCopies) {
            return false;
        }
        const double left = this->capacity(version.version) - static_cast<double>(endpoint.capacity) / static_cast<double>(endpoint.loaded.size());
        return left > 0 && version.demand / left < this->options.maxUtilisationAfterRemoval;
    }

    /** Sets \a version to the version with the lowest utilisation at \a endpoint among those that can lose a copy and have stayed below the removal
     * threshold for the hold time. \returns false when there is none */
    bool findSpare(const PlacementEndpoint &endpoint, std::string &version)
    {
        double lowest = 0;
        for (const PlacementVersion &candidate : this->versions) {
            if (!hasLoaded(endpoint, candidate.version) || !this->canSpare(candidate, endpoint)) {
                continue;
            }
            const double utilisation = this->utilisation(candidate);
            const double below = this->thresholdTimesOf(candidate.version).belowSinceMs;
            if (utilisation >= this->options.removeBelowUtilisation || below <= 0 || this->nowMs - below < this->options.holdMs) {
                continue;
            }
            if (version.empty() || utilisation < lowest) {
                version = candidate.version;
                lowest = utilisation;
            }
        }
        return !version.empty();
    }

    /** Records since when the utilisation is below the removal threshold. Unused memory costs nothing, so a spare copy is removed only to make room for
     * another version. */
    void recordLowUtilisation(const PlacementVersion &version)
    {
        this->hasHeld(this->thresholdTimesOf(version.version).belowSinceMs, this->utilisation(version) < this->options.removeBelowUtilisation);
    }

    const std::vector<PlacementVersion> &versions;
    std::vector<PlacementEndpoint> endpoints;
    PlacementHistory history;
    const PlacementOptions &options;
    double nowMs;
    unsigned activeLoads = 0;
    std::set<std::string> orderedEndpoints;
    PlacementDecision decision;
};

} // namespace

PlacementDecision choosePlacement(const std::vector<PlacementVersion> &versions,
                                  const std::vector<PlacementEndpoint> &endpoints,
                                  const PlacementHistory &history,
                                  const PlacementOptions &options,
                                  double nowMs)
{
    return Planner(versions, endpoints, history, options, nowMs).decide();
}

Wire::Order fencedOrder(const PlacementOrder &order, std::uint64_t fence, std::uint64_t call)
{
    Wire::Order message;
    message.set_call(call);
    message.set_fence(fence);
    message.set_load_version(order.loadVersion);
    message.set_unload_version(order.unloadVersion);
    return message;
}

} // namespace Apricothead
