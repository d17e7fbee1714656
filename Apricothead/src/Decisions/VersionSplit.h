#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>

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
    bool mayFallBack = true;

    /** \returns whether an endpoint of \a version is on the wanted side */
    bool wants(const std::string &version) const
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
 * target is rolled back. Sessions are remembered for a bounded time only. A session that another gateway served until now is not known here, so
 * sessions join the canary only once it has run for as long as they may pause.
 */
class VersionSplit
{
public:
    /** \a sessionMs: requests of one session that follow each other within this time belong together. */
    explicit VersionSplit(std::uint64_t sessionMs);

    void setState(const Wire::ServingState &state, std::uint64_t nowMs);

    /** \a draw: uniform over all values; the same for all requests of a session. */
    VersionRule rule(const std::string &service, const std::string &session, std::uint64_t draw, std::uint64_t nowMs);

    /** A request of \a session was sent to \a version. */
    void note(const std::string &service, const std::string &session, const std::string &version, std::uint64_t nowMs);

private:
    struct Pin {
        std::string version;
        std::uint64_t usedMs = 0;
    };
    void forgetOld(std::uint64_t nowMs);

    std::uint64_t sessionMs;
    std::map<std::string, Wire::ServiceRollout> rollouts;
    /** When the target got its first share, by the order of the roll-out. */
    std::map<std::uint64_t, std::uint64_t> sharedSinceMs;
    std::map<std::pair<std::string, std::string>, Pin> pins;
    std::uint64_t sweptMs = 0;
};

} // namespace Apricothead
