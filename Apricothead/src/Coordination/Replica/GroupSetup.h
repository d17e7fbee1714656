#pragma once

#include "../../Protocol/Settings.h"
#include "../../State/LogStore.h"

#include <string>

namespace Apricothead {

/** Creates the group in the data folder of \a settings, with this replica as its only member. Refuses a folder that holds a group. The
 * leader invites the other seeds when they answer with empty folders. \returns the replica's identity
 * \ingroup Coordination_Module
 */
StoreResult<std::string> initGroup(const Settings &settings);

/** Last resort after the loss of a majority: makes this replica the only member of its group. Changes that were acknowledged but had not
 * reached this replica are lost. \a confirmation must be the replica's identity; the error of a wrong one names it.
 * \returns the log index up to which the state is kept
 * \ingroup Coordination_Module
 */
StoreResult<std::uint64_t> recoverGroup(const Settings &settings, const std::string &confirmation);

} // namespace Apricothead
