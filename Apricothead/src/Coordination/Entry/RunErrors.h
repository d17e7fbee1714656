#pragma once

#include "../../Protocol/CallerError.h"
#include "../../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** \returns the error for a request without a usable version; \a reason is VersionDecision::reason */
CallerError noVersionError(const std::string &reason, const std::string &model);

/** \returns the error for a request without a usable endpoint; \a reason is RoutingDecision::reason */
CallerError noEndpointError(const std::string &reason);

/** \returns the error for an admission that the state machine refused */
CallerError admissionError(const Wire::Error &error);

/** \returns the error for a request that no majority of the replicas admitted in time */
CallerError noQuorumError();

/** \returns the error for a request that arrives or is still open while this entry stops */
CallerError leavingError();

/** \returns the error for a request whose deadline passed */
CallerError deadlineError(Verdict verdict);

/** \returns the error for a run that an endpoint process refused and that is not retried */
CallerError refusedRunError(Wire::RefusalReason reason, Verdict verdict);

/** \returns the error for a run whose endpoint process was lost */
CallerError lostRunError(Verdict verdict);

/** \returns the error for a run that ended without a complete answer */
CallerError failedRunError(const Wire::RunDone &done);

/** \returns the error for an answer that takes more memory than one may, or than the process has left for it */
CallerError answerTooLargeError();

/** \returns the error for a repeated request whose answer is no longer kept */
CallerError answerGoneError(const Wire::RequestRecord &record);

} // namespace Apricothead
