#pragma once

#include "../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** \class VersionRequest
 * \ingroup Decisions_Module
 * \brief What the choice of a version depends on.
 */
struct VersionRequest {
    std::string organisation;
    std::string model;
    /** Session id, or the request's key where there is no session: equal subjects get equal versions while the share stands. */
    std::string subject;
    /** Version that the session is known to be bound to; empty when none is known. */
    std::string sessionVersion;
    /** The version in roll-out may take no further open answer. \sa RolloutController::canAcceptMore */
    bool rolloutFull = false;

    bool operator==(const VersionRequest &) const = default;
};

/** \class VersionDecision
 * \ingroup Decisions_Module
 * \brief The version to run on, or none, with the reason.
 */
struct VersionDecision {
    /** Empty when the request may not run. */
    std::string version;
    /** \c session, \c stable, \c rollout-share, \c rollout-full, \c fallback, or when empty \c unknown-organisation, \c model-not-allowed,
     * \c session-version-withdrawn, \c session-version-not-allowed, \c no-active-version. */
    std::string reason;

    bool operator==(const VersionDecision &) const = default;
};

/** Chooses the version for a request. \returns the decision; never a withdrawn version nor one that the organisation does not allow */
VersionDecision chooseVersion(const Wire::Configuration &configuration, const VersionRequest &request);

/** \returns a number in [0, 1000) that is the same in every process and run for the same roll-out and subject */
unsigned rolloutBucket(const std::string &toVersion, const std::string &organisation, const std::string &subject);

} // namespace Apricothead
