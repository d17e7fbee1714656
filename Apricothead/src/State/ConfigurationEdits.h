#pragma once

#include "../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** Applies a change that has passed checkChange(). The caller sets revision and time. */
void editConfiguration(Wire::Configuration &configuration, const Wire::ConfigurationChange &change);

/** \returns the name of \a change and the id of the changed item, such as \c withdraw_version small-2 */
std::string changeSummary(const Wire::ConfigurationChange &change);

} // namespace Apricothead
