#include "ConfigurationChecks.h"

#include "ConfigurationLookup.h"
#include "FieldChecks.h"
#include "ModelChecks.h"
#include "OrganisationChecks.h"
#include "RolloutChecks.h"

namespace Apricothead {
namespace {

Check checkRemoveOrganisation(const Wire::Configuration &configuration, const std::string &id)
{
    if (findOrganisation(configuration, id) == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "", "names no known organisation", "correct the id");
    }
    return outcome::success();
}

Check checkRemoveCascade(const Wire::Configuration &configuration, const std::string &id)
{
    if (findCascade(configuration, id) == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "", "names no known cascade", "correct the id");
    }
    return outcome::success();
}

Check checkDrain(const Wire::Configuration &configuration, const std::string &endpoint)
{
    BOOST_OUTCOME_TRYV(checkId("", endpoint));
    if (isDrained(configuration, endpoint)) {
        return makeError(Wire::ERROR_CODE_INVALID, "", "is drained already", "nothing is left to do");
    }
    return outcome::success();
}

Check checkUndrain(const Wire::Configuration &configuration, const std::string &endpoint)
{
    if (!isDrained(configuration, endpoint)) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "", "is not drained", "nothing is left to do");
    }
    return outcome::success();
}

Check checkSize(const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRYV(checkCount("organisations", configuration.organisations_size(), MaxItems - 1));
    BOOST_OUTCOME_TRYV(checkCount("models", configuration.models_size(), MaxItems - 1));
    BOOST_OUTCOME_TRYV(checkCount("versions", configuration.versions_size(), MaxItems - 1));
    BOOST_OUTCOME_TRYV(checkCount("cascades", configuration.cascades_size(), MaxItems - 1));
    return checkCount("drained_endpoints", configuration.drained_endpoints_size(), MaxItems - 1);
}

Check checkPut(const Wire::Configuration &configuration, const Wire::ConfigurationChange &change)
{
    BOOST_OUTCOME_TRYV(checkSize(configuration));
    switch (change.change_case()) {
    case Wire::ConfigurationChange::kPutOrganisation:
        return checkOrganisation(configuration, change.put_organisation());
    case Wire::ConfigurationChange::kPutModel:
        return checkModel(configuration, change.put_model());
    case Wire::ConfigurationChange::kPutVersion:
        return checkVersion(configuration, change.put_version());
    case Wire::ConfigurationChange::kPutCascade:
        return checkCascade(configuration, change.put_cascade());
    default:
        return checkDrain(configuration, change.drain_endpoint());
    }
}

Check checkByKind(const Wire::Configuration &configuration, const Wire::ConfigurationChange &change)
{
    switch (change.change_case()) {
    case Wire::ConfigurationChange::kPutOrganisation:
    case Wire::ConfigurationChange::kPutModel:
    case Wire::ConfigurationChange::kPutVersion:
    case Wire::ConfigurationChange::kPutCascade:
    case Wire::ConfigurationChange::kDrainEndpoint:
        return checkPut(configuration, change);
    case Wire::ConfigurationChange::kRemoveOrganisation:
        return checkRemoveOrganisation(configuration, change.remove_organisation());
    case Wire::ConfigurationChange::kWithdrawVersion:
        return checkWithdrawal(configuration, change.withdraw_version());
    case Wire::ConfigurationChange::kRemoveCascade:
        return checkRemoveCascade(configuration, change.remove_cascade());
    case Wire::ConfigurationChange::kStartRollout:
        return checkStartRollout(configuration, change.start_rollout());
    case Wire::ConfigurationChange::kSetRollout:
        return checkSetRollout(configuration, change.set_rollout());
    case Wire::ConfigurationChange::kUndrainEndpoint:
        return checkUndrain(configuration, change.undrain_endpoint());
    case Wire::ConfigurationChange::CHANGE_NOT_SET:
        break;
    }
    return makeError(Wire::ERROR_CODE_INVALID, "", "no change is given", "give one change");
}

std::string changeName(const Wire::ConfigurationChange &change)
{
    const auto *field = Wire::ConfigurationChange::descriptor()->FindFieldByNumber(change.change_case());
    return field == nullptr ? "change" : "change." + field->name();
}

} // namespace

Check checkChange(const Wire::Configuration &configuration, const Wire::ConfigurationChange &change)
{
    const Check check = checkByKind(configuration, change);
    if (check.has_value()) {
        return outcome::success();
    }
    Wire::Error error = check.error();
    const std::string path = changeName(change);
    error.set_field(error.field().empty() ? path : path + "." + error.field());
    return error;
}

} // namespace Apricothead
