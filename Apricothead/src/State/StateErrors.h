#pragma once

#include "../Protocol/Messages.h"

#include <boost/outcome.hpp>

#include <string>

namespace Apricothead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** Success, or an error that names the invalid field and the remedy. */
using Check = outcome::unchecked<void, Wire::Error>;

/** \returns an error for \a field, a path such as \c allowances[1].model, empty when the error concerns no single field */
Wire::Error makeError(Wire::ErrorCode code, std::string field, std::string message, std::string remedy);

/** \returns a result that refuses the command with \a error */
Wire::CommandResult refusalResult(Wire::Error error);

/** \returns a result that holds the existing \a record */
Wire::CommandResult knownResult(const Wire::RequestRecord &record);

} // namespace Apricothead
