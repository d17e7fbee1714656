#pragma once

#include "../../Decisions/TokenBucket.h"
#include "../../Protocol/RequestLimit.h"
#include "../../Protocol/RunId.h"
#include "../../Protocol/Settings.h"
#include "../../Protocol/Verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Apricothead {

/** \class EndpointGateOptions
 * \ingroup Coordination_Module
 * \brief Identity and limits of an EndpointGate.
 */
struct EndpointGateOptions {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::vector<ServedSettings> served;
    unsigned capacity = 16;
    std::chrono::milliseconds admissionValidity{5000};
    /** Records of ended runs are kept for this long after their answer was discarded. */
    std::chrono::milliseconds recordRetention{600000};
    /** Limit on the number of records. Above it the oldest are evicted, and unknown runs are decided by the age of their admission alone. */
    std::size_t maxRecords = 100000;
};

/** \enum GateAction
 * \ingroup Coordination_Module
 * \brief Action to take on a Run message.
 */
enum class GateAction {
    Start,
    Attach,
    Refuse,
};

/** \class GateDecision
 * \ingroup Coordination_Module
 * \brief Action, and for a refusal its reason and whether the run may have been executed.
 */
struct GateDecision {
    GateAction action = GateAction::Refuse;
    Wire::RefusalReason reason = Wire::REFUSAL_REASON_UNSPECIFIED;
    Verdict verdict = Verdict::NotRun;

    bool operator==(const GateDecision &) const = default;
};

/** \class EndpointGate
 * \ingroup Coordination_Module
 * \brief Final check before an engine or plain service: starts each (key, attempt) at most once.
 *
 * After a refusal with verdict not-run the run never starts: a tombstone guarantees this until each admission that was made before the refusal is
 * too old to start. Does not read a clock: times are milliseconds of the endpoint process's own monotonic clock.
 */
class EndpointGate
{
public:
    explicit EndpointGate(EndpointGateOptions options);

    /** Decides whether \a run starts. After Start the run counts as running until recordEnded() or recordNotStarted(). */
    GateDecision decide(const Wire::Run &run, std::uint64_t nowMs);

    /** Prevents the run from starting, unless it has started already. \returns Attach when it has started and its answer is kept, else Refuse */
    GateDecision decideVoid(const Wire::Void &request, std::uint64_t nowMs);

    /** Records that the run ended; its answer is kept for replay. */
    void recordEnded(const RunId &id);

    /** Records that the run did not reach the engine: replaces its record by a tombstone. */
    void recordNotStarted(const RunId &id, std::uint64_t nowMs);

    /** Records that the answer of an ended run is no longer kept. */
    void recordAnswerDiscarded(const RunId &id, std::uint64_t nowMs);

    /** Applies the withdrawn versions and drained endpoints of \a configuration. */
    void setConfiguration(const Wire::Configuration &configuration);

    /** Records the head of the engine's answer to a run that was started at \a startedMs. \a perSecond: the requests a second that the engine says
     * it takes, nothing when it names no limit. New runs beyond it are refused, as this process sees all that its engine gets. */
    void recordRequestLimit(std::optional<double> perSecond, std::uint64_t startedMs, std::uint64_t nowMs);

    /** Refuses new runs from now on, because the process is shutting down. */
    void setStopping();

    /** \returns true when the process is shutting down or the configuration drains the endpoint */
    bool isLeaving() const;

    void setServed(std::vector<ServedSettings> served);
    const std::vector<ServedSettings> &served() const;

    unsigned running() const;
    std::size_t recordCount() const;

private:
    enum class RunState {
        Running,
        Ended,
        AnswerDiscarded,
        Tombstone,
    };
    struct Record {
        RunState state = RunState::Tombstone;
        std::uint64_t gateTimeMs = 0;
        /** Of a tombstone: the time of the last refusal, which no admission made up to then outlasts. */
        std::uint64_t refusedAtMs = 0;
    };
    using Expiry = std::pair<std::uint64_t, RunId>;

    GateDecision decideKnown(Record &record, std::uint64_t nowMs) const;
    std::uint64_t tombstoneEndMs(std::uint64_t refusedAtMs) const;
    GateDecision decideUnknown(const Wire::Run &run, std::uint64_t nowMs) const;
    bool isAdmissionStale(std::uint64_t gateTimeMs, std::uint64_t nowMs) const;
    bool isServed(const Wire::Admission &admission) const;
    Verdict verdictForUnknown(std::uint64_t gateTimeMs) const;
    void addTombstone(const RunId &id, std::uint64_t gateTimeMs, std::uint64_t nowMs);
    void removeExpired(std::uint64_t nowMs);
    void removeOldest(std::deque<Expiry> &queue);
    void evictIfFull(std::uint64_t nowMs);

    EndpointGateOptions options;
    std::map<RunId, Record> records;
    std::deque<Expiry> tombstones;
    std::deque<Expiry> discardedAnswers;
    std::set<std::string> withdrawnVersions;
    RequestLimit requestLimit;
    /** The requests that the engine's limit allows. */
    TokenBucket requestTokens{0, 0, 0};
    bool stopping = false;
    bool drained = false;
    unsigned runningCount = 0;
    /** Runs admitted at or before this clock reading may have been executed although they have no record; 0 when there are none. */
    std::uint64_t evictedUpToMs = 0;
    /** Runs admitted at or before this clock reading are not started any more. */
    std::uint64_t noStartUpToMs = 0;
};

} // namespace Apricothead
