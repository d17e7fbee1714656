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
 * \brief A ServicePlan prepared for look-ups by host and path, by key and by name. Immutable.
 */
class PlanIndex
{
public:
    explicit PlanIndex(Wire::ServicePlan plan);

    std::uint64_t revision() const;
    const Wire::ServicePlan &plan() const;

    /** \returns the route of \a host with the longest prefix that begins \a path, null when there is none */
    const Wire::PlanRoute *route(std::string_view host, std::string_view path) const;

    /** \returns the organisation that holds \a key, null when none does */
    const Wire::PlanOrganisation *organisation(std::string_view key) const;

    const Wire::PlanService *service(std::string_view name) const;

    /** \returns the service that a request of \a route goes to; \a draw is uniform over all values, and the same draw gives the same service */
    static const std::string &serviceFor(const Wire::PlanRoute &route, std::uint64_t draw);

private:
    Wire::ServicePlan indexedPlan;
    std::unordered_map<std::string, std::vector<const Wire::PlanRoute *>> routesByHost;
    std::unordered_map<std::string, const Wire::PlanOrganisation *> organisationsByKey;
    std::unordered_map<std::string, const Wire::PlanService *> servicesByName;
};

/** \returns what is wrong with \a plan, empty when it is valid */
std::string planError(const Wire::ServicePlan &plan);

} // namespace Apricothead
