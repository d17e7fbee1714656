#pragma once

#include "Routing.h"

#include <string_view>
#include <unordered_map>

namespace Apricothead {

/** \class ServedModel
 * \ingroup Decisions_Module
 * \brief A model and version that an endpoint has loaded.
 */
struct ServedModel {
    std::string model;
    std::string version;

    bool operator==(const ServedModel &) const = default;
};

/** \class ModelLoad
 * \ingroup Decisions_Module
 * \brief What the endpoints of one model can take and have under way.
 */
struct ModelLoad {
    unsigned capacity = 0;
    /** Runs of this entry. */
    unsigned ownRunning = 0;
    /** Runs of the other entries, as reported. */
    unsigned othersRunning = 0;

    bool operator==(const ModelLoad &) const = default;
};

/** \class RoutingTable
 * \ingroup Decisions_Module
 * \brief The endpoints an entry knows, indexed by version, so that a decision copies none of them.
 *
 * The owner keeps the views up to date with mutableView(); one decision costs the same with 20 or 2,000 endpoints.
 * \sa EndpointTracker
 */
class RoutingTable
{
public:
    /** Adds the endpoint, or replaces what it serves. Its view keeps its measurements when it was known. */
    void addOrUpdate(const std::string &endpoint, const std::string &availabilityZone, std::uint64_t incarnation, const std::vector<ServedModel> &served);

    void remove(const std::string &endpoint);

    /** \returns the view to change in place, null when the endpoint is unknown; valid until the next addOrUpdate() or remove() */
    EndpointView *mutableView(const std::string &endpoint);
    const EndpointView *find(const std::string &endpoint) const;

    /** \returns the decision for \a request among the endpoints that serve its version */
    RoutingDecision choose(const RoutingRequest &request, const RandomSource &random) const;

    /** \returns how many endpoints serve the version and may take work now */
    std::size_t usableCount(const std::string &model, const std::string &version) const;

    /** \returns the sum of the capacities of those that are not ejected either */
    unsigned usableCapacity(const std::string &model, const std::string &version) const;

    /** \returns the load of all usable endpoints that serve some version of \a model */
    ModelLoad loadOf(const std::string &model) const;

    /** \returns all views, for walks over the table; removed ones have an empty id */
    const std::vector<EndpointView> &views() const;

private:
    /** One of several places of an endpoint on the ring of its version (consistent hashing). */
    struct RingPoint {
        std::uint64_t hash = 0;
        std::uint32_t slot = 0;

        bool operator<(const RingPoint &other) const
        {
            return this->hash != other.hash ? this->hash < other.hash : this->slot < other.slot;
        }
    };
    struct Group {
        std::vector<std::uint32_t> members;
        std::vector<RingPoint> ring;
    };

    void addToGroups(std::uint32_t slot);
    void removeFromGroups(std::uint32_t slot);
    std::uint32_t homeSlot(const Group &group, std::uint64_t key) const;

    std::vector<EndpointView> slots;
    std::vector<std::vector<ServedModel>> servedBySlot;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<std::string, std::uint32_t> slotByEndpoint;
    std::unordered_map<std::string, Group> groups;
};

} // namespace Apricothead
