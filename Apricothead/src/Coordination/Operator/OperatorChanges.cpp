#include "OperatorChanges.h"

#include "../../State/ConfigurationLookup.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

using OrganisationResult = outcome::unchecked<Wire::Organisation, Wire::Error>;

OrganisationResult requireOrganisation(const Wire::Configuration &configuration, const std::string &id)
{
    const Wire::Organisation *found = findOrganisation(configuration, id);
    if (found == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "organisation", "is not a known organisation", "create the organisation first, or correct its id");
    }
    return *found;
}

Wire::ConfigurationChange putOrganisationChange(Wire::Organisation organisation)
{
    Wire::ConfigurationChange change;
    *change.mutable_put_organisation() = std::move(organisation);
    return change;
}

void removeAllowance(Wire::Organisation &organisation, const std::string &model)
{
    auto *allowances = organisation.mutable_allowances();
    const auto end = std::remove_if(allowances->begin(), allowances->end(), [&](const Wire::Allowance &allowance) {
        return allowance.model() == model;
    });
    allowances->erase(end, allowances->end());
}

ChangeResult rolloutChange(const Wire::Configuration &configuration, const std::string &model, Wire::RolloutState state, const std::string &evidence)
{
    const Wire::Rollout *rollout = findRollout(configuration, model);
    if (rollout == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "has no roll-out", "start one, or correct the id");
    }
    Wire::ConfigurationChange change;
    Wire::SetRollout *setRollout = change.mutable_set_rollout();
    setRollout->set_model(model);
    setRollout->set_state(state);
    setRollout->set_share_permille(rollout->share_permille());
    setRollout->set_evidence(evidence.empty() ? rollout->evidence() : evidence);
    return change;
}

} // namespace

ChangeResult changeOf(const Wire::PutOrganisationRequest &request, const Wire::Configuration &configuration)
{
    Wire::Organisation organisation;
    organisation.set_id(request.id());
    if (const Wire::Organisation *existing = findOrganisation(configuration, request.id())) {
        *organisation.mutable_key_hashes() = existing->key_hashes();
    }
    *organisation.mutable_allowances() = request.allowances();
    *organisation.mutable_limits() = request.limits();
    organisation.set_quality_target(request.quality_target());
    return putOrganisationChange(std::move(organisation));
}

ChangeResult changeOf(const Wire::RemoveOrganisationRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.set_remove_organisation(request.id());
    return change;
}

ChangeResult changeOf(const Wire::RemoveKeyRequest &request, const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRY(organisation, requireOrganisation(configuration, request.organisation()));
    auto *hashes = organisation.mutable_key_hashes();
    const auto end = std::remove(hashes->begin(), hashes->end(), request.key_hash());
    if (end == hashes->end()) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "key_hash", "is not a key of the organisation", "read its key hashes with GetConfiguration");
    }
    hashes->erase(end, hashes->end());
    return putOrganisationChange(std::move(organisation));
}

ChangeResult changeOf(const Wire::PutAllowanceRequest &request, const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRY(organisation, requireOrganisation(configuration, request.organisation()));
    removeAllowance(organisation, request.allowance().model());
    *organisation.add_allowances() = request.allowance();
    return putOrganisationChange(std::move(organisation));
}

ChangeResult changeOf(const Wire::RemoveAllowanceRequest &request, const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRY(organisation, requireOrganisation(configuration, request.organisation()));
    const int before = organisation.allowances_size();
    removeAllowance(organisation, request.model());
    if (organisation.allowances_size() == before) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "is not allowed to the organisation", "correct the id");
    }
    return putOrganisationChange(std::move(organisation));
}

ChangeResult changeOf(const Wire::SetLimitsRequest &request, const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRY(organisation, requireOrganisation(configuration, request.organisation()));
    *organisation.mutable_limits() = request.limits();
    return putOrganisationChange(std::move(organisation));
}

ChangeResult changeOf(const Wire::PutModelRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    *change.mutable_put_model() = request.model();
    return change;
}

ChangeResult changeOf(const Wire::PutVersionRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    *change.mutable_put_version() = request.version();
    return change;
}

ChangeResult changeOf(const Wire::WithdrawVersionRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.mutable_withdraw_version()->set_version(request.version());
    change.mutable_withdraw_version()->set_reason(request.reason());
    change.mutable_withdraw_version()->set_replacement(request.replacement());
    return change;
}

ChangeResult changeOf(const Wire::PutCascadeRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    *change.mutable_put_cascade() = request.cascade();
    return change;
}

ChangeResult changeOf(const Wire::RemoveCascadeRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.set_remove_cascade(request.id());
    return change;
}

ChangeResult changeOf(const Wire::StartRolloutRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.mutable_start_rollout()->set_model(request.model());
    change.mutable_start_rollout()->set_to_version(request.to_version());
    change.mutable_start_rollout()->set_share_permille(request.share_permille());
    return change;
}

ChangeResult changeOf(const Wire::PauseRolloutRequest &request, const Wire::Configuration &configuration)
{
    return rolloutChange(configuration, request.model(), Wire::ROLLOUT_STATE_PAUSED, "");
}

ChangeResult changeOf(const Wire::ResumeRolloutRequest &request, const Wire::Configuration &configuration)
{
    return rolloutChange(configuration, request.model(), Wire::ROLLOUT_STATE_RUNNING, "");
}

ChangeResult changeOf(const Wire::HaltRolloutRequest &request, const Wire::Configuration &configuration)
{
    return rolloutChange(configuration, request.model(), Wire::ROLLOUT_STATE_HALTED, request.reason());
}

ChangeResult changeOf(const Wire::FinishRolloutRequest &request, const Wire::Configuration &configuration)
{
    return rolloutChange(configuration, request.model(), Wire::ROLLOUT_STATE_DONE, "");
}

ChangeResult changeOf(const Wire::DrainEndpointRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.set_drain_endpoint(request.endpoint());
    return change;
}

ChangeResult changeOf(const Wire::UndrainEndpointRequest &request, const Wire::Configuration & /*configuration*/)
{
    Wire::ConfigurationChange change;
    change.set_undrain_endpoint(request.endpoint());
    return change;
}

ChangeResult addKey(const std::string &organisation, const std::string &keyHash, const Wire::Configuration &configuration)
{
    BOOST_OUTCOME_TRY(existing, requireOrganisation(configuration, organisation));
    existing.add_key_hashes(keyHash);
    return putOrganisationChange(std::move(existing));
}

} // namespace Apricothead
