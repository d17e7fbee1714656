#pragma once

#include "../../Protocol/CallerError.h"
#include "../../Protocol/Messages.h"

#include <string>

namespace Apricothead {

/** \returns the refusal for a request that found no version. \a reason is that of a VersionDecision */
CallerError noVersionError(const std::string &reason, const std::string &model);

/** \returns the refusal for a request that found no endpoint. \a reason is that of a RoutingDecision */
CallerError noEndpointError(const std::string &reason);

/** \returns the refusal for an admission that the state machine refused */
CallerError admissionError(const Wire::Error &error);

/** \returns the refusal while no majority of the replicas can admit */
CallerError noQuorumError();

/** \returns the refusal while this entry stops */
CallerError leavingError();

/** \returns the error for a request whose deadline passed */
CallerError deadlineError(Verdict verdict);

/** \returns the refusal after an endpoint process refused a run and no further attempt is made */
CallerError refusedRunError(Wire::RefusalReason reason, Verdict verdict);

/** \returns the error for a run whose endpoint process is gone */
CallerError lostRunError(Verdict verdict);

/** \returns the error for a run that ended without a whole answer */
CallerError failedRunError(const Wire::RunDone &done);

/** \returns the refusal for a request that ended before and whose answer is no longer kept */
CallerError answerGoneError(const Wire::RequestRecord &record);

} // namespace Apricothead
