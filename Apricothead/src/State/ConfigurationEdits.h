#pragma once

#include "../Protocol/Messages.h"

namespace Apricothead {

/** Carries out a change that checkChange() has passed. Revision and time are left to the caller. */
void editConfiguration(Wire::Configuration &configuration, const Wire::ConfigurationChange &change);

} // namespace Apricothead
