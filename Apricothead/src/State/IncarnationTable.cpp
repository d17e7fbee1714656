#include "IncarnationTable.h"

namespace Apricothead {

bool IncarnationTable::record(const Wire::EndpointIncarnation &incarnation)
{
    if (!this->isCurrent(incarnation.endpoint(), incarnation.incarnation())) {
        return false;
    }
    this->newest[incarnation.endpoint()] = incarnation;
    return true;
}

bool IncarnationTable::isCurrent(const std::string &endpoint, std::uint64_t incarnation) const
{
    const auto found = this->newest.find(endpoint);
    return found == this->newest.end() || incarnation >= found->second.incarnation();
}

bool IncarnationTable::isGone(const std::string &endpoint, std::uint64_t incarnation) const
{
    const auto found = this->newest.find(endpoint);
    if (found == this->newest.end()) {
        return false;
    }
    const Wire::EndpointIncarnation &known = found->second;
    return incarnation < known.incarnation() || (incarnation == known.incarnation() && known.lost());
}

std::vector<Wire::EndpointIncarnation> IncarnationTable::all() const
{
    std::vector<Wire::EndpointIncarnation> known;
    known.reserve(this->newest.size());
    for (const auto &[endpoint, incarnation] : this->newest) {
        known.push_back(incarnation);
    }
    return known;
}

void IncarnationTable::save(Wire::StateSnapshot &snapshot) const
{
    for (const auto &[endpoint, incarnation] : this->newest) {
        *snapshot.add_incarnations() = incarnation;
    }
}

void IncarnationTable::restore(const Wire::StateSnapshot &snapshot)
{
    this->newest.clear();
    for (const Wire::EndpointIncarnation &incarnation : snapshot.incarnations()) {
        this->newest[incarnation.endpoint()] = incarnation;
    }
}

} // namespace Apricothead
