#pragma once

#include <cstdint>

namespace Apricothead {

/** \class OutageQuery
 * \ingroup Decisions_Module
 * \brief A request has come to a gateway that can decide nothing yet: it has no plan, or its lease is lost.
 */
struct OutageQuery {
    /** How long the caller waits from now on. */
    std::uint64_t callerTimeoutMs = 0;
    /** For how long the gateway has been without a lease. */
    std::uint64_t outageMs = 0;
    /** Uniform over all values, so that callers don't come back together. */
    std::uint64_t draw = 0;

    bool operator==(const OutageQuery &) const = default;
};

/** \returns for how many ms the request may wait at the gateway, 0 for one that is refused at once
 *
 * Answers this load: all processes were killed at once and are back, callers come again before the group has a leader, and most of them come
 * again only once. A leader is a matter of a few hundred ms, so a request waits for it for a small part of its caller's patience. An outage
 * that has lasted longer than that has another cause: then nothing waits.
 */
std::uint64_t outageHoldMs(const OutageQuery &query);

/** \returns when a caller who is refused should come back, in ms
 *
 * When the leader is expected at first; later in proportion to what the outage has lasted. Spread over a part of that time.
 */
std::uint64_t outageRetryAfterMs(const OutageQuery &query);

} // namespace Apricothead
