#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class IncarnationTable
 * \ingroup State_Module
 * \brief The newest known incarnation of each endpoint process, and whether it is lost.
 */
class IncarnationTable
{
public:
    /** Stores \a incarnation as the newest one of its endpoint. \returns false, with no change, when a newer one is known */
    bool record(const Wire::EndpointIncarnation &incarnation);

    /** \returns true when no newer incarnation than \a incarnation is known */
    bool isCurrent(const std::string &endpoint, std::uint64_t incarnation) const;

    /** \returns true when \a incarnation is older than the newest known one or marked lost */
    bool isGone(const std::string &endpoint, std::uint64_t incarnation) const;

    std::vector<Wire::EndpointIncarnation> all() const;
    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    std::map<std::string, Wire::EndpointIncarnation> newest;
};

} // namespace Apricothead
