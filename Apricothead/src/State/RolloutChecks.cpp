#include "RolloutChecks.h"

#include "ConfigurationLookup.h"
#include "FieldChecks.h"
#include "ModelChecks.h"

namespace Apricothead {

Check checkStartRollout(const Wire::Configuration &configuration, const Wire::StartRollout &start)
{
    const Wire::Model *model = findModel(configuration, start.model());
    if (model == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "names no known model", "put the model first, or correct its id");
    }
    BOOST_OUTCOME_TRYV(checkActiveVersion(configuration, "to_version", start.to_version(), start.model()));
    if (model->stable_version().empty()) {
        return makeError(Wire::ERROR_CODE_INVALID, "model", "has no stable version to roll out from", "put the model with its stable version first");
    }
    if (model->stable_version() == start.to_version()) {
        return makeError(Wire::ERROR_CODE_INVALID, "to_version", "is the stable version already", "name another version");
    }
    const Wire::Rollout *existing = findRollout(configuration, start.model());
    if (existing != nullptr && isOpen(*existing)) {
        return makeError(Wire::ERROR_CODE_INVALID, "model", "has a roll-out of " + existing->to_version() + " under way", "halt or finish it first");
    }
    return checkNumber("share_permille", start.share_permille(), FullSharePermille);
}

Check checkSetRollout(const Wire::Configuration &configuration, const Wire::SetRollout &set)
{
    const Wire::Rollout *rollout = findRollout(configuration, set.model());
    if (rollout == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "has no roll-out", "start one, or correct the id");
    }
    if (!isOpen(*rollout)) {
        return makeError(Wire::ERROR_CODE_INVALID, "model", "has a roll-out that has ended", "start a new one");
    }
    if (set.state() < Wire::ROLLOUT_STATE_RUNNING || set.state() > Wire::ROLLOUT_STATE_DONE) {
        return makeError(Wire::ERROR_CODE_INVALID, "state", "is missing or unknown", "give running, paused, halted or done");
    }
    BOOST_OUTCOME_TRYV(checkNumber("share_permille", set.share_permille(), FullSharePermille));
    return checkText("evidence", set.evidence());
}

} // namespace Apricothead
