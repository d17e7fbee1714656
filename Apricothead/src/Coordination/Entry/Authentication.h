#pragma once

#include "../../Protocol/Messages.h"

#include <string_view>

namespace Apricothead {

/** Finds the organisation by the bearer key in an \c Authorization field. \returns null when no organisation has that key */
const Wire::Organisation *authenticate(const Wire::Configuration &configuration, std::string_view authorization);

} // namespace Apricothead
