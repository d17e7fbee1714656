#pragma once

#include "CallerRequest.h"
#include "CreditWindow.h"
#include "EntryContext.h"

#include "../../Transport/Timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class StepEnd
 * \ingroup Coordination_Module
 * \brief Result of one step of a request.
 */
struct StepOutcome {
    bool isComplete = false;
    std::string version;
    Wire::Usage usage;
    /** Valid only if the answer is not complete. */
    CallerError error;
};

/** \class StepRunOptions
 * \ingroup Coordination_Module
 * \brief Request and callbacks of a StepRun. The callbacks run on the loop's thread.
 */
struct StepRunOptions {
    std::shared_ptr<const CallerRequest> request;
    unsigned step = 0;
    std::string model;
    std::vector<PrefixBlock> prefixes;
    /** The engine or service has sent its response head. Called again, followed by all chunks again, if another attempt takes over. */
    std::function<void(unsigned status, const std::string &contentType, const std::string &version)> onHead;
    std::function<void(std::string_view)> onChunk;
    /** Called once, unless the caller was detached before. */
    std::function<void(const StepOutcome &)> onEnd;
    /** \returns true once a byte of the answer has been sent to the caller, so that no other attempt may take over */
    std::function<bool()> hasStarted;
    /** \returns true while the caller reads the answer fast enough */
    std::function<bool()> canAcceptChunks;
    /** \returns true if a complete answer will be rated. \sa RolloutDriver::recordRating */
    std::function<bool()> awaitsRating;
};

/** \class StepRun
 * \ingroup Coordination_Module
 * \brief One step of a request: choice of version and endpoint, admission, run and settlement, with retries where they are safe.
 *
 * Continues after onEnd until its run is settled or proved not to have started.
 */
class StepRun : public std::enable_shared_from_this<StepRun>
{
public:
    StepRun(EntryContext &context, StepRunOptions options);
    StepRun(const StepRun &) = delete;
    StepRun &operator=(const StepRun &) = delete;

    void start();
    /** The caller has disconnected: no callback is called any more. The run is cancelled if no later request can fetch its answer. */
    void detachCaller();
    /** The caller can accept chunks again. */
    void resume();
    void receive(const Wire::Envelope &message);
    /** A new connection to \a endpoint was made: messages that must arrive are sent again. */
    void handleLinkConnected(const std::string &endpoint);
    /** To be called a few times a second. */
    void tick();

    bool isFinished() const;
    /** \returns the last chosen version; empty before the first choice */
    const std::string &version() const;
    /** \returns true if \a key and \a attempt identify the current run, and \a endpoint is that of its admission */
    bool matchesRun(const std::string &endpoint, const Wire::RequestKey &key, unsigned attempt) const;
    Verdict verdict() const;
    /** \returns the total time that the admissions of this step took, in ms */
    std::uint64_t admissionMs() const;

private:
    enum class Phase {
        Choosing,
        Admitting,
        Running,
        Abandoning,
        /** Ensures that an admission that was not dispatched never runs. */
        Voiding,
        Settling,
        Finished,
    };

    void choose();
    void scheduleChoose(std::chrono::milliseconds delay);
    void admit(const RoutingDecision &chosen);
    void handleAdmissionOutcome(const ProposeOutcome &outcome);
    void handleAdmissionRefusal(const Wire::CommandResult &result);
    void continueFromRecord(const Wire::RequestRecord &knownRecord);
    void recordEarlierAttempt(const Wire::RequestRecord &abandoned);
    void dispatch(const Wire::RequestRecord &admitted, bool isAttachOnly);
    void sendRun();
    void handleRunStarted(const Wire::RunStarted &started);
    void handleChunk(const Wire::Chunk &chunk);
    void grantCredit();
    void acknowledge(const Wire::RunDone &done);
    void handleRunDone(const Wire::RunDone &done);
    /** \returns false if \a refused answers a run or void of the same attempt with another incarnation or an earlier admission */
    bool isAboutThisAdmission(const Wire::RunRefused &refused) const;
    void handleRunRefused(const Wire::RunRefused &refused);
    void abandon(const Wire::RunRefused &refused);
    void handleAbandonOutcome(const ProposeOutcome &outcome, Wire::RefusalReason reason);
    void retryOrFail(const CallerError &failure);
    void checkLink();
    void checkDeadline();
    void handleRunLost();
    void startVoiding();
    void sendVoid();
    void settle(Wire::Outcome outcome, const Wire::Usage &usage);
    void sendCancel();
    void fail(CallerError error);
    void failAndFinish(CallerError error);
    void reportOutcome(const StepOutcome &stepOutcome);
    void releaseRunHandle(RunOutcome runOutcome);
    void recordEvidence(RunOutcome runOutcome);
    void finish();
    Wire::RequestKey key() const;
    std::uint64_t homeKey() const;
    bool isCancellable() const;
    std::uint64_t nowMs() const;

    EntryContext &context;
    StepRunOptions options;
    const CallerRequest &request;
    Timer chooseTimer;
    Phase phase = Phase::Choosing;
    Wire::Admit proposedAdmission;
    RoutingDecision routingDecision;
    Wire::RequestRecord record;
    std::optional<RunHandle> runHandle;
    std::vector<std::string> excludedEndpoints;
    std::string chosenVersion;
    std::string sessionVersion;
    Verdict verdictSoFar = Verdict::NotRun;
    unsigned nextAttempt = 1;
    unsigned attempts = 0;
    /** Attempts whose endpoint was lost while they ran. */
    unsigned lostRuns = 0;
    unsigned refusedAdmissions = 0;
    unsigned settleAttempts = 0;
    std::uint64_t deadlineMs = 0;
    std::uint64_t chooseDeadlineMs = 0;
    std::uint64_t phaseStartedMs = 0;
    std::uint64_t admissionStartedMs = 0;
    std::uint64_t totalAdmissionMs = 0;
    std::uint64_t nextChunk = 0;
    CreditWindow creditWindow;
    std::uint64_t gapDetectedMs = 0;
    /** Set while the current run counts as open evidence on its version. */
    std::optional<std::uint64_t> dispatchedMs;
    std::uint64_t firstTokenMs = 0;
    bool isAttachOnly = false;
    bool isEnded = false;
    bool isCallerGone = false;
};

} // namespace Apricothead
