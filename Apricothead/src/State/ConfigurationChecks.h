#pragma once

#include "StateErrors.h"

namespace Apricothead {

/** Checks that \a change can be applied to \a configuration. The field path of an error starts with the name of the change. */
Check checkChange(const Wire::Configuration &configuration, const Wire::ConfigurationChange &change);

} // namespace Apricothead
