#pragma once

#include "EvidenceStore.h"

namespace Apricothead {

/** \class RolloutStep
 * \ingroup Decisions_Module
 * \brief A share of the traffic, and the evidence that allows to go beyond it.
 */
struct RolloutStep {
    unsigned sharePermille = 0;
    /** Ended answers of the new version, at least, before the next step. */
    double minAnswers = 0;
    /** The evidence must speak against an excess of bad answers of this much. */
    double tolerance = 0.2;
};

/** \class RolloutOptions
 * \ingroup Decisions_Module
 * \brief How carefully versions are rolled out and watched.
 */
struct RolloutOptions {
    std::vector<RolloutStep> steps{{20, 20, 0.2}, {100, 60, 0.12}, {300, 150, 0.08}, {1000, 300, 0.06}};
    /** A step lasts at least this long. */
    std::int64_t minStepMs = 20000;
    /** Logarithm of the evidence that halts a roll-out, and that withdraws a version after it. */
    double haltLogEvidence = 6.0;
    double watchLogEvidence = 9.0;
    /** Logarithm of the evidence against the tolerated excess, before a step. */
    double stepLogEvidence = 2.0;
    /** Open answers of a version in roll-out, at all entries: this many, and one more for each so many ended ones. */
    unsigned baseOpenAnswers = 5;
    unsigned endedPerOpenAnswer = 4;
    /** What a good version is assumed to show before the former version's answers say more. */
    double baselineFailed = 0.01;
    double baselineLate = 0.02;
    double baselineLowRated = 0.05;
    double priorAnswers = 60;
};

/** \enum RolloutAction
 * \ingroup Decisions_Module
 * \brief What is to be done about a version.
 */
enum class RolloutAction {
    Hold,
    Step,
    Finish,
    Withdraw,
    Halt,
    /** The version is bad, and there is none to go back to: an operator is needed. */
    Alarm,
};

/** \returns the action as logged: \c hold, \c step, \c finish, \c withdraw, \c halt or \c alarm */
std::string rolloutActionName(RolloutAction action);

/** \class RolloutDecision
 * \ingroup Decisions_Module
 * \brief One decision on a version, with its command for the replicated log.
 */
struct RolloutDecision {
    RolloutAction action = RolloutAction::Hold;
    std::string model;
    std::string version;
    unsigned sharePermille = 0;
    /** \c bad-answers, \c evidence-good, \c evidence-awaited, \c step-too-young, \c version-withdrawn, \c nothing-to-go-back-to, or \c late-after-rollout:
     * without another version beside it, lateness may as well be load, so nothing is withdrawn for it. */
    std::string reason;
    /** One line for the operator. */
    std::string evidence;
    /** Empty (no body) for hold and alarm. Its command id follows from the decision and the revision alone, so that instances which
     * decide at once propose one and the same command, and a resend is answered as the first. */
    Wire::Command command;
};

/** \class RolloutController
 * \ingroup Decisions_Module
 * \brief Takes versions into use step by step, and out of use when they turn bad, by evidence from all entries.
 *
 * The share and state of a roll-out live in the configuration, and the evidence in the EvidenceStore. So any number of instances
 * may decide at once, and one that restarts goes on where the configuration stands.
 */
class RolloutController
{
public:
    explicit RolloutController(RolloutOptions options = {});

    /** \returns one decision for each running roll-out, and one for each bad version after its roll-out */
    std::vector<RolloutDecision> decide(const Wire::Configuration &configuration, const EvidenceStore &store, std::int64_t nowMs);

    /** \returns whether \a version may take another request at this entry, one of \a entries, while its roll-out runs
     * \sa VersionRequest::rolloutFull */
    bool
    canAcceptMore(const Wire::Configuration &configuration, const std::string &version, const EvidenceStore &store, unsigned entries, std::int64_t nowMs) const;

private:
    struct Evaluation {
        /** Logarithm of the evidence that the version is worse than the former one. */
        double worseLogEvidence = 0;
        /** The part of it from late first tokens; after a roll-out it is no part of it. */
        double lateLogEvidence = 0;
        EvidenceSpan totals;
        double baselineFailed = 0;
        double baselineLate = 0;
        double baselineLowRated = 0;
    };

    /** Since when this instance knows the roll-out as it stands. */
    struct ObservedRollout {
        std::uint64_t revision = 0;
        std::int64_t sinceMs = 0;
    };

    std::int64_t unchangedSince(const Wire::Rollout &rollout, std::int64_t nowMs);
    Evaluation evaluateRollout(const Wire::Rollout &rollout, const EvidenceStore &store) const;
    Evaluation evaluateCompleted(const Wire::Rollout &rollout, const EvidenceStore &store) const;
    void setBaseline(Evaluation &evaluation, const EvidenceSpan &concurrent, const EvidenceSpan &history) const;
    RolloutDecision decideRunning(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const EvidenceStore &store, std::int64_t nowMs);
    RolloutDecision makeWithdrawal(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const Evaluation &evaluation) const;
    RolloutDecision makeRolloutChange(const Wire::Configuration &configuration,
                                      const Wire::Rollout &rollout,
                                      RolloutAction action,
                                      unsigned sharePermille,
                                      Wire::RolloutState state) const;
    bool rulesOutExcess(const Evaluation &evaluation, double tolerance) const;
    static std::string evidenceLine(const Evaluation &evaluation);

    RolloutOptions options;
    std::map<std::string, ObservedRollout> observedByModel;
};

} // namespace Apricothead
