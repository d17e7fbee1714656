#pragma once

#include "../Protocol/Verdict.h"

#include <string>

namespace Apricothead {

/** \class RetryBudgetOptions
 * \ingroup Decisions_Module
 * \brief How many retries an entry may add to the load.
 */
struct RetryBudgetOptions {
    /** Retries that each success adds to the budget. */
    double earnedPerSuccess = 0.1;
    /** Retries added per second regardless of successes, so that an idle entry can retry. */
    double earnedPerSecond = 0.5;
    double maxBalance = 50;
    /** Cost of a retry after an attempt that did not run; less than 1, since the attempt used no engine time. */
    double notRunCost = 0.2;
    /** Attempts of a request, including the first. */
    unsigned maxAttempts = 3;
    /** Runs that may be lost with their endpoint before the request itself is held to be the cause. */
    unsigned maxLostRuns = 2;
    /** Delay before the first retry; doubled for each further one. */
    double initialBackoffMs = 50;
};

/** \class RetryQuery
 * \ingroup Decisions_Module
 * \brief State of a request whose last attempt ended without a complete answer.
 */
struct RetryQuery {
    /** Combined verdict of all attempts so far. */
    Verdict verdict = Verdict::MayHaveRun;
    bool repeatable = false;
    /** True once a byte of the answer has been sent to the caller. */
    bool answerStarted = false;
    unsigned attemptsMade = 1;
    /** Attempts whose endpoint was lost while they ran. */
    unsigned lostRuns = 0;
    double deadlineLeftMs = 0;
    /** Predicted duration of another attempt. */
    double expectedMs = 0;

    bool operator==(const RetryQuery &) const = default;
};

/** \class RetryDecision
 * \ingroup Decisions_Module
 * \brief Whether to retry, after which delay, and why.
 */
struct RetryDecision {
    bool retry = false;
    /** \c retry, \c may-have-run, \c answer-started, \c attempts-used, \c endpoints-lost, \c deadline-too-near or \c retry-budget-empty. */
    std::string reason;
    double delayMs = 0;

    bool operator==(const RetryDecision &) const = default;
};

/** \class RetryBudget
 * \ingroup Decisions_Module
 * \brief Limits retries to a proportion of the successes, so that retries cannot amplify an overload.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordSuccess();

    /** \returns the decision. A granted retry is deducted from the budget. */
    RetryDecision decide(const RetryQuery &query, double nowMs);

    /** \returns the retries that are left in the budget */
    double level() const;

private:
    RetryBudgetOptions options;
    double balance = 0;
    double lastRefillMs = 0;
};

} // namespace Apricothead
