#include "VersionChoice.h"

#include "../State/ConfigurationLookup.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {

namespace {

constexpr unsigned RolloutBuckets = 1000;

bool isActive(const Wire::Configuration &configuration, const std::string &model, const std::string &version)
{
    const Wire::Version *known = findVersion(configuration, version);
    return known != nullptr && known->model() == model && known->state() == Wire::VERSION_STATE_ACTIVE;
}

const Wire::Allowance *findAllowance(const Wire::Organisation &organisation, const std::string &model)
{
    const auto found = std::find_if(organisation.allowances().begin(), organisation.allowances().end(), [&model](const Wire::Allowance &allowance) {
        return allowance.model() == model;
    });
    return found == organisation.allowances().end() ? nullptr : &*found;
}

VersionDecision sessionDecision(const Wire::Configuration &configuration, const Wire::Organisation &organisation, const VersionRequest &request)
{
    if (!isAllowed(organisation, request.model, request.sessionVersion)) {
        return {.reason = "session-version-not-allowed"};
    }
    if (!isActive(configuration, request.model, request.sessionVersion)) {
        return {.reason = "session-version-withdrawn"};
    }
    return {.version = request.sessionVersion, .reason = "session"};
}

} // namespace

unsigned rolloutBucket(const std::string &toVersion, const std::string &organisation, const std::string &subject)
{
    const std::string text = toVersion + '\n' + organisation + '\n' + subject;
    return static_cast<unsigned>(XXH3_64bits(text.data(), text.size()) % RolloutBuckets);
}

VersionDecision chooseVersion(const Wire::Configuration &configuration, const VersionRequest &request)
{
    const Wire::Organisation *organisation = findOrganisation(configuration, request.organisation);
    if (organisation == nullptr) {
        return {.reason = "unknown-organisation"};
    }
    const Wire::Allowance *allowance = findAllowance(*organisation, request.model);
    if (allowance == nullptr) {
        return {.reason = "model-not-allowed"};
    }
    if (!request.sessionVersion.empty()) {
        return sessionDecision(configuration, *organisation, request);
    }
    const auto usable = [&](const std::string &version) {
        return !version.empty() && isAllowed(*organisation, request.model, version) && isActive(configuration, request.model, version);
    };
    std::string reason = "stable";
    const Wire::Rollout *rollout = findRollout(configuration, request.model);
    if (rollout != nullptr && isOpen(*rollout) && usable(rollout->to_version())) {
        const bool isDrawn = rolloutBucket(rollout->to_version(), request.organisation, request.subject) < rollout->share_permille();
        if (isDrawn && !request.rolloutFull) {
            return {.version = rollout->to_version(), .reason = "rollout-share"};
        }
        reason = isDrawn ? "rollout-full" : reason;
        if (usable(rollout->from_version())) {
            return {.version = rollout->from_version(), .reason = reason};
        }
    }
    const Wire::Model *model = findModel(configuration, request.model);
    if (model != nullptr && usable(model->stable_version())) {
        return {.version = model->stable_version(), .reason = reason};
    }
    // The organisation may be restricted to versions other than the stable one.
    for (const std::string &version : allowance->versions()) {
        if (usable(version)) {
            return {.version = version, .reason = "fallback"};
        }
    }
    return {.reason = "no-active-version"};
}

} // namespace Apricothead
