#include "ConfigurationLookup.h"

#include <algorithm>

namespace Apricothead {
namespace {

template <typename Items>
auto findById(const Items &items, std::string_view id)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto &item) {
        return item.id() == id;
    });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const Wire::Organisation *findOrganisation(const Wire::Configuration &configuration, std::string_view id)
{
    return findById(configuration.organisations(), id);
}

const Wire::Model *findModel(const Wire::Configuration &configuration, std::string_view id)
{
    return findById(configuration.models(), id);
}

const Wire::Version *findVersion(const Wire::Configuration &configuration, std::string_view id)
{
    return findById(configuration.versions(), id);
}

const Wire::Cascade *findCascade(const Wire::Configuration &configuration, std::string_view id)
{
    return findById(configuration.cascades(), id);
}

const Wire::Rollout *findRollout(const Wire::Configuration &configuration, std::string_view model)
{
    for (const Wire::Rollout &rollout : configuration.rollouts()) {
        if (rollout.model() == model) {
            return &rollout;
        }
    }
    return nullptr;
}

bool isAllowed(const Wire::Organisation &organisation, std::string_view model, std::string_view version)
{
    for (const Wire::Allowance &allowance : organisation.allowances()) {
        if (allowance.model() != model) {
            continue;
        }
        const auto &versions = allowance.versions();
        return versions.empty() || std::find(versions.begin(), versions.end(), version) != versions.end();
    }
    return false;
}

bool isDrained(const Wire::Configuration &configuration, std::string_view endpoint)
{
    const auto &drained = configuration.drained_endpoints();
    return std::find(drained.begin(), drained.end(), endpoint) != drained.end();
}

bool isOpen(const Wire::Rollout &rollout)
{
    return rollout.state() == Wire::ROLLOUT_STATE_RUNNING || rollout.state() == Wire::ROLLOUT_STATE_PAUSED;
}

} // namespace Apricothead
