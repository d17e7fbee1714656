#include "VersionChoice.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {

namespace {

constexpr unsigned Thousandths = 1000;

const Wire::Organisation *findOrganisation(const Wire::Configuration &configuration, const std::string &id)
{
    for (const Wire::Organisation &organisation : configuration.organisations()) {
        if (organisation.id() == id) {
            return &organisation;
        }
    }
    return nullptr;
}

const Wire::Allowance *findAllowance(const Wire::Organisation &organisation, const std::string &model)
{
    for (const Wire::Allowance &allowance : organisation.allowances()) {
        if (allowance.model() == model) {
            return &allowance;
        }
    }
    return nullptr;
}

bool isAllowed(const Wire::Allowance &allowance, const std::string &version)
{
    return allowance.versions().empty() || std::find(allowance.versions().begin(), allowance.versions().end(), version) != allowance.versions().end();
}

bool isActive(const Wire::Configuration &configuration, const std::string &model, const std::string &version)
{
    return std::any_of(configuration.versions().begin(), configuration.versions().end(), [&](const Wire::Version &known) {
        return known.id() == version && known.model() == model && known.state() == Wire::VERSION_STATE_ACTIVE;
    });
}

std::string stableVersion(const Wire::Configuration &configuration, const std::string &model)
{
    for (const Wire::Model &known : configuration.models()) {
        if (known.id() == model) {
            return known.stable_version();
        }
    }
    return {};
}

/** \returns the roll-out of the model that gives new sessions a share, null when there is none */
const Wire::Rollout *openRollout(const Wire::Configuration &configuration, const std::string &model)
{
    for (const Wire::Rollout &rollout : configuration.rollouts()) {
        const bool open = rollout.state() == Wire::ROLLOUT_STATE_RUNNING || rollout.state() == Wire::ROLLOUT_STATE_PAUSED;
        if (rollout.model() == model && open) {
            return &rollout;
        }
    }
    return nullptr;
}

VersionDecision sessionDecision(const Wire::Configuration &configuration, const Wire::Allowance &allowance, const VersionRequest &request)
{
    if (!isAllowed(allowance, request.sessionVersion)) {
        return {.reason = "session-version-not-allowed"};
    }
    if (!isActive(configuration, request.model, request.sessionVersion)) {
        return {.reason = "session-version-withdrawn"};
    }
    return {.version = request.sessionVersion, .reason = "session"};
}

} // namespace

unsigned rolloutSlot(const std::string &toVersion, const std::string &organisation, const std::string &subject)
{
    const std::string text = toVersion + '\n' + organisation + '\n' + subject;
    return static_cast<unsigned>(XXH3_64bits(text.data(), text.size()) % Thousandths);
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
        return sessionDecision(configuration, *allowance, request);
    }
    const auto usable = [&](const std::string &version) {
        return !version.empty() && isAllowed(*allowance, version) && isActive(configuration, request.model, version);
    };
    std::string reason = "stable";
    const Wire::Rollout *rollout = openRollout(configuration, request.model);
    if (rollout != nullptr && usable(rollout->to_version())) {
        const bool drawn = rolloutSlot(rollout->to_version(), request.organisation, request.subject) < rollout->share_permille();
        if (drawn && !request.rolloutFull) {
            return {.version = rollout->to_version(), .reason = "rollout-share"};
        }
        reason = drawn ? "rollout-full" : reason;
        if (usable(rollout->from_version())) {
            return {.version = rollout->from_version(), .reason = reason};
        }
    }
    const std::string stable = stableVersion(configuration, request.model);
    if (usable(stable)) {
        return {.version = stable, .reason = reason};
    }
    // The organisation may be held to versions other than the stable one.
    for (const std::string &version : allowance->versions()) {
        if (usable(version)) {
            return {.version = version, .reason = "fallback"};
        }
    }
    return {.reason = "no-active-version"};
}

} // namespace Apricothead
