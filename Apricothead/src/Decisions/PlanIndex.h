#pragma once

#include "../Protocol/Messages.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothead {

/** \class PlanIndex
 * \ingroup Decisions_Module
 * \brief Immutable index of a ServicePlan: routes by host and path, organisations by key and services by name.
 */
class PlanIndex
{
public:
    explicit PlanIndex(Wire::ServicePlan plan);

    std::uint64_t revision() const;
    const Wire::ServicePlan &plan() const;

    /** \returns the route of \a host with the longest path prefix that matches \a path, null when there is none */
    const Wire::PlanRoute *route(std::string_view host, std::string_view path) const;

    /** \returns the organisation that holds \a key, null when none does */
    const Wire::PlanOrganisation *organisation(std::string_view key) const;

    /** \returns the service named \a name, null when there is none */
    const Wire::PlanService *service(std::string_view name) const;

    /** \returns the service that a request of \a route is sent to, chosen by the services' weights. \a draw is a uniformly distributed value; the same
     * value gives the same service */
    static const std::string &serviceFor(const Wire::PlanRoute &route, std::uint64_t draw);

private:
    Wire::ServicePlan indexedPlan;
    std::unordered_map<std::string, std::vector<const Wire::PlanRoute *>> routesByHost;
    std::unordered_map<std::string, const Wire::PlanOrganisation *> organisationsByKey;
    std::unordered_map<std::string, const Wire::PlanService *> servicesByName;
};

/** \returns a message that describes the first error in \a plan, empty when it is valid */
std::string planError(const Wire::ServicePlan &plan);

} // namespace Apricothead
