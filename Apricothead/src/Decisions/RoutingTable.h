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
 * \brief Capacity and active runs of the endpoints of one model.
 */
struct ModelLoad {
    unsigned capacity = 0;
    /** Active runs of this entry. */
    unsigned ownRunning = 0;
    /** Active and queued runs of the other entries, as reported. */
    unsigned othersRunning = 0;

    bool operator==(const ModelLoad &) const = default;
};

/** \class RoutingTable
 * \ingroup Decisions_Module
 * \brief The endpoints that an entry knows, indexed by version, so that a decision does not copy them.
 *
 * The owner keeps the views up to date by way of mutableView(). The cost of a decision is the same with 20 or 2,000 endpoints.
 * \sa EndpointTracker
 */
class RoutingTable
{
public:
    /** Adds the endpoint, or replaces the list of models that it serves. The view of a known endpoint keeps its measurements. */
    void addOrUpdate(const std::string &endpoint, const std::string &availabilityZone, std::uint64_t incarnation, const std::vector<ServedModel> &served);

    void remove(const std::string &endpoint);

    /** \returns the view for updates in place, null when the endpoint is unknown; valid until the next addOrUpdate() or remove() */
    EndpointView *mutableView(const std::string &endpoint);
    /** \returns the view, null when the endpoint is unknown */
    const EndpointView *find(const std::string &endpoint) const;

    /** \returns the decision for \a request among the endpoints that serve its version */
    RoutingDecision choose(const RoutingRequest &request, const RandomSource &random) const;

    /** \returns the number of endpoints that serve the version and are healthy, connected and not leaving */
    std::size_t usableCount(const std::string &model, const std::string &version) const;

    /** \returns the total capacity of those endpoints, without ejected ones */
    unsigned usableCapacity(const std::string &model, const std::string &version) const;

    /** \returns the load of all usable endpoints that serve any version of \a model, without ejected ones */
    ModelLoad loadOf(const std::string &model) const;

    /** \returns all views, for iteration; the views of removed endpoints have an empty endpoint */
    const std::vector<EndpointView> &views() const;

private:
    /** One of several points of an endpoint on the ring of its version (consistent hashing). */
    struct RingPoint {
        std::uint64_t hash = 0;
        std::uint32_t slot = 0;

        bool operator<(const RingPoint &other) const
        {
            return this->hash != other.hash ? this->hash < other.hash : this->slot < other.slot;
        }
    };
    /** The endpoints of one version. */
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
