#include "PlanIndex.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Apricothead {
namespace {

std::uint64_t totalWeight(const Wire::PlanRoute &route)
{
    std::uint64_t total = 0;
    for (const Wire::ServiceShare &share : route.services()) {
        total += share.weight();
    }
    return total;
}

std::string routeError(const Wire::PlanRoute &route, const std::set<std::string> &services)
{
    if (route.host().empty() || route.path_prefix().empty() || route.path_prefix().front() != '/' || route.path_prefix().back() != '/') {
        return "route " + route.name() + " needs a host and a path prefix that begins and ends with a slash";
    }
    if (route.repeat() == Wire::REPEAT_RULE_UNSPECIFIED) {
        return "route " + route.name() + " does not specify whether its requests may be repeated";
    }
    if (route.timeout_ms() == 0) {
        return "route " + route.name() + " has no time-out";
    }
    if (totalWeight(route) == 0) {
        return "the weights of route " + route.name() + " add up to 0";
    }
    for (const Wire::ServiceShare &share : route.services()) {
        if (!services.contains(share.service())) {
            return "route " + route.name() + " names the unknown service " + share.service();
        }
    }
    return {};
}

} // namespace

PlanIndex::PlanIndex(Wire::ServicePlan plan) : indexedPlan(std::move(plan))
{
    for (const Wire::PlanRoute &route : this->indexedPlan.routes()) {
        this->routesByHost[route.host()].push_back(&route);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Wire::PlanRoute *left, const Wire::PlanRoute *right) {
            return left->path_prefix().size() > right->path_prefix().size();
        });
    }
    for (const Wire::PlanOrganisation &organisation : this->indexedPlan.organisations()) {
        for (const std::string &key : organisation.keys()) {
            this->organisationsByKey.emplace(key, &organisation);
        }
    }
    for (const Wire::PlanService &service : this->indexedPlan.services()) {
        this->servicesByName.emplace(service.name(), &service);
    }
}

std::uint64_t PlanIndex::revision() const
{
    return this->indexedPlan.revision();
}

const Wire::ServicePlan &PlanIndex::plan() const
{
    return this->indexedPlan;
}

const Wire::PlanRoute *PlanIndex::route(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(std::string(host));
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    for (const Wire::PlanRoute *route : found->second) {
        if (path.starts_with(route->path_prefix())) {
            return route;
        }
    }
    return nullptr;
}

const Wire::PlanOrganisation *PlanIndex::organisation(std::string_view key) const
{
    const auto found = this->organisationsByKey.find(std::string(key));
    return found == this->organisationsByKey.end() ? nullptr : found->second;
}

const Wire::PlanService *PlanIndex::service(std::string_view name) const
{
    const auto found = this->servicesByName.find(std::string(name));
    return found == this->servicesByName.end() ? nullptr : found->second;
}

const std::string &PlanIndex::serviceFor(const Wire::PlanRoute &route, std::uint64_t draw)
{
    std::uint64_t left = draw % totalWeight(route);
    for (const Wire::ServiceShare &share : route.services()) {
        if (left < share.weight()) {
            return share.service();
        }
        left -= share.weight();
    }
    return route.services(0).service();
}

std::string planError(const Wire::ServicePlan &plan)
{
    std::set<std::string> services;
    for (const Wire::PlanService &service : plan.services()) {
        if (service.name().empty() || !services.insert(service.name()).second) {
            return "a service has an empty or duplicate name";
        }
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Wire::PlanRoute &route : plan.routes()) {
        std::string error = routeError(route, services);
        if (!error.empty()) {
            return error;
        }
        if (!hostsAndPrefixes.emplace(route.host(), route.path_prefix()).second) {
            return "route " + route.name() + " has the host and path prefix of another one";
        }
    }
    std::set<std::string> keys;
    for (const Wire::PlanOrganisation &organisation : plan.organisations()) {
        for (const std::string &key : organisation.keys()) {
            if (!keys.insert(key).second) {
                return "organisation " + organisation.name() + " shares a key with another one";
            }
        }
    }
    return {};
}

} // namespace Apricothead
