#pragma once

#include "IncarnationTable.h"
#include "SessionTable.h"
#include "StateErrors.h"

namespace Apricothead {

/** \class AdmissionContext
 * \ingroup State_Module
 * \brief The state at the log position of an admission, against which it is checked.
 */
struct AdmissionContext {
    const Wire::Configuration &configuration;
    const SessionTable &sessions;
    const IncarnationTable &incarnations;
};

/**
 * Checks that the organisation of \a admit may use the model and version, that the version is active, that the session is not bound to another
 * version, and that the endpoint process accepts new work.
 * \returns success, or an error that names the field and the remedy
 */
Check checkAdmissible(const AdmissionContext &context, const Wire::Admit &admit);

/** \enum AttemptRule
 * \ingroup State_Module
 * \brief Effect of an admission on the existing record of its key.
 */
enum class AttemptDecision {
    /** The proposal was resent: it gets the same answer. */
    Duplicate,
    /** The admission is the next attempt and replaces the record. */
    Replace,
    /** The record stays as it is and is returned. */
    Known,
    /** Refused: the request is not repeatable and there is no proof that the previous attempt did not run. */
    ProofMissing,
    /** Refused: the key was used for a request with another fingerprint. */
    KeyReused,
};

/** \returns the effect of \a admit on \a record; the configuration is not consulted */
AttemptDecision decideAttempt(const Wire::RequestRecord &record, const Wire::Admit &admit);

} // namespace Apricothead
