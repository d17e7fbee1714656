#pragma once

#include "../Protocol/Messages.h"

#include <boost/outcome.hpp>

#include <string>

namespace Apricothead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** Passes, or says which field is at fault and what to do. */
using Check = outcome::unchecked<void, Wire::Error>;

/** \returns an error for \a field, a path as \c allowances[1].model; empty when no single field is at fault */
Wire::Error makeError(Wire::ErrorCode code, std::string field, std::string message, std::string remedy);

/** \returns an answer that refuses with \a error */
Wire::CommandResult refusalResult(Wire::Error error);

/** \returns an answer that names a record which stands */
Wire::CommandResult knownResult(const Wire::RequestRecord &record);

} // namespace Apricothead
