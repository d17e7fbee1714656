#pragma once

#include "CallerRequest.h"
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
 * \brief How one step of a request ended.
 */
struct StepEnd {
    bool isWhole = false;
    std::string version;
    Wire::Usage usage;
    /** Meaningful when the answer is not whole. */
    CallerError error;
};

/** \class StepRunOptions
 * \ingroup Coordination_Module
 * \brief What a StepRun runs, and its hooks, called on the loop's thread.
 */
struct StepRunOptions {
    std::shared_ptr<const CallerRequest> request;
    unsigned step = 0;
    std::string model;
    std::vector<PrefixBlock> prefixes;
    /** The engine or service has answered its head. Comes again, followed by all chunks again, when another attempt takes over. */
    std::function<void(unsigned status, const std::string &contentType, const std::string &version)> onHead;
    std::function<void(std::string_view)> onChunk;
    /** Called once. */
    std::function<void(const StepEnd &)> onEnd;
    /** \returns true once a byte of the answer was given to the caller: no other attempt may take over then */
    std::function<bool()> hasStarted;
    /** \returns true while the caller takes bytes as they come */
    std::function<bool()> isTaking;
    /** \returns true when the whole answer will be rated. \sa RolloutDriver::noteRated */
    std::function<bool()> awaitsRating;
};

/** \class StepRun
 * \ingroup Coordination_Module
 * \brief One step of a request: choice of version and endpoint, admission, run and settlement, with further attempts where they are safe.
 *
 * Lives on after onEnd until its run is settled or proved not to have started.
 */
class StepRun : public std::enable_shared_from_this<StepRun>
{
public:
    StepRun(EntryContext &context, StepRunOptions options);
    StepRun(const StepRun &) = delete;
    StepRun &operator=(const StepRun &) = delete;

    void start();
    /** The caller has left: no hook is called any more. The run is cancelled where nobody can come back for its answer. */
    void leave();
    /** The caller takes bytes again. */
    void resume();
    void receive(const Wire::Envelope &message);
    /** A new connection to \a endpoint stands. */
    void linkConnected(const std::string &endpoint);
    /** To be called a few times a second. */
    void tick();

    bool isFinished() const;
    /** \returns the version chosen last, empty before the first choice */
    const std::string &version() const;
    /** \returns true when \a key and \a attempt name the run under way */
    bool isRun(const Wire::RequestKey &key, unsigned attempt) const;
    Verdict verdict() const;
    /** \returns how long all admissions of this step took together, in ms */
    std::uint64_t admissionMs() const;

private:
    enum class Phase {
        Choosing,
        Admitting,
        Running,
        Abandoning,
        /** Makes sure that an admission which was never dispatched never runs. */
        Voiding,
        Settling,
        Finished,
    };

    void choose();
    void chooseLater(std::chrono::milliseconds delay);
    void admit(const RoutingDecision &decision);
    void admissionDecided(const ProposeOutcome &outcome);
    void admissionRefused(const Wire::CommandResult &result);
    void takeKnown(const Wire::RequestRecord &known);
    void noteEarlierAttempt(const Wire::RequestRecord &abandoned);
    void dispatch(const Wire::RequestRecord &admitted, bool isAttachOnly);
    void sendRun();
    void takeStarted(const Wire::RunStarted &started);
    void takeChunk(const Wire::Chunk &chunk);
    void grantCredit();
    void acknowledge(const Wire::RunDone &done);
    void takeDone(const Wire::RunDone &done);
    void takeRefused(const Wire::RunRefused &refused);
    void abandon(const Wire::RunRefused &refused);
    void abandonDecided(const ProposeOutcome &outcome, Wire::RefusalReason reason);
    void tryAgain(const CallerError &otherwise);
    void checkLink();
    void checkDeadline();
    void lose();
    void startVoiding();
    void sendVoid();
    void settle(Wire::Outcome outcome, const Wire::Usage &usage);
    void sendCancel();
    void end(CallerError error);
    void endAndFinish(CallerError error);
    void endStep(const StepEnd &stepEnd);
    void endTicket(RunOutcome runEnd);
    void endEvidence(RunOutcome runEnd);
    void finish();
    Wire::RequestKey key() const;
    std::uint64_t homeKey() const;
    bool isCancellable() const;
    std::uint64_t nowMs() const;

    EntryContext &context;
    StepRunOptions options;
    const CallerRequest &request;
    Timer delay;
    Phase phase = Phase::Choosing;
    Wire::Admit proposed;
    RoutingDecision decision;
    Wire::RequestRecord record;
    std::optional<RunHandle> ticket;
    std::vector<std::string> avoid;
    std::string chosenVersion;
    std::string sessionVersion;
    Verdict soFar = Verdict::NotRun;
    unsigned nextAttempt = 1;
    unsigned attempts = 0;
    unsigned refusedAdmissions = 0;
    unsigned settleTries = 0;
    std::uint64_t deadlineMs = 0;
    std::uint64_t chooseUntilMs = 0;
    std::uint64_t phaseSinceMs = 0;
    std::uint64_t admitSinceMs = 0;
    std::uint64_t admittingMs = 0;
    std::uint64_t nextChunk = 0;
    std::uint64_t grantedUpTo = 0;
    std::uint64_t gapSinceMs = 0;
    /** Set while the run under way counts as open evidence on its version. */
    std::optional<std::uint64_t> dispatchedMs;
    std::uint64_t firstTokenMs = 0;
    bool isAttachOnly = false;
    bool isEnded = false;
    bool hasLeft = false;
};

} // namespace Apricothead
