#pragma once

#include "RoutingTable.h"

namespace Apricothead {

/** \class DispatchWindowOptions
 * \ingroup Decisions_Module
 * \brief How far an entry fills the endpoints' batches.
 */
struct DispatchWindowOptions {
    /** Runs under way at most, as a part of the usable capacity. Above 1 the engines' own queues never run dry. */
    double fillFactor = 1.1;
    /** Runs that wait for their first token at most, for each usable endpoint. More only wait there instead of in the fair queue. */
    double awaitingPerEndpoint = 2;
};

/** \class DispatchWindow
 * \ingroup Decisions_Module
 * \brief How many runs an entry may have under way, and how many of them may wait for their first token.
 */
struct DispatchWindow {
    unsigned running = 0;
    unsigned awaiting = 0;

    bool operator==(const DispatchWindow &) const = default;
};

/** \returns the entry's \a part, 0 to 1, of what the endpoints of \a version take; at least one of each, none without a usable endpoint */
DispatchWindow dispatchWindow(const RoutingTable &table, const std::string &model, const std::string &version, double part, DispatchWindowOptions options = {});

} // namespace Apricothead
