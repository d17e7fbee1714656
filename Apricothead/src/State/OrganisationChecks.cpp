#include "OrganisationChecks.h"

#include "ConfigurationLookup.h"
#include "FieldChecks.h"

#include <algorithm>
#include <set>

namespace Apricothead {
namespace {

constexpr std::size_t Sha256HexDigits = 64;
constexpr double MaxRate = 1e9;
constexpr std::uint32_t MaxWeight = 1000;

bool isKeyHash(const std::string &hash)
{
    return hash.size() == Sha256HexDigits && hash.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool hasKeyHash(const Wire::Organisation &organisation, const std::string &hash)
{
    const auto &hashes = organisation.key_hashes();
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

Check checkKeyHash(const Wire::Configuration &configuration, const Wire::Organisation &organisation, const std::string &field, const std::string &hash)
{
    if (!isKeyHash(hash)) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is no SHA-256 in lower-case hexadecimal", "give 64 hexadecimal digits");
    }
    for (const Wire::Organisation &other : configuration.organisations()) {
        if (other.id() != organisation.id() && hasKeyHash(other, hash)) {
            return makeError(Wire::ERROR_CODE_INVALID, field, "is a key of organisation " + other.id() + " too", "draw a new key");
        }
    }
    return outcome::success();
}

Check checkKeyHashes(const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    BOOST_OUTCOME_TRYV(checkCount("key_hashes", organisation.key_hashes_size(), MaxListItems));
    std::set<std::string> seen;
    for (int i = 0; i < organisation.key_hashes_size(); ++i) {
        const std::string field = itemPath("key_hashes", i);
        const std::string &hash = organisation.key_hashes(i);
        BOOST_OUTCOME_TRYV(checkKeyHash(configuration, organisation, field, hash));
        if (!seen.insert(hash).second) {
            return makeError(Wire::ERROR_CODE_INVALID, field, "stands twice", "remove one of the two");
        }
    }
    return outcome::success();
}

Check checkAllowedVersions(const Wire::Configuration &configuration, const Wire::Allowance &allowance, const std::string &path)
{
    BOOST_OUTCOME_TRYV(checkCount(path + ".versions", allowance.versions_size(), MaxListItems));
    for (int i = 0; i < allowance.versions_size(); ++i) {
        const std::string field = path + "." + itemPath("versions", i);
        const Wire::Version *version = findVersion(configuration, allowance.versions(i));
        if (version == nullptr) {
            return makeError(Wire::ERROR_CODE_NOT_FOUND, field, "names no known version", "put the version first, or correct its id");
        }
        if (version->model() != allowance.model()) {
            return makeError(Wire::ERROR_CODE_INVALID, field, "is a version of model " + version->model(), "name a version of " + allowance.model());
        }
    }
    return outcome::success();
}

Check checkAllowances(const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    BOOST_OUTCOME_TRYV(checkCount("allowances", organisation.allowances_size(), MaxListItems));
    std::set<std::string> seen;
    for (int i = 0; i < organisation.allowances_size(); ++i) {
        const Wire::Allowance &allowance = organisation.allowances(i);
        const std::string path = itemPath("allowances", i);
        if (findModel(configuration, allowance.model()) == nullptr) {
            return makeError(Wire::ERROR_CODE_NOT_FOUND, path + ".model", "names no known model", "put the model first, or correct its id");
        }
        if (!seen.insert(allowance.model()).second) {
            return makeError(Wire::ERROR_CODE_INVALID, path + ".model", "stands twice", "join the two allowances");
        }
        BOOST_OUTCOME_TRYV(checkAllowedVersions(configuration, allowance, path));
    }
    return outcome::success();
}

Check checkLimits(const Wire::Limits &limits)
{
    BOOST_OUTCOME_TRYV(checkNumber("limits.requests_per_second", limits.requests_per_second(), MaxRate));
    BOOST_OUTCOME_TRYV(checkNumber("limits.tokens_per_second", limits.tokens_per_second(), MaxRate));
    return checkNumber("limits.weight", limits.weight(), MaxWeight);
}

} // namespace

Check checkOrganisation(const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    BOOST_OUTCOME_TRYV(checkId("id", organisation.id()));
    BOOST_OUTCOME_TRYV(checkKeyHashes(configuration, organisation));
    BOOST_OUTCOME_TRYV(checkAllowances(configuration, organisation));
    BOOST_OUTCOME_TRYV(checkLimits(organisation.limits()));
    return checkText("quality_target", organisation.quality_target());
}

} // namespace Apricothead
