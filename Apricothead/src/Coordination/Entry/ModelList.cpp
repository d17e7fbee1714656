#include "ModelList.h"

#include "../../State/ConfigurationLookup.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Apricothead {
namespace {

using Json = nlohmann::ordered_json;

bool hasAllowance(const Wire::Organisation &organisation, std::string_view model)
{
    return std::any_of(organisation.allowances().begin(), organisation.allowances().end(), [&](const Wire::Allowance &allowance) {
        return allowance.model() == model;
    });
}

bool canUse(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id, Wire::ModelKind kind)
{
    const Wire::Model *model = findModel(configuration, id);
    return model != nullptr && model->kind() == kind && hasAllowance(organisation, id);
}

Json describeModel(std::string_view id, const Wire::Configuration &configuration)
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    return {{"id", id}, {"object", "model"}, {"created", configuration.changed_at_ms() / MillisecondsPerSecond}, {"owned_by", "apricothead"}};
}

} // namespace

bool canUseChatModel(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id)
{
    const Wire::Cascade *cascade = findCascade(configuration, id);
    if (cascade == nullptr) {
        return canUse(configuration, organisation, id, Wire::MODEL_KIND_CHAT);
    }
    return std::all_of(cascade->models().begin(), cascade->models().end(), [&](const std::string &model) {
        return canUse(configuration, organisation, model, Wire::MODEL_KIND_CHAT);
    });
}

bool canUseService(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id)
{
    return canUse(configuration, organisation, id, Wire::MODEL_KIND_SERVICE);
}

std::string modelListJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation)
{
    Json data = Json::array();
    for (const Wire::Model &model : configuration.models()) {
        if (canUseChatModel(configuration, organisation, model.id())) {
            data.push_back(describeModel(model.id(), configuration));
        }
    }
    for (const Wire::Cascade &cascade : configuration.cascades()) {
        if (canUseChatModel(configuration, organisation, cascade.id())) {
            data.push_back(describeModel(cascade.id(), configuration));
        }
    }
    return Json{{"object", "list"}, {"data", data}}.dump();
}

std::string modelJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id)
{
    return canUseChatModel(configuration, organisation, id) ? describeModel(id, configuration).dump() : std::string();
}

} // namespace Apricothead
