#pragma once

#include "ForwardRequest.h"

#include "../Decisions/PartQuarantine.h"

#include <string>
#include <vector>

namespace Apricothead {

/** \returns what identifies \a request as a possible cause of a crash: the parts of its prompt but the last, which is its own, or else its
 * method, target and body together */
SuspectRequest suspectRequest(const ForwardRequest &request);

/** \returns the ids of all parts of \a prompt as they are shown to operators */
std::string promptText(const std::vector<PromptPart> &prompt);

} // namespace Apricothead
