#pragma once

#include "RoutingTable.h"

#include <set>

namespace Apricothead {

/** \class EndpointTrackerOptions
 * \ingroup Decisions_Module
 * \brief When an endpoint counts as silent or as an outlier, and how it comes back.
 */
struct EndpointTrackerOptions {
    /** No report for this long: not a candidate. */
    double silenceMs = 3000;
    /** At most this share of the endpoints is ejected at a time; one may always be, when there are two or more. */
    double maxEjectedShare = 0.3;
    unsigned ejectAfterFailures = 5;
    double maxErrorShare = 0.4;
    /** Ejected when its pace is this many times that of the median endpoint. */
    double slowFactor = 3;
    /** Ejected when its oldest run awaits the first token this many times longer than the median moving average, and at least overdueMs. */
    double overdueFactor = 15;
    double overdueMs = 5000;
    unsigned minSamples = 6;
    double baseEjectionMs = 5000;
    double maxEjectionMs = 120000;
    /** Time over which the warmupProgress of a new or returned endpoint rises from 0 to 1. */
    double slowStartMs = 5000;
};

/** \enum RunOutcome
 * \ingroup Decisions_Module
 * \brief How a run ended, as far as the endpoint's health is concerned.
 */
enum class RunOutcome {
    Complete,
    /** Failed, cut or lost: counts against the endpoint. */
    Failed,
    /** Cancelled, or refused as full or leaving: says nothing of its health. */
    Neutral,
};

/** \class RunHandle
 * \ingroup Decisions_Module
 * \brief A run that EndpointTracker was told of; handed back as it goes on.
 */
struct RunHandle {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    double startedMs = 0;
    double baselineMs = 0;
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
    /** How old the reading was when it arrived. */
    double ageMs = 0;

    bool operator==(const LoadReading &) const = default;
};

/** \class EjectionChange
 * \ingroup Decisions_Module
 * \brief An endpoint that was ejected or came back, with the reason for the log.
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
 * \brief Keeps an entry's RoutingTable up to date from what the entry sees, and ejects outliers.
 *
 * No I/O and no clock: each call gets the reading of one monotonic clock in ms.
 */
class EndpointTracker
{
public:
    explicit EndpointTracker(EndpointTrackerOptions options = {});

    /** Adds or updates an endpoint. A new incarnation starts with no history and cold. */
    void addOrUpdate(const std::string &endpoint,
                     const std::string &availabilityZone,
                     std::uint64_t incarnation,
                     const std::vector<ServedModel> &served,
                     double nowMs);
    void remove(const std::string &endpoint);
    /** The directory or the operator says that it is leaving or drained. */
    void setLeaving(const std::string &endpoint, bool leaving);
    void setConnected(const std::string &endpoint, bool connected, double nowMs);
    void report(const std::string &endpoint, const LoadReading &reading, double nowMs);

    /** A run was dispatched by \a decision. */
    RunHandle recordStart(const RoutingDecision &decision, double nowMs);
    void recordFirstToken(RunHandle &run, double nowMs);
    void recordEnd(const RunHandle &run, RunOutcome outcome, double nowMs);

    /** To be called a few times a second. \returns what was ejected or came back */
    std::vector<EjectionChange> tick(double nowMs);

    const RoutingTable &table() const;

    /** \returns a moving average of what the prompts of this entry's runs take an ordinary endpoint, for RoutingRequest::typicalPromptMs */
    double typicalPromptMs() const;

private:
    struct History {
        std::multiset<double> awaiting;
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
