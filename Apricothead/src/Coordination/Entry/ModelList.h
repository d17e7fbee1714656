#pragma once

#include "../../Protocol/Messages.h"

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns true when the organisation may use the chat model, or every model of the cascade, of that id */
bool canUseChatModel(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

/** \returns true when the organisation may use the plain service of that id */
bool canUseService(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

/** \returns the chat models and cascades that the organisation may use, in the form of \c GET \c /v1/models */
std::string modelListJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** \returns one of them in the form of \c GET \c /v1/models/ID; empty when there is none or it is not allowed */
std::string modelJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

} // namespace Apricothead
