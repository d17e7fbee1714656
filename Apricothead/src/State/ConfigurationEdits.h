#pragma once

#include "../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** Carries out a change that checkChange() has passed. Revision and time are left to the caller. */
void editConfiguration(Wire::Configuration &configuration, const Wire::ConfigurationChange &change);

/** \returns one line that says what \a change does and to which item, as \c withdraw_version small-2 */
std::string changeSummary(const Wire::ConfigurationChange &change);

} // namespace Apricothead
