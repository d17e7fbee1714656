#pragma once

#include "../../Decisions/Cascade.h"
#include "CallerRequest.h"

#include <functional>
#include <string>

namespace Apricothead {

/** \returns true if an endpoint currently serves \a version of \a model */
using IsServed = std::function<bool(const std::string &model, const std::string &version)>;

/** \returns the state of \a request in \a cascade before its first run */
CascadeProgress makeCascadeView(const Wire::Configuration &configuration, const Wire::Cascade &cascade, const CallerRequest &request, const IsServed &isServed);

/** \returns the share of good answers that \a organisation requires, above 0 and up to 1; the default if its quality target is not such a number */
double qualityTargetOf(const Wire::Organisation &organisation);

} // namespace Apricothead
