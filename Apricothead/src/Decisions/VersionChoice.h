#pragma once

#include "../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** \class VersionRequest
 * \ingroup Decisions_Module
 * \brief The inputs for choosing a version.
 */
struct VersionRequest {
    std::string organisation;
    std::string model;
    /** Session id, or the request's key when there is no session. Equal subjects are assigned equal versions while the share does not change. */
    std::string subject;
    /** The version that the session is bound to, empty when none is known. */
    std::string sessionVersion;
    /** Whether the version in roll-out has reached its limit on open answers. \sa RolloutController::canAcceptMore */
    bool rolloutFull = false;

    bool operator==(const VersionRequest &) const = default;
};

/** \class VersionDecision
 * \ingroup Decisions_Module
 * \brief The version that a request runs on, or none, with the reason.
 */
struct VersionDecision {
    /** Empty when the request is refused. */
    std::string version;
    /** \c session, \c stable, \c rollout-share, \c rollout-full, \c fallback; for an empty version \c unknown-organisation, \c model-not-allowed,
     * \c session-version-withdrawn, \c session-version-not-allowed, \c no-active-version. */
    std::string reason;

    bool operator==(const VersionDecision &) const = default;
};

/** Chooses the version for a request. \returns the decision; never a version that is withdrawn or not allowed for the organisation */
VersionDecision chooseVersion(const Wire::Configuration &configuration, const VersionRequest &request);

/** \returns a number in [0, 1000) that depends only on the roll-out, the organisation and the subject, so it is the same in every process */
unsigned rolloutBucket(const std::string &toVersion, const std::string &organisation, const std::string &subject);

} // namespace Apricothead
