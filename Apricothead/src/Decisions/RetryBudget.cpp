#include "RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {

namespace {

constexpr double MsPerSecond = 1000;
constexpr double InitialFraction = 0.2;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions givenOptions) : options(givenOptions), balance(givenOptions.maxBalance * InitialFraction)
{ }

void RetryBudget::recordSuccess()
{
    this->balance = std::min(this->options.maxBalance, this->balance + this->options.earnedPerSuccess);
}

RetryDecision RetryBudget::decide(const RetryQuery &query, double nowMs)
{
    if (this->lastRefillMs > 0) {
        const double earned = (nowMs - this->lastRefillMs) / MsPerSecond * this->options.earnedPerSecond;
        this->balance = std::min(this->options.maxBalance, this->balance + std::max(0.0, earned));
    }
    this->lastRefillMs = nowMs;
    if (query.answerStarted) {
        return {.reason = "answer-started"};
    }
    if (query.verdict != Verdict::NotRun && !query.repeatable) {
        return {.reason = "may-have-run"};
    }
    if (query.attemptsMade >= this->options.maxAttempts) {
        return {.reason = "attempts-used"};
    }
    if (query.lostRuns >= this->options.maxLostRuns) {
        return {.reason = "endpoints-lost"};
    }
    const double delayMs = this->options.initialBackoffMs * std::pow(2.0, query.attemptsMade - 1.0);
    if (delayMs + query.expectedMs >= query.deadlineLeftMs) {
        return {.reason = "deadline-too-near"};
    }
    const double cost = query.verdict == Verdict::NotRun ? this->options.notRunCost : 1;
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
