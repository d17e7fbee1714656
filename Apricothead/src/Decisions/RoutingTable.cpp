#include "RoutingTable.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {

namespace {

/** Points of each endpoint on the ring; with more of them the sessions are distributed more evenly. */
constexpr int PointsPerEndpoint = 64;
/** Limit on the points that a look-up visits, in case the first endpoints cannot take requests. */
constexpr std::size_t MaxRingSteps = 200;

std::string versionKey(const std::string &model, const std::string &version)
{
    std::string key;
    key.reserve(model.size() + version.size() + 1);
    key.append(model).append(1, '\n').append(version);
    return key;
}

} // namespace

void RoutingTable::addOrUpdate(const std::string &endpoint,
                               const std::string &availabilityZone,
                               std::uint64_t incarnation,
                               const std::vector<ServedModel> &served)
{
    const auto known = this->slotByEndpoint.find(endpoint);
    std::uint32_t slot = 0;
    if (known != this->slotByEndpoint.end()) {
        slot = known->second;
        this->removeFromGroups(slot);
    } else if (!this->freeSlots.empty()) {
        slot = this->freeSlots.back();
        this->freeSlots.pop_back();
        this->slots[slot] = {};
    } else {
        slot = static_cast<std::uint32_t>(this->slots.size());
        this->slots.emplace_back();
        this->servedBySlot.emplace_back();
    }
    this->slotByEndpoint[endpoint] = slot;
    EndpointView &view = this->slots[slot];
    view.endpoint = endpoint;
    view.availabilityZone = availabilityZone;
    view.incarnation = incarnation;
    this->servedBySlot[slot] = served;
    this->addToGroups(slot);
}

void RoutingTable::remove(const std::string &endpoint)
{
    const auto known = this->slotByEndpoint.find(endpoint);
    if (known == this->slotByEndpoint.end()) {
        return;
    }
    const std::uint32_t slot = known->second;
    this->removeFromGroups(slot);
    this->slots[slot] = {};
    this->freeSlots.push_back(slot);
    this->slotByEndpoint.erase(known);
}

void RoutingTable::addToGroups(std::uint32_t slot)
{
    const std::string &endpoint = this->slots[slot].endpoint;
    for (const ServedModel &pair : this->servedBySlot[slot]) {
        Group &group = this->groups[versionKey(pair.model, pair.version)];
        group.members.push_back(slot);
        for (int point = 0; point < PointsPerEndpoint; ++point) {
            group.ring.push_back({.hash = XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), static_cast<std::uint64_t>(point)), .slot = slot});
        }
        const auto added = group.ring.end() - PointsPerEndpoint;
        std::sort(added, group.ring.end());
        std::inplace_merge(group.ring.begin(), added, group.ring.end());
    }
}

std::uint32_t RoutingTable::homeSlot(const Group &group, std::uint64_t key) const
{
    if (key == 0 || group.ring.empty()) {
        return NoSlot;
    }
    const std::uint64_t hash = XXH3_64bits(&key, sizeof key);
    const auto first = std::lower_bound(group.ring.begin(), group.ring.end(), RingPoint{.hash = hash});
    const auto start = static_cast<std::size_t>(first - group.ring.begin());
    // The sessions of an endpoint that cannot take requests move to the next endpoints on the ring.
    const std::size_t steps = std::min(group.ring.size(), MaxRingSteps);
    for (std::size_t i = 0; i < steps; ++i) {
        const RingPoint &point = group.ring[(start + i) % group.ring.size()];
        const EndpointView &view = this->slots[point.slot];
        if (view.healthy && view.connected && !view.leaving && !view.ejected) {
            return point.slot;
        }
    }
    return NoSlot;
}

void RoutingTable::removeFromGroups(std::uint32_t slot)
{
    for (const ServedModel &pair : this->servedBySlot[slot]) {
        const auto listed = this->groups.find(versionKey(pair.model, pair.version));
        if (listed == this->groups.end()) {
            continue;
        }
        std::erase(listed->second.members, slot);
        std::erase_if(listed->second.ring, [slot](const RingPoint &point) {
            return point.slot == slot;
        });
        if (listed->second.members.empty()) {
            this->groups.erase(listed);
        }
    }
    this->servedBySlot[slot].clear();
}

EndpointView *RoutingTable::mutableView(const std::string &endpoint)
{
    const auto known = this->slotByEndpoint.find(endpoint);
    return known == this->slotByEndpoint.end() ? nullptr : &this->slots[known->second];
}

const EndpointView *RoutingTable::find(const std::string &endpoint) const
{
    const auto known = this->slotByEndpoint.find(endpoint);
    return known == this->slotByEndpoint.end() ? nullptr : &this->slots[known->second];
}

RoutingDecision RoutingTable::choose(const RoutingRequest &request, const RandomSource &random) const
{
    static const Group None;
    const auto listed = this->groups.find(versionKey(request.model, request.version));
    const Group &group = listed == this->groups.end() ? None : listed->second;
    std::vector<std::uint32_t> preferred;
    for (const PrefixCandidate &candidate : request.prefixes) {
        const auto known = this->slotByEndpoint.find(candidate.endpoint);
        if (known == this->slotByEndpoint.end()) {
            continue;
        }
        const std::vector<ServedModel> &served = this->servedBySlot[known->second];
        if (std::find(served.begin(), served.end(), ServedModel{request.model, request.version}) != served.end()) {
            preferred.push_back(known->second);
        }
    }
    return chooseEndpoint(this->slots, group.members, preferred, this->homeSlot(group, request.homeKey), request, random);
}

ModelLoad RoutingTable::loadOf(const std::string &model) const
{
    ModelLoad load;
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot) {
        const EndpointView &view = this->slots[slot];
        const std::vector<ServedModel> &served = this->servedBySlot[slot];
        const bool serves = std::any_of(served.begin(), served.end(), [&](const ServedModel &pair) {
            return pair.model == model;
        });
        if (!serves || !view.healthy || !view.connected || view.leaving || view.ejected) {
            continue;
        }
        load.capacity += view.capacity;
        load.ownRunning += view.ownRunning;
        const unsigned reported = view.reportedRunning + view.reportedQueued;
        load.othersRunning += reported - std::min(reported, view.ownAtReport);
    }
    return load;
}

std::size_t RoutingTable::usableCount(const std::string &model, const std::string &version) const
{
    const auto listed = this->groups.find(versionKey(model, version));
    if (listed == this->groups.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(listed->second.members.begin(), listed->second.members.end(), [this](std::uint32_t slot) {
        const EndpointView &view = this->slots[slot];
        return view.healthy && view.connected && !view.leaving;
    }));
}

unsigned RoutingTable::usableCapacity(const std::string &model, const std::string &version) const
{
    const auto listed = this->groups.find(versionKey(model, version));
    if (listed == this->groups.end()) {
        return 0;
    }
    unsigned capacity = 0;
    for (const std::uint32_t slot : listed->second.members) {
        const EndpointView &view = this->slots[slot];
        if (!view.healthy || !view.connected || view.leaving || view.ejected) {
            continue;
        }
        capacity += view.capacity;
    }
    return capacity;
}

const std::vector<EndpointView> &RoutingTable::views() const
{
    return this->slots;
}

} // namespace Apricothead
