#pragma once

#include "../../Protocol/Settings.h"
#include "../../State/LogStore.h"

#include <string>

namespace Apricothead {

/** Creates the group in the data folder of \a settings, with this replica as its only member. The leader later invites the other seeds, whose
 * data folders must be empty. \returns the replica's identity, or an error of code WrongGroup when the folder already holds a group
 * \ingroup Coordination_Module
 */
StoreResult<std::string> initGroup(const Settings &settings);

/** Last resort after the loss of a majority: makes this replica the only member of its group. Acknowledged changes that had not reached this
 * replica are lost. \a confirmation must be the replica's identity; otherwise the error is of code NotConfirmed and its message contains it.
 * \returns the log index up to which the state is kept
 * \ingroup Coordination_Module
 */
StoreResult<std::uint64_t> recoverGroup(const Settings &settings, const std::string &confirmation);

} // namespace Apricothead
