#pragma once

#include "apricothead/v1/cluster.pb.h"
#include "apricothead/v1/state.pb.h"

namespace Apricothead {

/** Generated message types of the schema in proto/. */
namespace Wire = ::apricothead::v1;

} // namespace Apricothead
