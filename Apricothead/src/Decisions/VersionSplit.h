#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Apricothead {

/** \class VersionRule
 * \ingroup Decisions_Module
 * \brief Which versions of a service one request may go to.
 */
struct VersionRule {
    /** Empty: all versions. */
    std::string target;
    bool wantsTarget = false;
    /** Whether the other side may answer when the wanted one has no endpoint. */
    bool isFallbackAllowed = true;

    /** \returns whether an endpoint of \a version is on the wanted side */
    bool matches(const std::string &version) const
    {
        return this->target.empty() || (version == this->target) == this->wantsTarget;
    }

    bool operator==(const VersionRule &) const = default;
};

/** \class VersionSplit
 * \ingroup Decisions_Module
 * \brief Splits the requests of a service between versions during a roll-out, and keeps sessions on their version.
 *
 * A session that was on the former version stays there while the share is the canary's, and a session on the target stays there until the
 * target is rolled back. Sessions are remembered for a bounded time only. Callers move between gateways: so gateways tell each other the few
 * sessions that the canary's share would take from the former version, and sessions join the canary only once it has run for as long as they
 * may pause, which is when all of those have been told.
 */
class VersionSplit
{
public:
    /** \a sessionMs: requests of one session that follow each other within this time belong together. */
    explicit VersionSplit(std::uint64_t sessionMs);

    void setState(const Wire::ServingState &state, std::uint64_t nowMs);

    /** \a draw: uniform over all values; the same for all requests of a session. */
    VersionRule rule(const std::string &service, const std::string &session, std::uint64_t draw, std::uint64_t nowMs);

    /** A request of \a session was sent to \a version. \sa recordEnd() */
    void recordStart(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs);
    /** A session pauses from the end of its last request on. */
    void recordEnd(const std::string &service, const std::string &session, std::uint64_t nowMs);

    /** \returns sessions held on a former version here that a canary's share would take, for the other gateways */
    std::vector<std::uint64_t> heldSessions(std::uint64_t nowMs) const;

    /** Sessions that other gateways hold on a former version. */
    void setOtherHeldSessions(const std::vector<std::uint64_t> &sessions, std::uint64_t nowMs);

private:
    struct Pin {
        std::string version;
        std::uint64_t lastUsedMs = 0;
        /** Requests under way. */
        unsigned activeRequests = 0;
    };
    bool isActive(const Pin &pin, std::uint64_t nowMs) const;
    bool isHeldElsewhere(const std::string &service, const std::string &session, std::uint64_t nowMs) const;
    void removeExpired(std::uint64_t nowMs);

    std::uint64_t sessionMs;
    std::map<std::string, Wire::ServiceRollout> rollouts;
    /** When the target got its first share, by the order of the roll-out. */
    std::map<std::uint64_t, std::uint64_t> firstShareMs;
    std::map<std::pair<std::string, std::string>, Pin> pins;
    /** Until when, by sessionKey(). */
    std::unordered_map<std::uint64_t, std::uint64_t> heldElsewhereUntilMs;
    std::uint64_t lastCleanupMs = 0;
};

/** \returns a value uniform over all, the same for all requests of a session at all gateways. \a drawn: its name, or a request's id */
std::uint64_t uniformHash(std::string_view drawn);

} // namespace Apricothead
