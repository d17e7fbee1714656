#pragma once

#include "StateErrors.h"

namespace Apricothead {

Check checkModel(const Wire::Configuration &configuration, const Wire::Model &model);
/** Checks a new or replaced version; a withdrawn version can't become active again. */
Check checkVersion(const Wire::Configuration &configuration, const Wire::Version &version);
Check checkWithdrawal(const Wire::Configuration &configuration, const Wire::WithdrawVersion &withdrawal);
Check checkCascade(const Wire::Configuration &configuration, const Wire::Cascade &cascade);

/** Accepts an active version of \a model. \a field is the path that an error names. */
Check checkActiveVersion(const Wire::Configuration &configuration, const std::string &field, const std::string &version, const std::string &model);

} // namespace Apricothead
