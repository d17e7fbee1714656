#pragma once

#include "RoutingTable.h"

namespace Apricothead {

/** \class DispatchWindowOptions
 * \ingroup Decisions_Module
 * \brief Limits on the runs that an entry dispatches, relative to the endpoints' capacity.
 */
struct DispatchWindowOptions {
    /** Limit on active runs, as a multiple of the usable capacity. Above 1, so that the engines' own queues do not run empty. */
    double fillFactor = 1.1;
    /** Limit on runs that wait for their first token, per usable endpoint. Further runs would wait at the engine instead of in the fair queue. */
    double awaitingPerEndpoint = 2;
};

/** \class DispatchWindow
 * \ingroup Decisions_Module
 * \brief Limits on the active runs of an entry, and on those of them that wait for their first token.
 */
struct DispatchWindow {
    unsigned running = 0;
    unsigned awaiting = 0;

    bool operator==(const DispatchWindow &) const = default;
};

/** \returns the limits for an entry that has the \a share, 0 to 1, of the endpoints that serve \a version: at least 1 each, or 0 when no endpoint is
 * usable */
DispatchWindow
dispatchWindow(const RoutingTable &table, const std::string &model, const std::string &version, double share, DispatchWindowOptions options = {});

} // namespace Apricothead
