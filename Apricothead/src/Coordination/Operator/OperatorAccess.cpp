#include "OperatorAccess.h"

#include "../../Protocol/KeyHash.h"

namespace Apricothead {

std::optional<OperatorIdentity> identifyOperator(const std::vector<OperatorToken> &tokens, std::string_view authorization)
{
    const std::string_view token = bearerToken(authorization);
    if (token.empty()) {
        return std::nullopt;
    }
    const std::string hash = sha256Hex(token);
    std::optional<OperatorIdentity> identity;
    // Compares with all hashes, so that the response time does not reveal the position of a match.
    for (const OperatorToken &candidate : tokens) {
        if (equalInConstantTime(candidate.sha256, hash)) {
            identity = OperatorIdentity{.name = candidate.name, .readOnly = candidate.readOnly, .token = std::string(token)};
        }
    }
    return identity;
}

} // namespace Apricothead
