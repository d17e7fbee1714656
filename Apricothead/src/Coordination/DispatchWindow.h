#pragma once

#include "RoutingTable.h"

namespace Apricothead {

/** \class DispatchWindowOptions
 * \ingroup Coordination_Module
 * \brief How far an entry fills the endpoints' batches.
 */
struct DispatchWindowOptions {
    /** Runs under way at most, as a part of the usable capacity. Above 1 the engines' own queues never run dry. */
    double fill = 1.1;
};

/** \returns how many runs an entry may have under way at the endpoints of \a version: its part of their capacity, at least one */
unsigned dispatchWindow(const RoutingTable &table, const std::string &model, const std::string &version, double part, DispatchWindowOptions options = {});

} // namespace Apricothead
