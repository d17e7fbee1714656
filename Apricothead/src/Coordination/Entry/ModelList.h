#pragma once

#include "../../Protocol/Messages.h"

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns true if the organisation may use the chat model \a id, or every model of the cascade \a id */
bool canUseChatModel(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

/** \returns true if the organisation may use the plain service \a id */
bool canUseService(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

/** \returns the chat models and cascades that the organisation may use, in the form of \c GET \c /v1/models */
std::string modelListJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation);

/** \returns one chat model or cascade in the form of \c GET \c /v1/models/ID; empty if it is unknown or not allowed */
std::string modelJson(const Wire::Configuration &configuration, const Wire::Organisation &organisation, std::string_view id);

} // namespace Apricothead
