#pragma once

#include <string>
#include <tuple>

namespace Apricothead {

/** \class VersionRoute
 * \ingroup Decisions_Module
 * \brief A version of a service, as used by the requests of one route.
 */
struct VersionRoute {
    std::string service;
    std::string version;
    std::string route;

    bool operator==(const VersionRoute &) const = default;

    bool operator<(const VersionRoute &other) const
    {
        return std::tie(this->service, this->version, this->route) < std::tie(other.service, other.version, other.route);
    }
};

} // namespace Apricothead
