#include "ModelChecks.h"

#include "ConfigurationLookup.h"
#include "FieldChecks.h"

#include <set>

namespace Apricothead {
namespace {

constexpr double MaxRating = 1;
constexpr std::uint32_t MaxRatingTimeoutMs = 600'000;

Check checkKind(const Wire::Model *existing, const Wire::Model &model)
{
    if (model.kind() != Wire::MODEL_KIND_CHAT && model.kind() != Wire::MODEL_KIND_SERVICE) {
        return makeError(Wire::ERROR_CODE_INVALID, "kind", "is missing or unknown", "give MODEL_KIND_CHAT or MODEL_KIND_SERVICE");
    }
    if (existing != nullptr && existing->kind() != model.kind()) {
        return makeError(Wire::ERROR_CODE_INVALID, "kind", "differs from that of the model as it stands", "put a model with another id");
    }
    return outcome::success();
}

Check checkStableVersion(const Wire::Configuration &configuration, const Wire::Model *existing, const Wire::Model &model)
{
    const std::string existingStable = existing == nullptr ? std::string() : existing->stable_version();
    if (model.stable_version() == existingStable) {
        return outcome::success();
    }
    const Wire::Rollout *rollout = findRollout(configuration, model.id());
    if (rollout != nullptr && isOpen(*rollout)) {
        return makeError(Wire::ERROR_CODE_INVALID, "stable_version", "can't change during a roll-out", "halt or finish the roll-out first");
    }
    if (model.stable_version().empty()) {
        return outcome::success();
    }
    return checkActiveVersion(configuration, "stable_version", model.stable_version(), model.id());
}

Check checkPrice(const std::string &field, std::uint64_t price)
{
    return checkNumber(field, static_cast<double>(price), static_cast<double>(MaxPriceMicros));
}

Check checkExistingVersion(const Wire::Version &existing, const Wire::Version &version)
{
    if (existing.state() == Wire::VERSION_STATE_WITHDRAWN) {
        return makeError(Wire::ERROR_CODE_WITHDRAWN, "id", "names a version that was withdrawn, which is final", "put a version with a new id");
    }
    if (existing.model() != version.model()) {
        return makeError(Wire::ERROR_CODE_INVALID, "model", "differs from that of the version as it stands", "put a version with a new id");
    }
    return outcome::success();
}

Check checkCascadeModel(const Wire::Configuration &configuration, const std::string &field, const std::string &id)
{
    const Wire::Model *model = findModel(configuration, id);
    if (model == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, field, "names no known model", "put the model first, or correct its id");
    }
    if (model->kind() != Wire::MODEL_KIND_CHAT) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "names a plain service", "name a chat model");
    }
    return outcome::success();
}

Check checkCascadeModels(const Wire::Configuration &configuration, const Wire::Cascade &cascade)
{
    if (cascade.models().empty()) {
        return makeError(Wire::ERROR_CODE_INVALID, "models", "is empty", "name the models, cheapest first");
    }
    BOOST_OUTCOME_TRYV(checkCount("models", cascade.models_size(), MaxListItems));
    std::set<std::string> seen;
    for (int i = 0; i < cascade.models_size(); ++i) {
        const std::string field = itemPath("models", i);
        BOOST_OUTCOME_TRYV(checkCascadeModel(configuration, field, cascade.models(i)));
        if (!seen.insert(cascade.models(i)).second) {
            return makeError(Wire::ERROR_CODE_INVALID, field, "stands twice", "name each model once");
        }
    }
    return outcome::success();
}

} // namespace

Check checkActiveVersion(const Wire::Configuration &configuration, const std::string &field, const std::string &version, const std::string &model)
{
    const Wire::Version *found = findVersion(configuration, version);
    if (found == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, field, "names no known version", "put the version first, or correct its id");
    }
    if (found->model() != model) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is a version of model " + found->model(), "name a version of " + model);
    }
    if (found->state() == Wire::VERSION_STATE_WITHDRAWN) {
        return makeError(Wire::ERROR_CODE_WITHDRAWN, field, "names a version that was withdrawn", "name an active version of " + model);
    }
    return outcome::success();
}

Check checkModel(const Wire::Configuration &configuration, const Wire::Model &model)
{
    BOOST_OUTCOME_TRYV(checkId("id", model.id()));
    if (findCascade(configuration, model.id()) != nullptr) {
        return makeError(Wire::ERROR_CODE_INVALID, "id", "is the id of a cascade", "choose another id: callers name models and cascades alike");
    }
    const Wire::Model *existing = findModel(configuration, model.id());
    BOOST_OUTCOME_TRYV(checkKind(existing, model));
    return checkStableVersion(configuration, existing, model);
}

Check checkVersion(const Wire::Configuration &configuration, const Wire::Version &version)
{
    BOOST_OUTCOME_TRYV(checkId("id", version.id()));
    if (findModel(configuration, version.model()) == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "model", "names no known model", "put the model first, or correct its id");
    }
    if (version.state() == Wire::VERSION_STATE_WITHDRAWN) {
        return makeError(Wire::ERROR_CODE_INVALID, "state", "can't be set to withdrawn here", "withdraw the version by its own call");
    }
    const Wire::Version *existing = findVersion(configuration, version.id());
    if (existing != nullptr) {
        BOOST_OUTCOME_TRYV(checkExistingVersion(*existing, version));
    }
    BOOST_OUTCOME_TRYV(checkPrice("input_price_micros", version.input_price_micros()));
    BOOST_OUTCOME_TRYV(checkPrice("output_price_micros", version.output_price_micros()));
    return checkPrice("call_price_micros", version.call_price_micros());
}

Check checkWithdrawal(const Wire::Configuration &configuration, const Wire::WithdrawVersion &withdrawal)
{
    const Wire::Version *version = findVersion(configuration, withdrawal.version());
    if (version == nullptr) {
        return makeError(Wire::ERROR_CODE_NOT_FOUND, "version", "names no known version", "correct the id");
    }
    if (version->state() == Wire::VERSION_STATE_WITHDRAWN) {
        return makeError(Wire::ERROR_CODE_WITHDRAWN, "version", "was withdrawn before", "nothing is left to do");
    }
    BOOST_OUTCOME_TRYV(checkText("reason", withdrawal.reason()));
    if (withdrawal.replacement().empty()) {
        return outcome::success();
    }
    if (withdrawal.replacement() == withdrawal.version()) {
        return makeError(Wire::ERROR_CODE_INVALID, "replacement", "is the withdrawn version itself", "name another version or none");
    }
    return checkActiveVersion(configuration, "replacement", withdrawal.replacement(), version->model());
}

Check checkCascade(const Wire::Configuration &configuration, const Wire::Cascade &cascade)
{
    BOOST_OUTCOME_TRYV(checkId("id", cascade.id()));
    if (findModel(configuration, cascade.id()) != nullptr) {
        return makeError(Wire::ERROR_CODE_INVALID, "id", "is the id of a model", "choose another id: callers name models and cascades alike");
    }
    BOOST_OUTCOME_TRYV(checkCascadeModels(configuration, cascade));
    BOOST_OUTCOME_TRYV(checkNumber("rating_threshold", cascade.rating_threshold(), MaxRating));
    return checkNumber("rating_timeout_ms", cascade.rating_timeout_ms(), MaxRatingTimeoutMs);
}

} // namespace Apricothead
