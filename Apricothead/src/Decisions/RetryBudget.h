#pragma once

#include "../Protocol/Verdict.h"

#include <string>

namespace Apricothead {

/** \class RetryBudgetOptions
 * \ingroup Decisions_Module
 * \brief How many retries an entry may add to the load.
 */
struct RetryBudgetOptions {
    /** Retries earned by each success. */
    double earnedPerSuccess = 0.1;
    /** Earned by time alone, so that an idle entry may retry. */
    double earnedPerSecond = 0.5;
    double maxBalance = 50;
    /** What a retry costs after a refusal that did not run, which took no engine's time. */
    double notRunCost = 0.2;
    unsigned maxAttempts = 3;
    /** The first wait before a retry; doubled for each further one. */
    double initialBackoffMs = 50;
};

/** \class RetryQuery
 * \ingroup Decisions_Module
 * \brief An attempt that ended without a whole answer.
 */
struct RetryQuery {
    /** Of all attempts so far, combined. */
    Verdict verdict = Verdict::MayHaveRun;
    bool repeatable = false;
    /** True once the caller has a byte of the answer. */
    bool answerStarted = false;
    unsigned attemptsMade = 1;
    double deadlineLeftMs = 0;
    /** Predicted time of another attempt. */
    double expectedMs = 0;

    bool operator==(const RetryQuery &) const = default;
};

/** \class RetryDecision
 * \ingroup Decisions_Module
 * \brief Whether to try again, and why.
 */
struct RetryDecision {
    bool retry = false;
    /** \c retry, \c may-have-run, \c answer-started, \c attempts-used, \c deadline-too-near or \c retry-budget-empty. */
    std::string reason;
    double delayMs = 0;

    bool operator==(const RetryDecision &) const = default;
};

/** \class RetryBudget
 * \ingroup Decisions_Module
 * \brief Allows retries in proportion to successes, so that they cannot multiply an overload.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordSuccess();

    /** \returns the decision; a granted retry is paid for */
    RetryDecision decide(const RetryQuery &query, double nowMs);

    double level() const;

private:
    RetryBudgetOptions options;
    double balance = 0;
    double lastRefillMs = 0;
};

} // namespace Apricothead
