#pragma once

#include "../../Decisions/Cascade.h"
#include "CallerRequest.h"

#include <functional>
#include <string>

namespace Apricothead {

/** Tells whether some endpoint serves a version of a model now. */
using IsServed = std::function<bool(const std::string &model, const std::string &version)>;

/** \returns \a request's way through \a cascade before its first run */
CascadeProgress makeCascadeView(const Wire::Configuration &configuration, const Wire::Cascade &cascade, const CallerRequest &request, const IsServed &isServed);

/** \returns the share of good answers that \a organisation asks for, 0 to 1; the usual one when its quality target is no such number */
double qualityTargetOf(const Wire::Organisation &organisation);

} // namespace Apricothead
