#include "StateErrors.h"

#include <utility>

namespace Apricothead {

Wire::Error makeError(Wire::ErrorCode code, std::string field, std::string message, std::string remedy)
{
    Wire::Error error;
    error.set_code(code);
    error.set_field(std::move(field));
    error.set_message(std::move(message));
    error.set_remedy(std::move(remedy));
    return error;
}

Wire::CommandResult refusalResult(Wire::Error error)
{
    Wire::CommandResult result;
    *result.mutable_error() = std::move(error);
    return result;
}

Wire::CommandResult knownResult(const Wire::RequestRecord &record)
{
    Wire::CommandResult result;
    *result.mutable_known() = record;
    return result;
}

} // namespace Apricothead
