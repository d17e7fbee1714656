#pragma once

#include "../../Protocol/Settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class OperatorIdentity
 * \ingroup Coordination_Module
 * \brief Who calls, and the token that proves it.
 */
struct OperatorIdentity {
    std::string name;
    bool readOnly = true;
    std::string token;

    bool operator==(const OperatorIdentity &) const = default;
};

/** \returns the operator whose token stands in an \c Authorization field, or nothing */
std::optional<OperatorIdentity> identifyOperator(const std::vector<OperatorToken> &tokens, std::string_view authorization);

} // namespace Apricothead
