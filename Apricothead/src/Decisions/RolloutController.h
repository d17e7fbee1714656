#pragma once

#include "EvidenceStore.h"

namespace Apricothead {

/** \class RolloutStep
 * \ingroup Decisions_Module
 * \brief A share of the traffic, and the evidence required to exceed it.
 */
struct RolloutStep {
    unsigned sharePermille = 0;
    /** Minimum number of ended answers of the new version before the next step. */
    double minAnswers = 0;
    /** The evidence must rule out that the share of bad answers exceeds the baseline by this much. */
    double tolerance = 0.2;
};

/** \class RolloutOptions
 * \ingroup Decisions_Module
 * \brief Options of a RolloutController: steps, evidence thresholds and priors.
 */
struct RolloutOptions {
    std::vector<RolloutStep> steps{{20, 20, 0.2}, {100, 60, 0.12}, {300, 150, 0.08}, {1000, 300, 0.06}};
    /** Minimum duration of a step. */
    std::int64_t minStepMs = 20000;
    /** Logarithm of the evidence at which a version in roll-out is withdrawn, and, as watchLogEvidence, at which one is withdrawn after its roll-out. */
    double haltLogEvidence = 6.0;
    double watchLogEvidence = 9.0;
    /** Logarithm of the evidence against the tolerated excess that a step requires. */
    double stepLogEvidence = 2.0;
    /** Limit on the open answers of a version in roll-out, over all entries: baseOpenAnswers, plus one for each endedPerOpenAnswer ended
     * answers. */
    unsigned baseOpenAnswers = 5;
    unsigned endedPerOpenAnswer = 4;
    /** Baseline shares of failed, late and low-rated answers that are assumed until the previous version has enough answers. They have the
     * weight of priorAnswers answers. */
    double baselineFailed = 0.01;
    double baselineLate = 0.02;
    double baselineLowRated = 0.05;
    double priorAnswers = 60;
};

/** \enum RolloutAction
 * \ingroup Decisions_Module
 * \brief The action to take for a version.
 */
enum class RolloutAction {
    Hold,
    Step,
    Finish,
    Withdraw,
    Halt,
    /** The controller cannot act by itself and an operator has to: there is no version to fall back to, or a version became slow after
     * its roll-out. */
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
    /** \c bad-answers, \c evidence-good, \c evidence-awaited, \c step-too-young, \c version-withdrawn, \c nothing-to-go-back-to, or
     * \c late-after-rollout. Late answers alone do not withdraw a version after its roll-out: without another version to compare with,
     * load may be the cause as well. */
    std::string reason;
    /** Summary of the evidence for operators, in one line. */
    std::string evidence;
    /** Without a body for hold and alarm. The command id is derived from the decision and the revision only, so instances that decide
     * concurrently propose the same command, and a resent command gets the first one's result. */
    Wire::Command command;
};

/** \class RolloutController
 * \ingroup Decisions_Module
 * \brief Rolls out versions step by step and withdraws those that turn out bad, based on evidence from all entries.
 *
 * The share and the state of a roll-out are part of the configuration, and the evidence is kept by the EvidenceStore. So any number
 * of instances can decide concurrently, and an instance that restarts continues from the configuration.
 */
class RolloutController
{
public:
    explicit RolloutController(RolloutOptions options = {});

    /** \returns one decision for each open roll-out, and one for each version that turns bad after its roll-out */
    std::vector<RolloutDecision> decide(const Wire::Configuration &configuration, const EvidenceStore &store, std::int64_t nowMs);

    /** \returns whether this entry, one of \a entries, can send \a version another request while its roll-out is not done
     * \sa VersionRequest::rolloutFull */
    bool
    canAcceptMore(const Wire::Configuration &configuration, const std::string &version, const EvidenceStore &store, unsigned entries, std::int64_t nowMs) const;

private:
    struct Evaluation {
        /** Logarithm of the evidence that the version is worse than the previous one. */
        double worseLogEvidence = 0;
        /** Logarithm of the evidence from late first tokens. It is included in worseLogEvidence during a roll-out, but not afterwards. */
        double lateLogEvidence = 0;
        EvidenceSpan totals;
        double baselineFailed = 0;
        double baselineLate = 0;
        double baselineLowRated = 0;
    };

    /** Revision of a roll-out, and since when this instance has observed it. */
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
