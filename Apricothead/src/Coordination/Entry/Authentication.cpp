#include "Authentication.h"

#include "../../Protocol/KeyHash.h"

namespace Apricothead {

const Wire::Organisation *authenticate(const Wire::Configuration &configuration, std::string_view authorization)
{
    const std::string_view token = bearerToken(authorization);
    if (token.empty()) {
        return nullptr;
    }
    const std::string hash = sha256Hex(token);
    const Wire::Organisation *found = nullptr;
    // Compares every hash, so that the response time does not reveal the position of a match.
    for (const Wire::Organisation &organisation : configuration.organisations()) {
        for (const std::string &knownHash : organisation.key_hashes()) {
            if (equalInConstantTime(knownHash, hash)) {
                found = &organisation;
            }
        }
    }
    return found;
}

} // namespace Apricothead
