#pragma once

#include "../../Protocol/Messages.h"

#include <string_view>

namespace Apricothead {

/** \returns the organisation whose key the \c Authorization field holds as a bearer token; null if no organisation has that key */
const Wire::Organisation *authenticate(const Wire::Configuration &configuration, std::string_view authorization);

} // namespace Apricothead
