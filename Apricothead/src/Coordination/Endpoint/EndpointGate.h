#pragma once

#include "../../Protocol/RunId.h"
#include "../../Protocol/Settings.h"
#include "../../Protocol/Verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Apricothead {

/** \class EndpointGateOptions
 * \ingroup Coordination_Module
 * \brief What an EndpointGate judges by.
 */
struct EndpointGateOptions {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::vector<ServedSettings> served;
    unsigned capacity = 16;
    std::chrono::milliseconds admissionValidity{5000};
    /** Records of ended runs are kept for this long after their answer was given up. */
    std::chrono::milliseconds recordRetention{600000};
    /** Records kept at most; beyond it the oldest give way, and what is not known is judged by age alone. */
    std::size_t maxRecords = 100000;
};

/** \enum GateAction
 * \ingroup Coordination_Module
 * \brief What to do with a Run.
 */
enum class GateAction {
    Start,
    Attach,
    Refuse,
};

/** \class GateDecision
 * \ingroup Coordination_Module
 * \brief Action, and for a refusal its reason and what is known of the run.
 */
struct GateDecision {
    GateAction action = GateAction::Refuse;
    Wire::RefusalReason reason = Wire::REFUSAL_REASON_UNSPECIFIED;
    Verdict verdict = Verdict::NotRun;

    bool operator==(const GateDecision &) const = default;
};

/** \class EndpointGate
 * \ingroup Coordination_Module
 * \brief The last check before an engine or plain service: starts each (key, attempt) at most once.
 *
 * A refusal with verdict not-run is a promise, kept by a tombstone until the admission is too old to start. Reads no clock: times are
 * milliseconds of the endpoint process's own monotonic clock.
 */
class EndpointGate
{
public:
    explicit EndpointGate(EndpointGateOptions options);

    /** Judges \a run. After Start the run counts as running until recordEnded() or recordNotStarted(). */
    GateDecision decide(const Wire::Run &run, std::uint64_t nowMs);

    /** Makes sure that the run never starts, where it has not started yet. \returns Refuse with a tombstone, or Attach when it did start */
    GateDecision decideVoid(const Wire::Void &request, std::uint64_t nowMs);

    /** The run ended; its answer is kept for replay. */
    void recordEnded(const RunId &id);

    /** The run proved not to have reached the engine: a tombstone takes its place. */
    void recordNotStarted(const RunId &id, std::uint64_t nowMs);

    /** The answer of an ended run is no longer kept. */
    void recordAnswerDiscarded(const RunId &id, std::uint64_t nowMs);

    /** Takes over withdrawals and drains. */
    void setConfiguration(const Wire::Configuration &configuration);

    /** This process is stopping. */
    void setStopping();

    /** \returns true when stopping, or drained by the configuration */
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
    };
    using Expiry = std::pair<std::uint64_t, RunId>;

    GateDecision decideKnown(const Record &record) const;
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
    bool stopping = false;
    bool drained = false;
    unsigned runningCount = 0;
    /** Admissions of clock readings up to this one may have run although no record is left. */
    std::uint64_t evictedUpToMs = 0;
    /** Admissions of clock readings up to this one never start any more. */
    std::uint64_t noStartUpToMs = 0;
};

} // namespace Apricothead
