#pragma once

#include "RoutingTable.h"

#include <set>

namespace Apricothead {

/** \class EndpointTrackerOptions
 * \ingroup Decisions_Module
 * \brief When an endpoint counts as silent or as an outlier, and how it is returned to service.
 */
struct EndpointTrackerOptions {
    /** An endpoint that has sent no report for this long is not a candidate. */
    double silenceMs = 3000;
    /** Limit on the share of endpoints that are ejected at a time. With two or more endpoints, one can always be ejected. */
    double maxEjectedShare = 0.3;
    /** Number of consecutive failures at which an endpoint is ejected. */
    unsigned ejectAfterFailures = 5;
    /** Share of failed runs from which on an endpoint is ejected. */
    double maxErrorShare = 0.4;
    /** An endpoint is ejected when its latency factor exceeds that of the median endpoint by this factor. */
    double slowFactor = 3;
    /** An endpoint is ejected when its oldest pending run has waited for the first token longer than this multiple of the median endpoint's average
     * time to first token, and longer than overdueMs. */
    double overdueFactor = 15;
    double overdueMs = 5000;
    /** Samples that are needed before an endpoint is ejected for its share of errors or its latency. */
    unsigned minSamples = 6;
    /** Duration of the first ejection; it doubles with each further one, up to maxEjectionMs. */
    double baseEjectionMs = 5000;
    double maxEjectionMs = 120000;
    /** Time over which the warm-up progress of a new or returned endpoint rises from 0 to 1. */
    double slowStartMs = 5000;
};

/** \enum RunOutcome
 * \ingroup Decisions_Module
 * \brief The outcome of a run, as evidence on the health of its endpoint.
 */
enum class RunOutcome {
    Complete,
    /** Failed, truncated or lost: counts as a failure of the endpoint. */
    Failed,
    /** Cancelled, or refused because the endpoint was full or leaving: no evidence on its health. */
    Neutral,
};

/** \class RunHandle
 * \ingroup Decisions_Module
 * \brief Identifies a dispatched run in the further calls to EndpointTracker.
 */
struct RunHandle {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    double startedMs = 0;
    /** RoutingDecision::baselineMs of the run. */
    double baselineMs = 0;
    /** Whether the first token is still to come. */
    bool awaiting = true;

    bool operator==(const RunHandle &) const = default;
};

/** \class LoadReading
 * \ingroup Decisions_Module
 * \brief One load report of an endpoint.
 */
struct LoadReading {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned capacity = 1;
    bool leaving = false;
    bool healthy = true;
    /** Age of the reading at its arrival. */
    double ageMs = 0;

    bool operator==(const LoadReading &) const = default;
};

/** \class EjectionChange
 * \ingroup Decisions_Module
 * \brief An endpoint that was ejected or returned to service, with the reason for the log.
 */
struct EjectionChange {
    std::string endpoint;
    bool ejected = false;
    /** \c consecutive-failures, \c error-share, \c slow, \c first-token-overdue, \c silent, \c heard-again or \c ejection-over. */
    std::string reason;
    double value = 0;

    bool operator==(const EjectionChange &) const = default;
};

/** \class EndpointTracker
 * \ingroup Decisions_Module
 * \brief Keeps an entry's RoutingTable up to date from load reports and the entry's own runs, and ejects outliers.
 *
 * Does no I/O and reads no clock: each call receives the reading of one monotonic clock in ms.
 */
class EndpointTracker
{
public:
    explicit EndpointTracker(EndpointTrackerOptions options = {});

    /** Adds or updates an endpoint. A new incarnation starts without history and with a warm-up progress of 0. */
    void addOrUpdate(const std::string &endpoint,
                     const std::string &availabilityZone,
                     std::uint64_t incarnation,
                     const std::vector<ServedModel> &served,
                     double nowMs);
    void remove(const std::string &endpoint);
    /** Sets whether the directory lists the endpoint as leaving or an operator has drained it. */
    void setLeaving(const std::string &endpoint, bool leaving);
    void setConnected(const std::string &endpoint, bool connected, double nowMs);
    void report(const std::string &endpoint, const LoadReading &reading, double nowMs);

    /** Records that a run was dispatched according to \a decision. \returns the handle for the further calls on this run */
    RunHandle recordStart(const RoutingDecision &decision, double nowMs);
    void recordFirstToken(RunHandle &run, double nowMs);
    void recordEnd(const RunHandle &run, RunOutcome outcome, double nowMs);

    /** To be called a few times a second. \returns the endpoints that were ejected or returned to service */
    std::vector<EjectionChange> tick(double nowMs);

    const RoutingTable &table() const;

    /** \returns a moving average of the predicted prefill time of this entry's runs in ms, for RoutingRequest::typicalPromptMs; 0 before the first
     * run */
    double typicalPromptMs() const;

private:
    struct History {
        /** Start times of the runs that wait for their first token. */
        std::multiset<double> awaiting;
        /** Start times of the active runs that the latest report does not include. */
        std::multiset<double> sinceReport;
        unsigned consecutiveFailures = 0;
        unsigned samples = 0;
        unsigned ejections = 0;
        double lastReceivedMs = 0;
        double warmupStartMs = 0;
        double ejectedUntilMs = 0;
        bool silent = false;
    };
    struct Outlier {
        std::string endpoint;
        std::string reason;
        double value = 0;
        double severity = 0;
    };

    History *historyOf(const RunHandle &run, EndpointView *&view);
    void updateRunCounts(EndpointView &view, const History &history) const;
    void updateAvailability(EndpointView &view, History &history, double nowMs, std::vector<EjectionChange> &changes) const;
    std::vector<Outlier> findOutliers(double nowMs) const;
    double median(double EndpointView::*field) const;

    EndpointTrackerOptions options;
    RoutingTable routingTable;
    double averagePromptMs = 0;
    std::unordered_map<std::string, History> histories;
};

} // namespace Apricothead
