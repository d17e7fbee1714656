#pragma once

#include "StateErrors.h"

namespace Apricothead {

/** Share of a roll-out that covers all new sessions. */
constexpr std::uint32_t FullSharePermille = 1000;

Check checkStartRollout(const Wire::Configuration &configuration, const Wire::StartRollout &start);
Check checkSetRollout(const Wire::Configuration &configuration, const Wire::SetRollout &set);

} // namespace Apricothead
