#pragma once

#include "../../Protocol/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class OperatorIdentity
 * \ingroup Coordination_Module
 * \brief An authenticated operator, with the token that was presented.
 */
struct OperatorIdentity {
    std::string name;
    bool readOnly = true;
    std::string token;

    bool operator==(const OperatorIdentity &) const = default;
};

/** \returns the operator whose token is in the \c Authorization header field \a authorization, or nothing */
std::optional<OperatorIdentity> identifyOperator(const std::vector<OperatorToken> &tokens, std::string_view authorization);

} // namespace Apricothead
