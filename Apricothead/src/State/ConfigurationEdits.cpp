#include "ConfigurationEdits.h"

#include "ConfigurationLookup.h"
#include "RolloutChecks.h"

#include <algorithm>

namespace Apricothead {
namespace {

template <typename Items, typename Item>
void putById(Items *items, const Item &item)
{
    for (Item &existing : *items) {
        if (existing.id() == item.id()) {
            existing = item;
            return;
        }
    }
    *items->Add() = item;
}

template <typename Items>
void removeById(Items *items, const std::string &id)
{
    const auto end = std::remove_if(items->begin(), items->end(), [&](const auto &item) {
        return item.id() == id;
    });
    items->erase(end, items->end());
}

Wire::Model *mutableModel(Wire::Configuration &configuration, const std::string &id)
{
    return const_cast<Wire::Model *>(findModel(configuration, id));
}

Wire::Rollout *mutableRollout(Wire::Configuration &configuration, const std::string &model)
{
    return const_cast<Wire::Rollout *>(findRollout(configuration, model));
}

void putVersion(Wire::Configuration &configuration, Wire::Version version)
{
    version.set_state(Wire::VERSION_STATE_ACTIVE);
    version.clear_withdrawal_reason();
    putById(configuration.mutable_versions(), version);
}

void haltAffectedRollout(Wire::Configuration &configuration, const std::string &model, const Wire::WithdrawVersion &withdrawal)
{
    Wire::Rollout *rollout = mutableRollout(configuration, model);
    if (rollout == nullptr || !isOpen(*rollout)) {
        return;
    }
    if (rollout->to_version() != withdrawal.version() && rollout->from_version() != withdrawal.version()) {
        return;
    }
    const bool toReplacement = rollout->to_version() == withdrawal.replacement();
    rollout->set_state(toReplacement ? Wire::ROLLOUT_STATE_DONE : Wire::ROLLOUT_STATE_HALTED);
    rollout->set_share_permille(toReplacement ? FullSharePermille : 0);
    rollout->set_evidence(withdrawal.version() + " withdrawn: " + withdrawal.reason());
    rollout->set_changed_revision(configuration.revision());
}

void withdraw(Wire::Configuration &configuration, const Wire::WithdrawVersion &withdrawal)
{
    auto *version = const_cast<Wire::Version *>(findVersion(configuration, withdrawal.version()));
    version->set_state(Wire::VERSION_STATE_WITHDRAWN);
    version->set_withdrawal_reason(withdrawal.reason());
    Wire::Model *model = mutableModel(configuration, version->model());
    if (model->stable_version() == withdrawal.version()) {
        model->set_stable_version(withdrawal.replacement());
    }
    haltAffectedRollout(configuration, version->model(), withdrawal);
}

void startRollout(Wire::Configuration &configuration, const Wire::StartRollout &start)
{
    Wire::Rollout *rollout = mutableRollout(configuration, start.model());
    if (rollout == nullptr) {
        rollout = configuration.add_rollouts();
    }
    rollout->Clear();
    rollout->set_model(start.model());
    rollout->set_from_version(findModel(configuration, start.model())->stable_version());
    rollout->set_to_version(start.to_version());
    rollout->set_share_permille(start.share_permille());
    rollout->set_state(Wire::ROLLOUT_STATE_RUNNING);
    rollout->set_changed_revision(configuration.revision());
}

void setRollout(Wire::Configuration &configuration, const Wire::SetRollout &set)
{
    Wire::Rollout *rollout = mutableRollout(configuration, set.model());
    rollout->set_state(set.state());
    rollout->set_share_permille(set.share_permille());
    rollout->set_evidence(set.evidence());
    rollout->set_changed_revision(configuration.revision());
    if (set.state() == Wire::ROLLOUT_STATE_HALTED) {
        rollout->set_share_permille(0);
    }
    if (set.state() == Wire::ROLLOUT_STATE_DONE) {
        rollout->set_share_permille(FullSharePermille);
        mutableModel(configuration, set.model())->set_stable_version(rollout->to_version());
    }
}

void undrain(Wire::Configuration &configuration, const std::string &endpoint)
{
    auto *drained = configuration.mutable_drained_endpoints();
    drained->erase(std::remove(drained->begin(), drained->end(), endpoint), drained->end());
}

std::string changedItemId(const Wire::ConfigurationChange &change)
{
    switch (change.change_case()) {
    case Wire::ConfigurationChange::kPutOrganisation:
        return change.put_organisation().id();
    case Wire::ConfigurationChange::kRemoveOrganisation:
        return change.remove_organisation();
    case Wire::ConfigurationChange::kPutModel:
        return change.put_model().id();
    case Wire::ConfigurationChange::kPutVersion:
        return change.put_version().id();
    case Wire::ConfigurationChange::kWithdrawVersion:
        return change.withdraw_version().version();
    case Wire::ConfigurationChange::kPutCascade:
        return change.put_cascade().id();
    case Wire::ConfigurationChange::kRemoveCascade:
        return change.remove_cascade();
    case Wire::ConfigurationChange::kStartRollout:
        return change.start_rollout().to_version();
    case Wire::ConfigurationChange::kSetRollout:
        return change.set_rollout().model();
    case Wire::ConfigurationChange::kDrainEndpoint:
        return change.drain_endpoint();
    case Wire::ConfigurationChange::kUndrainEndpoint:
        return change.undrain_endpoint();
    case Wire::ConfigurationChange::CHANGE_NOT_SET:
        break;
    }
    return {};
}

} // namespace

std::string changeSummary(const Wire::ConfigurationChange &change)
{
    const auto *field = Wire::ConfigurationChange::descriptor()->FindFieldByNumber(change.change_case());
    return field == nullptr ? std::string() : field->name() + " " + changedItemId(change);
}

void editConfiguration(Wire::Configuration &configuration, const Wire::ConfigurationChange &change)
{
    switch (change.change_case()) {
    case Wire::ConfigurationChange::kPutOrganisation:
        return putById(configuration.mutable_organisations(), change.put_organisation());
    case Wire::ConfigurationChange::kRemoveOrganisation:
        return removeById(configuration.mutable_organisations(), change.remove_organisation());
    case Wire::ConfigurationChange::kPutModel:
        return putById(configuration.mutable_models(), change.put_model());
    case Wire::ConfigurationChange::kPutVersion:
        return putVersion(configuration, change.put_version());
    case Wire::ConfigurationChange::kWithdrawVersion:
        return withdraw(configuration, change.withdraw_version());
    case Wire::ConfigurationChange::kPutCascade:
        return putById(configuration.mutable_cascades(), change.put_cascade());
    case Wire::ConfigurationChange::kRemoveCascade:
        return removeById(configuration.mutable_cascades(), change.remove_cascade());
    case Wire::ConfigurationChange::kStartRollout:
        return startRollout(configuration, change.start_rollout());
    case Wire::ConfigurationChange::kSetRollout:
        return setRollout(configuration, change.set_rollout());
    case Wire::ConfigurationChange::kDrainEndpoint:
        return configuration.add_drained_endpoints(change.drain_endpoint());
    case Wire::ConfigurationChange::kUndrainEndpoint:
        return undrain(configuration, change.undrain_endpoint());
    case Wire::ConfigurationChange::CHANGE_NOT_SET:
        return;
    }
}

} // namespace Apricothead
