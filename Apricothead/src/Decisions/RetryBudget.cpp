#include "RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;
constexpr double InitialShare = 0.2;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions bounds) : options(bounds), balance(bounds.most * InitialShare)
{ }

void RetryBudget::noteSuccess()
{
    this->balance = std::min(this->options.most, this->balance + this->options.perSuccess);
}

RetryDecision RetryBudget::decide(const RetryQuestion &question, double nowMs)
{
    if (this->refilledMs > 0) {
        const double earned = (nowMs - this->refilledMs) / MsPerSecond * this->options.perSecond;
        this->balance = std::min(this->options.most, this->balance + std::max(0.0, earned));
    }
    this->refilledMs = nowMs;
    if (question.answerStarted) {
        return {.reason = "answer-started"};
    }
    if (question.verdict != Verdict::NotRun && !question.repeatable) {
        return {.reason = "may-have-run"};
    }
    if (question.attemptsMade >= this->options.attempts) {
        return {.reason = "attempts-used"};
    }
    const double delayMs = this->options.backoffMs * std::pow(2.0, question.attemptsMade - 1.0);
    if (delayMs + question.expectedMs >= question.deadlineLeftMs) {
        return {.reason = "deadline-too-near"};
    }
    const double cost = question.verdict == Verdict::NotRun ? this->options.notRunCost : 1;
    if (this->balance < cost) {
        return {.reason = "retry-budget-empty"};
    }
    this->balance -= cost;
    return {.retry = true, .reason = "retry", .delayMs = delayMs};
}

double RetryBudget::level() const
{
    return this->balance;
}

} // namespace Apricothead
