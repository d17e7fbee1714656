#pragma once

#include "IncarnationTable.h"
#include "SessionTable.h"
#include "StateErrors.h"

namespace Apricothead {

/** \class AdmissionContext
 * \ingroup State_Module
 * \brief What an admission is decided against: the state at its log position.
 */
struct AdmissionContext {
    const Wire::Configuration &configuration;
    const SessionTable &sessions;
    const IncarnationTable &incarnations;
};

/** Passes an admission whose organisation may use the active version, whose session is not bound elsewhere, and whose endpoint process may take work. */
Check checkAdmissible(const AdmissionContext &context, const Wire::Admit &admit);

/** \enum AttemptRule
 * \ingroup State_Module
 * \brief What an admission does to the record that stands under its key.
 */
enum class AttemptDecision {
    /** The same proposal again: it gets the same answer. */
    Duplicate,
    /** A new attempt may replace the record. */
    Replace,
    /** The record stands. */
    Known,
    /** A second run would need proof that the first did not run. */
    ProofMissing,
    /** The key was used for another request. */
    KeyReused,
};

/** \returns what \a admit does to \a record, whatever the configuration says */
AttemptDecision decideAttempt(const Wire::RequestRecord &record, const Wire::Admit &admit);

} // namespace Apricothead
