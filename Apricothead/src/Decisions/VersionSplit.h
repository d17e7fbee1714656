#pragma once

#include "LruMap.h"

#include "../Protocol/Messages.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** How far a VersionRule prefers a version. */
enum class VersionRank : std::uint8_t {
    Preferred,
    /** Allowed where the rule has a fallback. */
    Other,
    /** Allowed when no endpoint of a preferred version is there. */
    Overtaken,
    Excluded,
};

/** \class VersionRule
 * \ingroup Decisions_Module
 * \brief The versions of a service that a request can be sent to.
 */
struct VersionRule {
    /** The target version of the roll-out; empty for all versions. */
    std::string target;
    /** Whether the request is to be sent to the target version, or to any other one. */
    bool wantsTarget = false;
    /** Whether versions that do not match are allowed when no endpoint of a matching one is available. */
    bool isFallbackAllowed = true;
    /** Versions that were rolled back and not ordered again. They get no request, even when nothing else serves: what they are known to do to a
     * request is worse than its refusal, which the caller may repeat. */
    std::vector<std::string> withdrawn;
    /** Versions whose roll-out another order replaced. They are neither the former version nor proven bad: they serve when nothing else is there. */
    std::vector<std::string> overtaken;

    /** \returns how far the rule prefers \a version */
    VersionRank rank(const std::string &version) const
    {
        if (std::ranges::find(this->withdrawn, version) != this->withdrawn.end()) {
            return VersionRank::Excluded;
        }
        if (std::ranges::find(this->overtaken, version) != this->overtaken.end()) {
            return VersionRank::Overtaken;
        }
        const bool isPreferred = this->target.empty() || (version == this->target) == this->wantsTarget;
        return isPreferred ? VersionRank::Preferred : VersionRank::Other;
    }

    /** \returns whether the rule prefers \a version */
    bool matches(const std::string &version) const
    {
        return this->rank(version) == VersionRank::Preferred;
    }

    bool operator==(const VersionRule &) const = default;
};

/** \class VersionSplit
 * \ingroup Decisions_Module
 * \brief Splits the requests of a service between versions during a roll-out, and keeps sessions on their version.
 *
 * A session on the previous version stays there while the target has only the share of a canary, and a session on the target stays there until the
 * target is rolled back. Sessions are kept for a limited time only. Callers move between gateways, so gateways report to each other the few
 * sessions that the canary's share would take from the previous version. Sessions join the canary only once it has run for as long as a session can
 * pause: by then, all of these have been reported. Callers choose the names of sessions, so those that are kept and reported have a bound, and the
 * least recently used give way.
 */
class VersionSplit
{
public:
    /** Sessions that are kept, here and as held by other gateways. */
    static constexpr std::size_t MaxSessions = 32'768;
    /** Sessions that a gateway reports at most at a time, the most recently used. */
    static constexpr std::size_t MaxReportedSessions = 4096;

    /** \a sessionMs: how long a session can pause between two requests; after a longer pause it is no longer bound to its version. */
    explicit VersionSplit(std::uint64_t sessionMs);

    void setState(const Wire::ServingState &state, std::uint64_t nowMs);

    /** \returns the versions that a request can be sent to. \a draw: a uniformly distributed value, the same for all requests of a session */
    VersionRule rule(const std::string &service, const std::string &session, std::uint64_t draw, std::uint64_t nowMs);

    /** Records that a request of \a session was sent to \a version. \sa recordEnd() */
    void recordStart(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs);
    /** Records the end of a request. The pause of a session begins at the end of its last request. */
    void recordEnd(const std::string &service, const std::string &session, std::uint64_t nowMs);

    /** \returns keys of the sessions that are pinned to a previous version here and that the canary's share would take, to be reported to the other
     * gateways */
    std::vector<std::uint64_t> heldSessions(std::uint64_t nowMs) const;

    /** Records the sessions that other gateways have pinned to a previous version; each is kept for the session time. */
    void setOtherHeldSessions(const std::vector<std::uint64_t> &sessions, std::uint64_t nowMs);

    /** \returns the number of sessions that are kept here */
    std::size_t sessionCount() const;
    /** \returns the number of sessions that are kept as held by other gateways */
    std::size_t otherSessionCount() const;

private:
    struct Pin {
        std::string service;
        std::string version;
        /** uniformHash() of the session. */
        std::uint64_t draw = 0;
        std::uint64_t lastUsedMs = 0;
        /** Requests that have not ended. */
        unsigned activeRequests = 0;
    };
    /** The targets of earlier roll-outs of one service that get no ordinary requests. */
    struct PastTargets {
        std::vector<std::string> withdrawn;
        std::vector<std::string> overtaken;
    };
    bool isActive(const Pin &pin, std::uint64_t nowMs) const;
    bool isHeldElsewhere(const std::string &service, const std::string &session, std::uint64_t nowMs) const;
    void removeExpired(std::uint64_t nowMs);

    std::uint64_t sessionMs;
    std::map<std::string, Wire::ServiceRollout> rollouts;
    std::map<std::string, PastTargets> pastTargets;
    /** When the target received its first share, by the order number of the roll-out. */
    std::map<std::uint64_t, std::uint64_t> firstShareMs;
    /** By sessionKey(). */
    LruMap<std::uint64_t, Pin> pins{MaxSessions};
    /** Time until which another gateway has pinned a session, by sessionKey(). */
    LruMap<std::uint64_t, std::uint64_t> heldElsewhereUntilMs{MaxSessions};
    std::uint64_t lastCleanupMs = 0;
};

/** \returns a uniformly distributed hash of \a name, a session's name or a request's id, that is the same at all gateways */
std::uint64_t uniformHash(std::string_view name);

} // namespace Apricothead
