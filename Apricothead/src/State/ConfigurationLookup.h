#pragma once

#include "../Protocol/Messages.h"

#include <string_view>

namespace Apricothead {

/** \returns the item with the given id, or nullptr */
const Wire::Organisation *findOrganisation(const Wire::Configuration &configuration, std::string_view id);
const Wire::Model *findModel(const Wire::Configuration &configuration, std::string_view id);
const Wire::Version *findVersion(const Wire::Configuration &configuration, std::string_view id);
const Wire::Cascade *findCascade(const Wire::Configuration &configuration, std::string_view id);
/** \returns the newest roll-out of \a model, or nullptr */
const Wire::Rollout *findRollout(const Wire::Configuration &configuration, std::string_view model);

/** \returns true when \a organisation may use \a version of \a model */
bool isAllowed(const Wire::Organisation &organisation, std::string_view model, std::string_view version);

/** \returns true when an operator has drained \a endpoint */
bool isDrained(const Wire::Configuration &configuration, std::string_view endpoint);

/** \returns true while the roll-out is running or paused, so that it may still change the version of new sessions */
bool isOpen(const Wire::Rollout &rollout);

} // namespace Apricothead
