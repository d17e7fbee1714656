#pragma once

#include "StateErrors.h"

namespace Apricothead {

/** Checks an organisation against the models, versions and other organisations of \a configuration. */
Check checkOrganisation(const Wire::Configuration &configuration, const Wire::Organisation &organisation);

} // namespace Apricothead
