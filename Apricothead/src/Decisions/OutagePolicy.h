#pragma once

#include <cstdint>

namespace Apricothead {

/** \class OutageQuery
 * \ingroup Decisions_Module
 * \brief The inputs for handling a request at a gateway that cannot decide on it, as it has no plan or has lost its lease.
 */
struct OutageQuery {
    /** How long the caller will wait for an answer. */
    std::uint64_t callerTimeoutMs = 0;
    /** How long the gateway has been without a lease. */
    std::uint64_t outageMs = 0;
    /** A uniformly distributed value, which spreads the retries of callers over time. */
    std::uint64_t draw = 0;

    bool operator==(const OutageQuery &) const = default;
};

/** \returns how long the gateway may hold the request, in ms; 0 when it is to be refused at once
 *
 * Designed for this load pattern: all processes were killed at once and have restarted, callers retry before the group has elected a leader, and most
 * of them retry only once. An election takes a few hundred ms, so a request is held for a small part of its caller's time-out. An outage that has
 * lasted longer has another cause, and no request is held.
 */
std::uint64_t outageHoldMs(const OutageQuery &query);

/** \returns the time after which a refused caller should retry, in ms
 *
 * At first the predicted time until a leader is elected, later a time in proportion to the duration of the outage so far. Jitter is added.
 */
std::uint64_t outageRetryAfterMs(const OutageQuery &query);

} // namespace Apricothead
