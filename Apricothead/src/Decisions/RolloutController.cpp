#include "RolloutController.h"

#include "../State/ConfigurationLookup.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace Apricothead {

namespace {

constexpr unsigned FullShare = 1000;
const std::string Actor = "automatic-rollout";

bool isActive(const Wire::Configuration &configuration, const std::string &version)
{
    const Wire::Version *known = findVersion(configuration, version);
    return known != nullptr && known->state() == Wire::VERSION_STATE_ACTIVE;
}

/** The same for all instances that take the same decision at the same revision, and never for two decisions. */
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

IndicatorCounts earlier(const IndicatorCounts &all, const IndicatorCounts &window, const IndicatorCounts &former)
{
    return {.seen = all.seen - window.seen + former.seen, .answers = all.answers - window.answers + former.answers};
}

/** \returns what a version showed before \a window, together with what the former version showed */
EvidenceSpan earlier(const EvidenceSpan &all, const EvidenceSpan &window, const EvidenceSpan &former)
{
    return {.failed = earlier(all.failed, window.failed, former.failed),
            .late = earlier(all.late, window.late, former.late),
            .lowRated = earlier(all.lowRated, window.lowRated, former.lowRated)};
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

RolloutController::RolloutController(RolloutOptions bounds) : options(std::move(bounds))
{ }

RolloutController::Judgement RolloutController::judgeRollout(const Wire::Rollout &rollout, const EvidenceBook &book) const
{
    const std::vector<EvidenceSpan> spans = book.spans(rollout.to_version());
    const std::vector<EvidenceSpan> former = book.spans(rollout.from_version());
    Judgement judgement;
    judgement.totals = sumOfSpans(spans, 0);
    // What the former version showed meanwhile tells a bad version from a bad hour; its longer past is the prior.
    const EvidenceSpan meanwhile = sumOfSpans(former, spans.empty() ? 0 : spans.front().startMs);
    this->setUsual(judgement, meanwhile, sumOfSpans(former, 0));
    judgement.late = logEvidence(judgement.totals.late, judgement.usualLate);
    judgement.bad
        = logEvidence(judgement.totals.failed, judgement.usualFailed) + logEvidence(judgement.totals.lowRated, judgement.usualLowRated) + judgement.late;
    return judgement;
}

RolloutController::Judgement RolloutController::judgeWatched(const Wire::Rollout &rollout, const EvidenceBook &book) const
{
    const std::vector<EvidenceSpan> spans = book.spans(rollout.to_version());
    const std::vector<EvidenceSpan> former = book.spans(rollout.from_version());
    const EvidenceSpan all = sumOfSpans(spans, 0);
    const EvidenceSpan formerAll = sumOfSpans(former, 0);
    Judgement worst;
    worst.totals = all;
    this->setUsual(worst, {}, formerAll);
    // A version may turn bad at any time: the windows that end now are looked at, each twice as long as the one before, against
    // what this version and the former one showed earlier.
    for (std::size_t length = 1; length <= std::max<std::size_t>(1, spans.size() / 2) && length <= spans.size(); length *= 2) {
        const std::int64_t fromMs = spans[spans.size() - length].startMs;
        const EvidenceSpan seen = sumOfSpans(spans, fromMs);
        Judgement judgement;
        judgement.totals = seen;
        this->setUsual(judgement, sumOfSpans(former, fromMs), earlier(all, seen, formerAll));
        judgement.bad = logEvidence(seen.failed, judgement.usualFailed) + logEvidence(seen.lowRated, judgement.usualLowRated);
        judgement.late = logEvidence(seen.late, judgement.usualLate);
        const double late = std::max(worst.late, judgement.late);
        if (judgement.bad > worst.bad) {
            worst = judgement;
        }
        worst.late = late;
    }
    return worst;
}

void RolloutController::setUsual(Judgement &judgement, const EvidenceSpan &meanwhile, const EvidenceSpan &past) const
{
    const auto usual = [this](const IndicatorCounts &now, const IndicatorCounts &before, double assumed) {
        const double share = usualShare(before, assumed, this->options.priorAnswers);
        return std::max(share, usualShare(now, share, this->options.priorAnswers));
    };
    judgement.usualFailed = usual(meanwhile.failed, past.failed, this->options.usualFailed);
    judgement.usualLate = usual(meanwhile.late, past.late, this->options.usualLate);
    judgement.usualLowRated = usual(meanwhile.lowRated, past.lowRated, this->options.usualLowRated);
}

bool RolloutController::speaksAgainst(const Judgement &judgement, double tolerance) const
{
    const auto against = [&](const IndicatorCounts &counts, double usual) {
        return logLikelihoodRatio(counts, usual, usual + (1 - usual) * tolerance) <= -this->options.stepEvidence;
    };
    const bool ratings = judgement.totals.lowRated.answers > 0;
    return against(judgement.totals.failed, judgement.usualFailed) && (!ratings || against(judgement.totals.lowRated, judgement.usualLowRated));
}

std::string RolloutController::evidenceLine(const Judgement &judgement)
{
    const EvidenceSpan &totals = judgement.totals;
    char line[200];
    std::snprintf(line,
                  sizeof line,
                  "failed %.0f/%.0f (usual %.1f%%), late %.0f/%.0f, rated low %.0f/%.0f (usual %.1f%%), evidence %.1f",
                  totals.failed.seen,
                  totals.failed.answers,
                  100 * judgement.usualFailed,
                  totals.late.seen,
                  totals.late.answers,
                  totals.lowRated.seen,
                  totals.lowRated.answers,
                  100 * judgement.usualLowRated,
                  judgement.bad);
    return line;
}

RolloutDecision RolloutController::withdrawal(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const Judgement &judgement) const
{
    RolloutDecision decision{.action = RolloutAction::Withdraw,
                             .model = rollout.model(),
                             .version = rollout.to_version(),
                             .reason = "bad-answers",
                             .evidence = evidenceLine(judgement)};
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

RolloutDecision RolloutController::setRollout(const Wire::Configuration &configuration,
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
RolloutController::decideRunning(const Wire::Configuration &configuration, const Wire::Rollout &rollout, const EvidenceBook &book, std::int64_t nowMs)
{
    if (!isActive(configuration, rollout.to_version())) {
        RolloutDecision halt = this->setRollout(configuration, rollout, RolloutAction::Halt, 0, Wire::ROLLOUT_STATE_HALTED);
        halt.reason = "version-withdrawn";
        halt.evidence = rollout.evidence();
        halt.command.mutable_change()->mutable_set_rollout()->set_evidence("version withdrawn");
        return halt;
    }
    const Judgement judgement = this->judgeRollout(rollout, book);
    if (judgement.bad >= this->options.haltEvidence) {
        return this->withdrawal(configuration, rollout, judgement);
    }
    RolloutDecision hold{.model = rollout.model(),
                         .version = rollout.to_version(),
                         .sharePermille = rollout.share_permille(),
                         .reason = "evidence-awaited",
                         .evidence = evidenceLine(judgement)};
    const auto step = std::find_if(this->options.steps.begin(), this->options.steps.end(), [&rollout](const RolloutStep &known) {
        return known.sharePermille >= rollout.share_permille();
    });
    if (rollout.state() == Wire::ROLLOUT_STATE_PAUSED || step == this->options.steps.end()) {
        return hold;
    }
    if (nowMs - this->seenSince(rollout, nowMs) < this->options.leastStepMs) {
        hold.reason = "step-too-young";
        return hold;
    }
    if (judgement.totals.failed.answers < step->answers || !this->speaksAgainst(judgement, step->tolerance)) {
        return hold;
    }
    const bool last = step->sharePermille >= FullShare || std::next(step) == this->options.steps.end();
    RolloutDecision next = last ? this->setRollout(configuration, rollout, RolloutAction::Finish, FullShare, Wire::ROLLOUT_STATE_DONE)
                                : this->setRollout(configuration, rollout, RolloutAction::Step, std::next(step)->sharePermille, Wire::ROLLOUT_STATE_RUNNING);
    next.reason = "evidence-good";
    next.evidence = hold.evidence;
    next.command.mutable_change()->mutable_set_rollout()->set_evidence(hold.evidence);
    return next;
}

std::int64_t RolloutController::seenSince(const Wire::Rollout &rollout, std::int64_t nowMs)
{
    Seen &seen = this->seenByModel[rollout.model()];
    if (seen.revision != rollout.changed_revision()) {
        seen = {.revision = rollout.changed_revision(), .sinceMs = nowMs};
    }
    return seen.sinceMs;
}

std::vector<RolloutDecision> RolloutController::decide(const Wire::Configuration &configuration, const EvidenceBook &book, std::int64_t nowMs)
{
    std::vector<RolloutDecision> decisions;
    for (const Wire::Rollout &rollout : configuration.rollouts()) {
        if (isOpen(rollout)) {
            decisions.push_back(this->decideRunning(configuration, rollout, book, nowMs));
            continue;
        }
        if (rollout.state() != Wire::ROLLOUT_STATE_DONE || !isActive(configuration, rollout.to_version())) {
            continue;
        }
        const Judgement judgement = this->judgeWatched(rollout, book);
        if (judgement.bad >= this->options.watchEvidence) {
            decisions.push_back(this->withdrawal(configuration, rollout, judgement));
        } else if (judgement.late >= this->options.watchEvidence) {
            decisions.push_back({.action = RolloutAction::Alarm,
                                 .model = rollout.model(),
                                 .version = rollout.to_version(),
                                 .reason = "late-after-rollout",
                                 .evidence = evidenceLine(judgement)});
        }
    }
    return decisions;
}

bool RolloutController::mayTakeMore(const Wire::Configuration &configuration,
                                    const std::string &version,
                                    const EvidenceBook &book,
                                    unsigned entries,
                                    std::int64_t nowMs) const
{
    const auto rollout = std::find_if(configuration.rollouts().begin(), configuration.rollouts().end(), [&version](const Wire::Rollout &known) {
        return known.to_version() == version && known.state() != Wire::ROLLOUT_STATE_DONE;
    });
    if (rollout == configuration.rollouts().end()) {
        return true;
    }
    const EvidenceSpan totals = book.totals(version);
    const double ended = totals.lowRated.answers > 0 ? std::min(totals.failed.answers, totals.lowRated.answers) : totals.failed.answers;
    const double cap = this->options.openAnswers + std::floor(ended / std::max(1U, this->options.endedPerOpenAnswer));
    // Others' open answers are known late, so each entry also keeps to its own part of the cap.
    const double part = std::max(1.0, std::ceil(cap / std::max(1U, entries)));
    return book.openHere(version) < part && book.openAnswers(version, nowMs) < cap;
}

} // namespace Apricothead
