#include "RolloutController.h"

#include "../State/ConfigurationLookup.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace Apricothead {

namespace {

constexpr unsigned FullPermille = 1000;
const std::string Actor = "automatic-rollout";

bool isActive(const Wire::Configuration &configuration, const std::string &version)
{
    const Wire::Version *known = findVersion(configuration, version);
    return known != nullptr && known->state() == Wire::VERSION_STATE_ACTIVE;
}

/** \returns an id that is equal for all instances that take the same decision at the same revision, and differs between decisions */
std::string commandId(const std::string &action, const Wire::Rollout &rollout, unsigned sharePermille, std::uint64_t revision)
{
    return Actor + '/' + rollout.model() + '/' + rollout.to_version() + '/' + action + '/' + std::to_string(sharePermille) + "/r" + std::to_string(revision);
}

Wire::Command commandFor(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const std::string &action, unsigned sharePermille)
{
    Wire::Command command;
    command.set_command_id(commandId(action, rollout, sharePermille, configuration.revision()));
    command.set_expected_revision(configuration.revision());
    command.set_actor(Actor);
    return command;
}

IndicatorCounts beforeWindow(const IndicatorCounts &all, const IndicatorCounts &window, const IndicatorCounts &previous)
{
    return {.occurrences = all.occurrences - window.occurrences + previous.occurrences, .answers = all.answers - window.answers + previous.answers};
}

/** \returns the counts of a version before \a window, plus those of the previous version */
EvidenceSpan beforeWindow(const EvidenceSpan &all, const EvidenceSpan &window, const EvidenceSpan &previous)
{
    return {.failed = beforeWindow(all.failed, window.failed, previous.failed),
            .late = beforeWindow(all.late, window.late, previous.late),
            .lowRated = beforeWindow(all.lowRated, window.lowRated, previous.lowRated)};
}

} // namespace

std::string rolloutActionName(RolloutAction action)
{
    switch (action) {
    case RolloutAction::Hold:
        return "hold";
    case RolloutAction::Step:
        return "step";
    case RolloutAction::Finish:
        return "finish";
    case RolloutAction::Withdraw:
        return "withdraw";
    case RolloutAction::Halt:
        return "halt";
    case RolloutAction::Alarm:
        return "alarm";
    }
    return "hold";
}

RolloutController::RolloutController(RolloutOptions givenOptions) : options(std::move(givenOptions))
{ }

RolloutController::Evaluation RolloutController::evaluateRollout(const Wire::Rollout &rollout, const EvidenceStore &store) const
{
    const std::vector<EvidenceSpan> spans = store.spans(rollout.to_version());
    const std::vector<EvidenceSpan> previous = store.spans(rollout.from_version());
    Evaluation evaluation;
    evaluation.totals = sumSpans(spans, 0);
    // The previous version's answers during the roll-out distinguish a bad version from a general disturbance; its longer history
    // is the prior.
    const EvidenceSpan concurrent = sumSpans(previous, spans.empty() ? 0 : spans.front().startMs);
    this->setBaseline(evaluation, concurrent, sumSpans(previous, 0));
    evaluation.lateLogEvidence = logEvidence(evaluation.totals.late, evaluation.baselineLate);
    evaluation.worseLogEvidence = logEvidence(evaluation.totals.failed, evaluation.baselineFailed)
        + logEvidence(evaluation.totals.lowRated, evaluation.baselineLowRated) + evaluation.lateLogEvidence;
    return evaluation;
}

RolloutController::Evaluation RolloutController::evaluateCompleted(const Wire::Rollout &rollout, const EvidenceStore &store) const
{
    const std::vector<EvidenceSpan> spans = store.spans(rollout.to_version());
    const std::vector<EvidenceSpan> previous = store.spans(rollout.from_version());
    const EvidenceSpan all = sumSpans(spans, 0);
    const EvidenceSpan previousAll = sumSpans(previous, 0);
    Evaluation strongest;
    strongest.totals = all;
    this->setBaseline(strongest, {}, previousAll);
    // A version may turn bad at any time. So windows that end now are tested, each twice as long as the one before, against the
    // earlier counts of this version and those of the previous one.
    for (std::size_t length = 1; length <= std::max<std::size_t>(1, spans.size() / 2) && length <= spans.size(); length *= 2) {
        const std::int64_t fromMs = spans[spans.size() - length].startMs;
        const EvidenceSpan window = sumSpans(spans, fromMs);
        Evaluation evaluation;
        evaluation.totals = window;
        this->setBaseline(evaluation, sumSpans(previous, fromMs), beforeWindow(all, window, previousAll));
        evaluation.worseLogEvidence = logEvidence(window.failed, evaluation.baselineFailed) + logEvidence(window.lowRated, evaluation.baselineLowRated);
        evaluation.lateLogEvidence = logEvidence(window.late, evaluation.baselineLate);
        const double late = std::max(strongest.lateLogEvidence, evaluation.lateLogEvidence);
        if (evaluation.worseLogEvidence > strongest.worseLogEvidence) {
            strongest = evaluation;
        }
        strongest.lateLogEvidence = late;
    }
    return strongest;
}

void RolloutController::setBaseline(Evaluation &evaluation, const EvidenceSpan &concurrent, const EvidenceSpan &history) const
{
    const auto baseline = [this](const IndicatorCounts &now, const IndicatorCounts &before, double assumed) {
        const double share = baselineShare(before, assumed, this->options.priorAnswers);
        return std::max(share, baselineShare(now, share, this->options.priorAnswers));
    };
    evaluation.baselineFailed = baseline(concurrent.failed, history.failed, this->options.baselineFailed);
    evaluation.baselineLate = baseline(concurrent.late, history.late, this->options.baselineLate);
    evaluation.baselineLowRated = baseline(concurrent.lowRated, history.lowRated, this->options.baselineLowRated);
}

bool RolloutController::rulesOutExcess(const Evaluation &evaluation, double tolerance) const
{
    const auto rulesOut = [&](const IndicatorCounts &counts, double baseline) {
        return logLikelihoodRatio(counts, baseline, baseline + (1 - baseline) * tolerance) <= -this->options.stepLogEvidence;
    };
    const bool ratings = evaluation.totals.lowRated.answers > 0;
    return rulesOut(evaluation.totals.failed, evaluation.baselineFailed) && (!ratings || rulesOut(evaluation.totals.lowRated, evaluation.baselineLowRated));
}

std::string RolloutController::evidenceLine(const Evaluation &evaluation)
{
    const EvidenceSpan &totals = evaluation.totals;
    char line[200];
    std::snprintf(line,
                  sizeof line,
                  "failed %.0f/%.0f (usual %.1f%%), late %.0f/%.0f, rated low %.0f/%.0f (usual %.1f%%), evidence %.1f",
                  totals.failed.occurrences,
                  totals.failed.answers,
                  100 * evaluation.baselineFailed,
                  totals.late.occurrences,
                  totals.late.answers,
                  totals.lowRated.occurrences,
                  totals.lowRated.answers,
                  100 * evaluation.baselineLowRated,
                  evaluation.worseLogEvidence);
    return line;
}

RolloutDecision RolloutController::makeWithdrawal(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const Evaluation &evaluation) const
{
    RolloutDecision decision{.action = RolloutAction::Withdraw,
                             .model = rollout.model(),
                             .version = rollout.to_version(),
                             .reason = "bad-answers",
                             .evidence = evidenceLine(evaluation)};
    if (!isActive(configuration, rollout.from_version())) {
        decision.action = RolloutAction::Alarm;
        decision.reason = "nothing-to-go-back-to";
        return decision;
    }
    decision.command = commandFor(configuration, rollout, "withdraw", 0);
    Wire::WithdrawVersion *withdraw = decision.command.mutable_change()->mutable_withdraw_version();
    withdraw->set_version(rollout.to_version());
    withdraw->set_reason(decision.evidence);
    withdraw->set_replacement(rollout.from_version());
    return decision;
}

RolloutDecision RolloutController::makeRolloutChange(const Wire::Configuration &configuration,
                                                     const Wire::Rollout &rollout,
                                                     RolloutAction action,
                                                     unsigned sharePermille,
                                                     Wire::RolloutState state) const
{
    RolloutDecision decision{.action = action, .model = rollout.model(), .version = rollout.to_version(), .sharePermille = sharePermille};
    decision.command = commandFor(configuration, rollout, rolloutActionName(action), sharePermille);
    Wire::SetRollout *set = decision.command.mutable_change()->mutable_set_rollout();
    set->set_model(rollout.model());
    set->set_state(state);
    set->set_share_permille(sharePermille);
    return decision;
}

RolloutDecision
RolloutController::decideRunning(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const EvidenceStore &store, std::int64_t nowMs)
{
    if (!isActive(configuration, rollout.to_version())) {
        RolloutDecision halt = this->makeRolloutChange(configuration, rollout, RolloutAction::Halt, 0, Wire::ROLLOUT_STATE_HALTED);
        halt.reason = "version-withdrawn";
        halt.evidence = rollout.evidence();
        halt.command.mutable_change()->mutable_set_rollout()->set_evidence("version withdrawn");
        return halt;
    }
    const Evaluation evaluation = this->evaluateRollout(rollout, store);
    if (evaluation.worseLogEvidence >= this->options.haltLogEvidence) {
        return this->makeWithdrawal(configuration, rollout, evaluation);
    }
    RolloutDecision hold{.model = rollout.model(),
                         .version = rollout.to_version(),
                         .sharePermille = rollout.share_permille(),
                         .reason = "evidence-awaited",
                         .evidence = evidenceLine(evaluation)};
    const auto step = std::find_if(this->options.steps.begin(), this->options.steps.end(), [&rollout](const RolloutStep &known) {
        return known.sharePermille >= rollout.share_permille();
    });
    if (rollout.state() == Wire::ROLLOUT_STATE_PAUSED || step == this->options.steps.end()) {
        return hold;
    }
    if (nowMs - this->unchangedSince(rollout, nowMs) < this->options.minStepMs) {
        hold.reason = "step-too-young";
        return hold;
    }
    if (evaluation.totals.failed.answers < step->minAnswers || !this->rulesOutExcess(evaluation, step->tolerance)) {
        return hold;
    }
    const bool last = step->sharePermille >= FullPermille || std::next(step) == this->options.steps.end();
    RolloutDecision next = last
        ? this->makeRolloutChange(configuration, rollout, RolloutAction::Finish, FullPermille, Wire::ROLLOUT_STATE_DONE)
        : this->makeRolloutChange(configuration, rollout, RolloutAction::Step, std::next(step)->sharePermille, Wire::ROLLOUT_STATE_RUNNING);
    next.reason = "evidence-good";
    next.evidence = hold.evidence;
    next.command.mutable_change()->mutable_set_rollout()->set_evidence(hold.evidence);
    return next;
}

std::int64_t RolloutController::unchangedSince(const Wire::Rollout &rollout, std::int64_t nowMs)
{
    ObservedRollout &observed = this->observedByModel[rollout.model()];
    if (observed.revision != rollout.changed_revision()) {
        observed = {.revision = rollout.changed_revision(), .sinceMs = nowMs};
    }
    return observed.sinceMs;
}

std::vector<RolloutDecision> RolloutController::decide(const Wire::Configuration &configuration, const EvidenceStore &store, std::int64_t nowMs)
{
    std::vector<RolloutDecision> decisions;
    for (const Wire::Rollout &rollout : configuration.rollouts()) {
        if (isOpen(rollout)) {
            decisions.push_back(this->decideRunning(configuration, rollout, store, nowMs));
            continue;
        }
        if (rollout.state() != Wire::ROLLOUT_STATE_DONE || !isActive(configuration, rollout.to_version())) {
            continue;
        }
        const Evaluation evaluation = this->evaluateCompleted(rollout, store);
        if (evaluation.worseLogEvidence >= this->options.watchLogEvidence) {
            decisions.push_back(this->makeWithdrawal(configuration, rollout, evaluation));
        } else if (evaluation.lateLogEvidence >= this->options.watchLogEvidence) {
            decisions.push_back({.action = RolloutAction::Alarm,
                                 .model = rollout.model(),
                                 .version = rollout.to_version(),
                                 .reason = "late-after-rollout",
                                 .evidence = evidenceLine(evaluation)});
        }
    }
    return decisions;
}

bool RolloutController::canAcceptMore(const Wire::Configuration &configuration,
                                      const std::string &version,
                                      const EvidenceStore &store,
                                      unsigned entries,
                                      std::int64_t nowMs) const
{
    const auto rollout = std::find_if(configuration.rollouts().begin(), configuration.rollouts().end(), [&version](const Wire::Rollout &known) {
        return known.to_version() == version && known.state() != Wire::ROLLOUT_STATE_DONE;
    });
    if (rollout == configuration.rollouts().end()) {
        return true;
    }
    const EvidenceSpan totals = store.totals(version);
    const double endedAnswers = totals.lowRated.answers > 0 ? std::min(totals.failed.answers, totals.lowRated.answers) : totals.failed.answers;
    const double maxOpen = this->options.baseOpenAnswers + std::floor(endedAnswers / std::max(1U, this->options.endedPerOpenAnswer));
    // The open answers of peers are known with a delay, so each entry also observes its own share of the limit.
    const double maxLocalOpen = std::max(1.0, std::ceil(maxOpen / std::max(1U, entries)));
    return store.localOpenAnswers(version) < maxLocalOpen && store.openAnswers(version, nowMs) < maxOpen;
}

} // namespace Apricothead
