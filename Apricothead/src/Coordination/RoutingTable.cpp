#include "RoutingTable.h"

#include <algorithm>

namespace Apricothead {

namespace {

std::string versionKey(const std::string &model, const std::string &version)
{
    std::string key;
    key.reserve(model.size() + version.size() + 1);
    key.append(model).append(1, '\n').append(version);
    return key;
}

} // namespace

void RoutingTable::announce(const std::string &endpoint, const std::string &availabilityZone, std::uint64_t incarnation, const std::vector<ServedModel> &served)
{
    const auto known = this->slotByEndpoint.find(endpoint);
    std::uint32_t slot = 0;
    if (known != this->slotByEndpoint.end()) {
        slot = known->second;
        this->unlist(slot);
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
    for (const ServedModel &pair : served) {
        this->slotsByVersion[versionKey(pair.model, pair.version)].push_back(slot);
    }
}

void RoutingTable::remove(const std::string &endpoint)
{
    const auto known = this->slotByEndpoint.find(endpoint);
    if (known == this->slotByEndpoint.end()) {
        return;
    }
    const std::uint32_t slot = known->second;
    this->unlist(slot);
    this->slots[slot] = {};
    this->freeSlots.push_back(slot);
    this->slotByEndpoint.erase(known);
}

void RoutingTable::unlist(std::uint32_t slot)
{
    for (const ServedModel &pair : this->servedBySlot[slot]) {
        const auto listed = this->slotsByVersion.find(versionKey(pair.model, pair.version));
        if (listed == this->slotsByVersion.end()) {
            continue;
        }
        std::erase(listed->second, slot);
        if (listed->second.empty()) {
            this->slotsByVersion.erase(listed);
        }
    }
    this->servedBySlot[slot].clear();
}

EndpointView *RoutingTable::change(const std::string &endpoint)
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
    static const std::vector<std::uint32_t> None;
    const auto listed = this->slotsByVersion.find(versionKey(request.model, request.version));
    const std::vector<std::uint32_t> &members = listed == this->slotsByVersion.end() ? None : listed->second;
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
    return chooseEndpoint(this->slots, members, preferred, request, random);
}

std::size_t RoutingTable::usableCount(const std::string &model, const std::string &version) const
{
    const auto listed = this->slotsByVersion.find(versionKey(model, version));
    if (listed == this->slotsByVersion.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(listed->second.begin(), listed->second.end(), [this](std::uint32_t slot) {
        const EndpointView &view = this->slots[slot];
        return view.healthy && view.connected && !view.leaving;
    }));
}

unsigned RoutingTable::usableCapacity(const std::string &model, const std::string &version) const
{
    const auto listed = this->slotsByVersion.find(versionKey(model, version));
    if (listed == this->slotsByVersion.end()) {
        return 0;
    }
    unsigned capacity = 0;
    for (const std::uint32_t slot : listed->second) {
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
