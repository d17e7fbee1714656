#pragma once

#include "StateErrors.h"

namespace Apricothead {

/** Checks \a organisation against the models, versions and other organisations of \a configuration. */
Check checkOrganisation(const Wire::Configuration &configuration, const Wire::Organisation &organisation);

} // namespace Apricothead
