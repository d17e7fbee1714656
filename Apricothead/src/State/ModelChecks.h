#pragma once

#include "StateErrors.h"

namespace Apricothead {

Check checkModel(const Wire::Configuration &configuration, const Wire::Model &model);
/** A withdrawn version never becomes active again. */
Check checkVersion(const Wire::Configuration &configuration, const Wire::Version &version);
Check checkWithdrawal(const Wire::Configuration &configuration, const Wire::WithdrawVersion &withdrawal);
Check checkCascade(const Wire::Configuration &configuration, const Wire::Cascade &cascade);

/** Passes an active version of \a model. */
Check checkActiveVersion(const Wire::Configuration &configuration, const std::string &field, const std::string &version, const std::string &model);

} // namespace Apricothead
